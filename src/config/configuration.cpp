#include "tarragonspar/config/configuration.hpp"

#include <set>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace tarragonspar::config {

namespace {

server_kind parse_kind(const std::string& text) {
    if (text == "engine") {
        return server_kind::engine;
    }
    if (text == "service") {
        return server_kind::service;
    }
    throw std::invalid_argument("kind must be engine or service, not " + text);
}

server_state parse_state(const std::string& text) {
    if (text == "active") {
        return server_state::active;
    }
    if (text == "draining") {
        return server_state::draining;
    }
    if (text == "retired") {
        return server_state::retired;
    }
    throw std::invalid_argument("state must be active, draining or retired, not " + text);
}

void validate_profile(const profile& value, std::vector<std::string>& errors) {
    if (value.name.empty()) {
        errors.emplace_back("a profile needs a name");
    }
    if (value.urgency.value >= tier_count) {
        errors.push_back("profile " + value.name + ": tier must be below 4");
    }
    if (value.deadline.count() <= 0) {
        errors.push_back("profile " + value.name + ": deadline_ms must be above 0");
    }
    if (value.max_output_tokens == 0) {
        errors.push_back("profile " + value.name + ": max_output_tokens must be above 0");
    }
}

void validate_server(const server& value, std::vector<std::string>& errors) {
    if (value.address.find(':') == std::string::npos) {
        errors.push_back("server " + value.name + ": address must be IP:port");
    }
    if (value.offers.empty()) {
        errors.push_back("server " + value.name + ": it offers no model or service");
    }
    if (value.slots == 0) {
        errors.push_back("server " + value.name + ": slots must be above 0");
    }
}

} // namespace

std::string_view to_string(server_kind value) noexcept {
    return value == server_kind::engine ? "engine" : "service";
}

std::string_view to_string(server_state value) noexcept {
    switch (value) {
    case server_state::active:
        return "active";
    case server_state::draining:
        return "draining";
    case server_state::retired:
        break;
    }
    return "retired";
}

software_id software_of(const server& value) noexcept {
    return {value.software_version.empty() ? 0 : hash_name(value.software_version)};
}

void to_json(nlohmann::json& out, const profile& value) {
    out = {{"name", value.name},
           {"tier", value.urgency.value},
           {"deadline_ms", value.deadline.count()},
           {"idempotent", value.idempotent},
           {"max_output_tokens", value.max_output_tokens}};
}

void from_json(const nlohmann::json& in, profile& value) {
    value.name = in.at("name").get<std::string>();
    value.urgency = {in.at("tier").get<std::uint8_t>()};
    value.deadline = std::chrono::milliseconds{in.at("deadline_ms").get<std::int64_t>()};
    value.idempotent = in.value("idempotent", true);
    value.max_output_tokens = in.value("max_output_tokens", 512U);
}

void to_json(nlohmann::json& out, const server& value) {
    out = {{"id", value.id.value},
           {"name", value.name},
           {"failure_domain", value.failure_domain},
           {"address", value.address},
           {"kind", to_string(value.kind)},
           {"state", to_string(value.state)},
           {"offers", value.offers},
           {"hardware_class", value.hardware_class},
           {"slots", value.slots},
           {"slots_are_exact", value.slots_are_exact},
           {"checks_fencing", value.checks_fencing}};
    if (value.started_at_ms != 0) {
        out["started_at_ms"] = value.started_at_ms;
    }
    if (!value.software_version.empty()) {
        out["software_version"] = value.software_version;
    }
}

void from_json(const nlohmann::json& in, server& value) {
    value.id = {in.at("id").get<std::uint32_t>()};
    value.name = in.at("name").get<std::string>();
    value.failure_domain = in.at("failure_domain").get<std::string>();
    value.address = in.at("address").get<std::string>();
    value.kind = parse_kind(in.value("kind", "engine"));
    value.state = parse_state(in.value("state", "active"));
    value.offers = in.at("offers").get<std::vector<std::string>>();
    value.hardware_class = in.value("hardware_class", "");
    value.slots = in.value("slots", 8U);
    value.slots_are_exact = in.value("slots_are_exact", false);
    value.checks_fencing = in.value("checks_fencing", false);
    value.started_at_ms = in.value("started_at_ms", std::uint64_t{0});
    value.software_version = in.value("software_version", "");
}

void to_json(nlohmann::json& out, const workspace_limit& value) {
    out = {{"workspace", value.workspace}, {"max_in_system", value.max_in_system}};
}

void from_json(const nlohmann::json& in, workspace_limit& value) {
    value.workspace = in.at("workspace").get<std::string>();
    value.max_in_system = in.at("max_in_system").get<std::uint32_t>();
}

void to_json(nlohmann::json& out, const configuration& value) {
    out = {{"revision", value.number.value},
           {"profiles", nlohmann::json::array()},
           {"servers", nlohmann::json::array()},
           {"limits", nlohmann::json::array()}};
    for (const auto& [name, item] : value.profiles) {
        out["profiles"].push_back(item);
    }
    for (const auto& [id, item] : value.servers) {
        out["servers"].push_back(item);
    }
    for (const auto& [name, item] : value.limits) {
        out["limits"].push_back(item);
    }
}

void from_json(const nlohmann::json& in, configuration& value) {
    value.number = {in.value("revision", std::uint64_t{0})};
    for (const auto& item : in.at("profiles")) {
        auto parsed = item.get<profile>();
        value.profiles.insert_or_assign(parsed.name, parsed);
    }
    for (const auto& item : in.at("servers")) {
        auto parsed = item.get<server>();
        value.servers.insert_or_assign(parsed.id, parsed);
    }
    for (const auto& item : in.value("limits", nlohmann::json::array())) {
        auto parsed = item.get<workspace_limit>();
        value.limits.insert_or_assign(parsed.workspace, parsed);
    }
}

std::vector<std::string> validate(const configuration& value) {
    std::vector<std::string> errors;
    for (const auto& [name, item] : value.profiles) {
        validate_profile(item, errors);
    }
    std::set<std::string> names;
    for (const auto& [id, item] : value.servers) {
        validate_server(item, errors);
        if (!names.insert(item.name).second) {
            errors.push_back("two servers are named " + item.name);
        }
    }
    return errors;
}

} // namespace tarragonspar::config
