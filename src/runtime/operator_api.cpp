#include "tarragonspar/runtime/operator_api.hpp"

#include <nlohmann/json.hpp>

#include "tarragonspar/http/completion_api.hpp"
#include "tarragonspar/http/operator_token.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view admin_prefix = "/admin/";

unsigned status_of(config::change_result result) {
    switch (result) {
    case config::change_result::accepted:
        return 200;
    case config::change_result::conflict:
        return 409;
    case config::change_result::invalid:
        break;
    }
    return 422;
}

} // namespace

operator_api::operator_api(config_service& configuration, std::vector<std::string> tokens,
                           callbacks callbacks_in)
    : configuration_(configuration), tokens_(std::move(tokens)),
      callbacks_(std::move(callbacks_in)) {}

asio::awaitable<bool> operator_api::handle(http::exchange& with) {
    const auto view = with.request().target();
    const std::string target(view.data(), view.size());
    if (!target.starts_with(admin_prefix)) {
        co_return false;
    }
    if (!http::has_operator_token(with, tokens_)) {
        co_await with.respond(http::format_error(401, "an operator's token is needed"));
        co_return true;
    }
    const auto is_post = with.request().method() == http::beast_http::verb::post;
    if (target == "/admin/changes" && is_post) {
        co_await handle_change(with);
    } else if (target == "/admin/test/cut" && is_post && callbacks_.cut_off) {
        co_await handle_cut(with);
    } else {
        co_await send_resource(with, target);
    }
    co_return true;
}

asio::awaitable<void> operator_api::handle_change(http::exchange& with) {
    config::change change;
    std::string rejection;
    try {
        change = json::parse(with.request().body()).get<config::change>();
        if (change.id.empty()) {
            rejection = "a change needs an id";
        }
    } catch (const std::exception& error) {
        rejection = error.what();
    }
    if (!rejection.empty()) {
        co_await with.respond(http::format_error(400, rejection));
        co_return;
    }
    const auto answer = co_await configuration_.propose(std::move(change));
    http::reply out;
    if (answer) {
        out.status = status_of(answer->result);
        out.body = json(*answer).dump();
    } else {
        out = http::format_error(
            503, "it is not known whether the change was accepted; send it again under its id");
    }
    co_await with.respond(std::move(out));
}

asio::awaitable<void> operator_api::send_resource(http::exchange& with, const std::string& target) {
    const auto state = configuration_.current();
    http::reply out;
    if (target == "/admin/config") {
        out.body = json(state->current).dump();
    } else if (target == "/admin/history") {
        out.body = json(state->history).dump();
    } else if (target == "/admin/status") {
        out.body = co_await callbacks_.status();
    } else {
        out = http::format_error(404, "no such path");
    }
    co_await with.respond(std::move(out));
}

asio::awaitable<void> operator_api::handle_cut(http::exchange& with) {
    const auto body = json::parse(with.request().body(), nullptr, false);
    std::set<instance_id> peers;
    if (body.is_object()) {
        for (const auto& id : body.value("peers", std::vector<std::uint32_t>{})) {
            peers.insert({id});
        }
    }
    callbacks_.cut_off(std::move(peers));
    http::reply out;
    out.body = "{}";
    co_await with.respond(std::move(out));
}

} // namespace tarragonspar::runtime
