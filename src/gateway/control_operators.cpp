// Operators' calls at a control instance.

#include "tarragonspar/gateway/control_instance.hpp"
#include "tarragonspar/gateway/plumbing.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;
using runtime::now;

namespace {

/// Time after which an operator gets the answer that the outcome of a publication is unknown.
/// Operators retry at another instance after about a second.
constexpr auto publish_timeout = std::chrono::milliseconds{3'000};
/// Time after which an operator gets the answer that the newest document can't be proved.
constexpr auto read_newest_timeout = std::chrono::milliseconds{900};
http::reply plain(unsigned status, std::string body = "{}") {
    http::reply out;
    out.status = status;
    out.body = std::move(body);
    return out;
}

http::reply unknown_call() {
    return plain(404, R"({"title":"no such call"})");
}

} // namespace

std::optional<http::reply> control_instance::check_head(const http::request_message& head) const {
    const auto call = protocol_->read_operator_call(head);
    return std::holds_alternative<std::monostate>(call) ? std::optional(unknown_call())
                                                        : std::nullopt;
}

asio::awaitable<void> control_instance::handle(http::exchange& with) {
    auto call = protocol_->read_operator_call(with.request());
    if (auto* published = std::get_if<publish_call>(&call)) {
        static_cast<void>(with.take_body()); // the call has its own copy
        co_await publish(with, std::move(published->content));
        co_return;
    }
    if (std::holds_alternative<read_call>(call)) {
        co_await read_newest(with);
        co_return;
    }
    auto unknown = unknown_call();
    co_await with.respond(std::move(unknown));
}

asio::awaitable<void> control_instance::publish(http::exchange& with, std::string content) {
    auto read = protocol_->read_catalogue(content);
    if (read.errors.empty()) {
        read.errors = config::validate(read.value);
    }
    if (!read.errors.empty()) {
        telemetry::write(telemetry::log_line("document_refused")
                             .add("number", static_cast<std::int64_t>(read.value.number.value))
                             .add("why", read.errors.front()));
        auto refused = http::format_error(400, read.errors.front());
        co_await with.respond(std::move(refused));
        co_return;
    }
    const auto started = now();
    const auto number = read.value.number;
    config::document document{.number = number, .content = std::move(content)};
    using result = runtime::control_service::publication;
    std::function<void(std::function<void(result)>)> start = [&](std::function<void(result)> done) {
        control_->publish(std::move(document), std::move(done));
    };
    const auto publish_outcome = co_await await_bounded<result>(
        context_, publish_timeout, result{.attempts = -1}, std::move(start));
    const auto waited = now() - started;
    metrics_.record_publication(publish_outcome.acknowledged, waited);
    telemetry::write(
        telemetry::log_line("document_published")
            .add("number", static_cast<std::int64_t>(number.value))
            .add("acknowledged", publish_outcome.acknowledged ? 1 : 0)
            .add("wait_ms", to_milliseconds(waited))
            .add("attempts", publish_outcome.attempts)
            .add("through", publish_outcome.through
                                ? settings::instance_address(*publish_outcome.through)
                                : "none")
            .add("leader", group_.leader ? settings::instance_address(*group_.leader) : "none"));
    auto answer = publish_outcome.acknowledged ? plain(200)
                                               : plain(503, R"({"title":"no majority answers"})");
    co_await with.respond(std::move(answer));
}

asio::awaitable<void> control_instance::read_newest(http::exchange& with) {
    using result = std::optional<config::document>;
    std::function<void(std::function<void(result)>)> start = [&](std::function<void(result)> done) {
        control_->read_published(std::move(done));
    };
    const auto newest = co_await await_bounded<result>(context_, read_newest_timeout, std::nullopt,
                                                       std::move(start));
    const auto known = newest && newest->number.value > 0;
    auto answer = known ? plain(200, newest->content)
                        : plain(503, R"({"title":"the newest document can't be proved"})");
    co_await with.respond(std::move(answer));
}

} // namespace tarragonspar::gateway
