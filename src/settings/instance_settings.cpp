#include "tarragonspar/settings/instance_settings.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "tarragonspar/settings/detail/configuration_reader.hpp"
#include "tarragonspar/settings/detail/map_reader.hpp"

namespace tarragonspar::settings {

namespace {

using detail::map_reader;

void read_endpoint(map_reader& in, const std::string& key, endpoint& out, bool required) {
    std::string text;
    const std::string expected = "IP:port";
    if (required) {
        in.required(key, text, expected);
    } else {
        in.optional(key, text, expected);
    }
    if (text.empty()) {
        return;
    }
    if (const auto parsed = parse_endpoint(text)) {
        out = *parsed;
    } else {
        in.reject(key, expected);
    }
}

void read_limits(map_reader& in, http_limits& out) {
    in.optional("max_header_bytes", out.max_header_bytes, "a number of bytes");
    in.optional("max_body_bytes", out.max_body_bytes, "a number of bytes");
    in.optional("max_connections", out.max_connections, "a number");
    in.optional("max_buffered_bytes", out.max_buffered_bytes, "a number of bytes");
    in.optional("min_progress_bytes", out.min_progress_bytes, "a number of bytes");
    in.optional("socket_buffer_bytes", out.socket_buffer_bytes, "a number of bytes");
    auto progress_interval = static_cast<std::int64_t>(out.min_progress_interval.count());
    in.optional("min_progress_interval_ms", progress_interval, "a number of milliseconds");
    if (progress_interval < 0) {
        in.reject("min_progress_interval_ms", "a number of milliseconds, 0 for the default");
    }
    out.min_progress_interval = std::chrono::milliseconds{progress_interval};
    in.optional("stream_buffer_events", out.stream_buffer_events, "a number");
    detail::read_milliseconds(in, "idle_timeout_ms", out.idle_timeout);
    detail::read_milliseconds(in, "header_timeout_ms", out.header_timeout);
    detail::read_milliseconds(in, "write_timeout_ms", out.write_timeout);
}

void read_tls(map_reader& in, const std::string& key, tls_files& out) {
    in.child(key, [&](map_reader& tls) {
        tls.required("certificate", out.certificate, "a file");
        tls.required("private_key", out.private_key, "a file");
        tls.optional("authorities", out.authorities, "a file");
    });
}

void read_http(map_reader& in, instance_settings& out) {
    read_endpoint(in, "listen", out.http, true);
    in.optional("threads", out.threads, "a number of threads");
    if (out.threads == 0 || out.threads > 256) {
        in.reject("threads", "a number from 1 to 256");
    }
    in.child("limits", [&](map_reader& limits) { read_limits(limits, out.limits); });
    read_tls(in, "tls", out.caller_tls);
}

void read_wire(map_reader& in, instance_settings& out) {
    read_endpoint(in, "listen", out.wire, true);
    read_tls(in, "tls", out.wire_tls);
}

void read_instance(map_reader& in, instance_settings& out) {
    std::string address;
    in.optional("address", address, "an IPv4 address");
    if (address.empty()) {
        in.required("id", out.id.value, "a number from 1");
    } else if (const auto id = parse_instance_address(address)) {
        out.id = *id;
    } else {
        in.reject("address", "an IPv4 address");
    }
    in.optional("name", out.name, "a name");
    in.required("failure_domain", out.failure_domain, "the name of a failure domain");
}

void read_role(map_reader& in, instance_settings& out) {
    std::string role = "whole";
    in.optional("role", role, "whole, entry or control");
    if (role == "entry") {
        out.role = instance_role::entry;
    } else if (role == "control") {
        out.role = instance_role::control;
    } else if (role != "whole") {
        in.reject("role", "whole, entry or control");
    }
}

void read_deployment(map_reader& in, deployment_settings& out) {
    read_endpoint(in, "readiness", out.readiness, false);
    read_endpoint(in, "metrics", out.metrics, false);
    std::vector<std::string> founders;
    in.optional("founders", founders, "a list of IP:port");
    for (const auto& text : founders) {
        const auto founder = parse_endpoint(text);
        if (!founder || !parse_instance_address(founder->address)) {
            in.reject("founders", "a list of IP:port");
            continue;
        }
        out.founders.push_back(founder->address);
    }
    in.optional("first_start", out.first_start, "true or false");
    read_endpoint(in, "server_list", out.server_list, false);
    in.optional("server_list_rate", out.server_list_rate, "a number of calls per second");
    detail::read_milliseconds(in, "grace_ms", out.grace);
    double grace_s = 0.0;
    in.optional("grace_s", grace_s, "a number of seconds");
    if (grace_s > 0.0) {
        out.grace = std::chrono::milliseconds{static_cast<std::int64_t>(grace_s * 1e3)};
    }
    in.optional("memory_mb", out.memory_mb, "a number of megabytes");
    in.optional("max_descriptors", out.max_descriptors, "a number of file descriptors");
    in.optional("retry_ratio", out.retry_ratio, "a ratio");
    in.optional("retry_slack", out.retry_slack, "a number of requests");
    in.optional("quota_overage", out.quota_overage, "a ratio");
    in.optional("quota_slack", out.quota_slack, "a number of units");
    double quota_window_s = 0.0;
    in.optional("quota_window_s", quota_window_s, "a number of seconds");
    if (quota_window_s > 0.0) {
        out.quota_window =
            std::chrono::milliseconds{static_cast<std::int64_t>(quota_window_s * 1e3)};
    }
    double retry_window_s = 0.0;
    in.optional("retry_window_s", retry_window_s, "a number of seconds");
    if (retry_window_s > 0.0) {
        out.retry_window =
            std::chrono::milliseconds{static_cast<std::int64_t>(retry_window_s * 1e3)};
    }
}

void read_peer(map_reader& in, instance_settings& out) {
    peer item;
    in.required("id", item.id.value, "a number from 1");
    in.required("failure_domain", item.failure_domain, "the name of a failure domain");
    read_endpoint(in, "wire", item.wire, true);
    in.optional("control", item.control, "true or false");
    out.peers.push_back(item);
}

void read_log(map_reader& in, log_settings& out) {
    static const std::set<std::string> levels{"info", "warning", "error"};
    in.optional("level", out.level, "info, warning or error");
    if (!levels.contains(out.level)) {
        in.reject("level", "info, warning or error");
    }
    in.optional("folder", out.folder, "a folder");
    in.optional("max_file_megabytes", out.max_file_megabytes, "a number of megabytes");
}

void validate_deployment(const instance_settings& value, std::vector<setting_error>& errors) {
    if (value.role == instance_role::whole) {
        return;
    }
    if (value.deployment.founders.empty()) {
        errors.push_back({.path = "deployment.founders", .expected = "at least one IP:port"});
    }
    if (value.wire.port == 0) {
        errors.push_back({.path = "wire.listen", .expected = "IP:port (missing)"});
    }
    if (value.role == instance_role::entry && value.deployment.readiness.port == 0) {
        errors.push_back({.path = "deployment.readiness", .expected = "IP:port (missing)"});
    }
    if (value.role == instance_role::control && value.data_folder.empty()) {
        errors.push_back({.path = "data_folder", .expected = "a folder (missing)"});
    }
}

void validate_peers(const instance_settings& value, std::vector<setting_error>& errors) {
    std::set<instance_id> ids{value.id};
    std::size_t replicas = value.control ? 1 : 0;
    for (const auto& item : value.peers) {
        if (!ids.insert(item.id).second) {
            errors.push_back(
                {.path = "peers",
                 .expected = "unique ids, but " + std::to_string(item.id.value) + " occurs twice"});
        }
        replicas += item.control ? 1 : 0;
    }
    const auto is_only_replica = replicas == (value.control ? 1U : 0U);
    if (value.control && !is_only_replica && value.data_folder.empty()) {
        errors.push_back({.path = "data_folder",
                          .expected = "a folder, since a control replica in a group must store "
                                      "its votes"});
    }
    constexpr std::size_t max_replicas = 7;
    if (replicas > max_replicas) {
        errors.push_back({.path = "peers", .expected = "at most 7 instances with control"});
    }
}

void read_root(map_reader& in, instance_settings& out) {
    if (!in.child("instance", [&](map_reader& item) { read_instance(item, out); })) {
        in.reject("instance", "a map with id and failure_domain (missing)");
    }
    if (!in.child("http", [&](map_reader& item) { read_http(item, out); })) {
        in.reject("http", "a map with listen (missing)");
    }
    in.child("wire", [&](map_reader& item) { read_wire(item, out); });
    read_role(in, out);
    in.child("deployment", [&](map_reader& item) { read_deployment(item, out.deployment); });
    in.optional("data_folder", out.data_folder, "a folder");
    in.optional("control", out.control, "true or false");
    in.optional("operator_tokens", out.operator_tokens, "a list of tokens");
    detail::read_milliseconds(in, "drain_timeout_ms", out.drain_timeout);
    detail::read_milliseconds(in, "leave_notice_ms", out.shutdown_notice);
    in.optional("test_hooks", out.test_hooks, "true or false");
    in.each("peers", [&](map_reader& item) { read_peer(item, out); });
    in.child("log", [&](map_reader& item) { read_log(item, out.log); });
    in.optional("configuration_file", out.configuration_file, "a file");
    in.child("configuration",
             [&](map_reader& item) { detail::read_configuration(item, out.configuration); });
}

std::string read_file(const std::string& file, bool& readable) {
    std::ifstream in(file);
    readable = static_cast<bool>(in);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Reads the configuration file named by the settings.
void add_configuration_file(const std::string& settings_file, read_result& result) {
    const auto folder = std::filesystem::path(settings_file).parent_path();
    const auto configuration_path = (folder / result.value.configuration_file).string();
    bool readable = false;
    const auto text = read_file(configuration_path, readable);
    if (!readable) {
        result.errors.push_back({.path = "configuration_file", .expected = "a readable file"});
        return;
    }
    auto parsed = read_configuration(text);
    for (auto& item : parsed.errors) {
        item.path = configuration_path + ": " + item.path;
        result.errors.push_back(item);
    }
    for (const auto& message : config::validate(parsed.value)) {
        result.errors.push_back(
            {.path = configuration_path, .expected = "a valid configuration: " + message});
    }
    result.value.configuration = std::move(parsed.value);
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    endpoint out{.address = std::string(text.substr(0, colon))};
    const auto* first = text.data() + colon + 1;
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(first, last, out.port);
    if (parsed.ec != std::errc{} || parsed.ptr != last) {
        return std::nullopt;
    }
    return out;
}

std::optional<instance_id> parse_instance_address(const std::string& text) {
    in_addr address{};
    if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
        return std::nullopt;
    }
    return instance_id{ntohl(address.s_addr)};
}

std::string instance_address(instance_id id) {
    const in_addr address{.s_addr = htonl(id.value)};
    char text[INET_ADDRSTRLEN]{};
    inet_ntop(AF_INET, &address, text, sizeof(text));
    return text;
}

std::string to_string(const endpoint& value) {
    return value.address + ":" + std::to_string(value.port);
}

read_result read_instance_settings(const std::string& text) {
    read_result result;
    try {
        map_reader root(YAML::Load(text), "", result.errors);
        read_root(root, result.value);
        root.finish();
    } catch (const YAML::Exception& error) {
        result.errors.push_back({.line = error.mark.line + 1,
                                 .column = error.mark.column + 1,
                                 .path = {},
                                 .expected = "well-formed YAML: " + error.msg});
        return result;
    }
    validate_peers(result.value, result.errors);
    validate_deployment(result.value, result.errors);
    for (const auto& message : config::validate(result.value.configuration)) {
        result.errors.push_back(
            {.path = "configuration", .expected = "a valid configuration: " + message});
    }
    return result;
}

read_result read_instance_settings_file(const std::string& file) {
    bool readable = false;
    const auto text = read_file(file, readable);
    if (!readable) {
        return {.value = {}, .errors = {{.expected = "a readable file"}}};
    }
    auto result = read_instance_settings(text);
    if (result.errors.empty() && !result.value.configuration_file.empty()) {
        add_configuration_file(file, result);
    }
    return result;
}

configuration_result read_configuration(const std::string& text) {
    configuration_result result;
    try {
        map_reader root(YAML::Load(text), "", result.errors);
        detail::read_configuration(root, result.value);
        root.finish();
    } catch (const YAML::Exception& error) {
        result.errors.push_back({.line = error.mark.line + 1,
                                 .column = error.mark.column + 1,
                                 .path = {},
                                 .expected = "well-formed YAML: " + error.msg});
    }
    return result;
}

} // namespace tarragonspar::settings
