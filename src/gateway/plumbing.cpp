#include "tarragonspar/gateway/plumbing.hpp"

#include <charconv>
#include <map>
#include <string_view>

#include <nlohmann/json.hpp>

#include "tarragonspar/gateway/caller_log.hpp"
#include "tarragonspar/http/completion_api.hpp"
#include "tarragonspar/http/operator_token.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace {

using nlohmann::json;

constexpr std::string_view quarantines_path = "/quarantines";
constexpr std::string_view quarantine_prefix = "/quarantines/";

http::reply list_quarantines(const operator_functions& functions) {
    auto list = json::array();
    for (const auto& item : functions.quarantines()) {
        list.push_back({{"part", to_hex(item.part)},
                        {"crashes", item.crashes},
                        {"remaining_ms", to_milliseconds(item.remaining)},
                        {"refused", item.refusals}});
    }
    http::reply out;
    out.body = json{{"quarantines", std::move(list)}}.dump();
    return out;
}

http::reply lift_quarantine(const operator_functions& functions, std::string_view text) {
    std::uint64_t part = 0;
    constexpr int hexadecimal = 16;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), part, hexadecimal);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return http::format_error(400, "the part is not a hexadecimal number");
    }
    if (!functions.lift_quarantine(part)) {
        return http::format_error(404, "the part is not suspected");
    }
    telemetry::write(
        telemetry::log_line("quarantine_lifted_by_operator").add("part", to_hex(part)));
    http::reply out;
    out.body = "{}";
    return out;
}

http::reply answer_operator(const http::exchange& with, const telemetry::metrics& source,
                            const operator_functions& functions,
                            const std::vector<std::string>& tokens) {
    const auto view = with.request().target();
    const std::string_view target(view.data(), view.size());
    if (!target.starts_with(quarantines_path)) {
        http::reply out;
        out.content_type = "text/plain; version=0.0.4";
        out.body = source.expose();
        return out;
    }
    if (!http::has_operator_token(with, tokens)) {
        return http::format_error(401, "an operator's token is needed");
    }
    const auto method = with.request().method();
    if (target == quarantines_path && method == http::beast_http::verb::get) {
        return list_quarantines(functions);
    }
    if (target.starts_with(quarantine_prefix) && method == http::beast_http::verb::delete_) {
        return lift_quarantine(functions, target.substr(quarantine_prefix.size()));
    }
    return http::format_error(404, "no such call");
}

} // namespace

void run_guarded(boost::asio::io_context& context) {
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception& error) {
            telemetry::write(telemetry::log_line("unexpected_error").add("what", error.what()));
        }
    }
}

wire::node_options make_node_options(const settings::instance_settings& from) {
    wire::node_options options;
    options.self = from.id;
    options.listen = from.wire;
    options.tls = from.wire_tls;
    // All instances of a deployment use the same port for the protocol between them.
    options.locate = [port = from.wire.port](instance_id id) {
        return std::optional{
            settings::endpoint{.address = settings::instance_address(id), .port = port}};
    };
    return options;
}

std::vector<instance_id> founders_of(const settings::instance_settings& from) {
    std::vector<instance_id> ids;
    for (const auto& address : from.deployment.founders) {
        if (const auto id = settings::parse_instance_address(address)) {
            ids.push_back(*id);
        }
    }
    return ids;
}

admission::quota_tolerance tolerance_of(const settings::instance_settings& from) {
    return {.overage = from.deployment.quota_overage, .slack = from.deployment.quota_slack};
}

std::shared_ptr<http::server> make_metrics_server(boost::asio::io_context& context,
                                                  const settings::instance_settings& from,
                                                  const telemetry::metrics& source,
                                                  operator_functions functions,
                                                  std::shared_ptr<http::caller_guard> guard) {
    if (from.deployment.metrics.port == 0) {
        return nullptr;
    }
    http::server_options options;
    options.listen = from.deployment.metrics;
    options.limits = small_server_limits(from.limits);
    options.guard = std::move(guard);
    return std::make_shared<http::server>(
        context, options,
        [&source, functions = std::move(functions),
         tokens = from.operator_tokens](http::exchange& with) -> boost::asio::awaitable<void> {
            auto out = answer_operator(with, source, functions, tokens);
            co_await with.respond(std::move(out));
        });
}

void log_start(const settings::instance_settings& instance, std::string_view role) {
    telemetry::write(telemetry::log_line("started")
                         .add("role", role)
                         .add("instance", settings::instance_address(instance.id))
                         .add("failure_domain", instance.failure_domain)
                         .add("first_start", instance.deployment.first_start ? 1 : 0));
}

void log_server_changes(const std::vector<config::server>& before,
                        const std::vector<config::server>& after) {
    std::map<server_id, const config::server*> known;
    for (const auto& item : before) {
        known.emplace(item.id, &item);
    }
    const auto log = [](const config::server& item, std::string_view change) {
        telemetry::write(telemetry::log_line("server_listed")
                             .add("server", item.name)
                             .add("address", item.address)
                             .add("change", change));
    };
    for (const auto& item : after) {
        const auto found = known.find(item.id);
        if (found == known.end()) {
            log(item, "new");
            continue;
        }
        if (found->second->state != item.state) {
            log(item, to_string(item.state));
        }
        known.erase(found);
    }
    for (const auto& [id, item] : known) {
        log(*item, "gone");
    }
}

} // namespace tarragonspar::gateway
