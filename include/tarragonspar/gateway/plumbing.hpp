#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/admission/quota.hpp"
#include "tarragonspar/http/completion_api.hpp"
#include "tarragonspar/http/server.hpp"
#include "tarragonspar/runtime/await_reply.hpp"
#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/telemetry/metrics.hpp"
#include "tarragonspar/wire/node.hpp"

/// @brief What entry and control instances have in common.
namespace tarragonspar::gateway {

/// @brief Runs a context until it is stopped. An exception that leaves a handler ends that handler
/// alone, with a log line: one request or message must not take the process down.
void run_guarded(boost::asio::io_context& context);

/// @brief Options of the protocol between instances, where an id tells the address.
[[nodiscard]] wire::node_options make_node_options(const settings::instance_settings& from);

/// @brief The control instances that the settings name.
[[nodiscard]] std::vector<instance_id> founders_of(const settings::instance_settings& from);

/// @brief How far quotas may be stretched.
[[nodiscard]] admission::quota_tolerance tolerance_of(const settings::instance_settings& from);

/// @brief A server for the metrics address of the settings, or null where there is none.
/// @throw boost::system::system_error if the address can't be bound
[[nodiscard]] std::shared_ptr<http::server>
make_metrics_server(boost::asio::io_context& context, const settings::instance_settings& from,
                    const telemetry::metrics& shown);

/// @brief Logs that an instance has started.
void log_start(const settings::instance_settings& of, std::string_view role);

/// @brief Logs servers that came, left or changed their state.
void log_server_changes(const std::vector<config::server>& before,
                        const std::vector<config::server>& after);

/// @brief Waits for a callback, for a limited time.
/// @param late  returned when the callback did not come in time
template <class T>
boost::asio::awaitable<T> await_bounded(boost::asio::io_context& context,
                                        std::chrono::milliseconds limit, T late,
                                        std::function<void(std::function<void(T)>)> start) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context, limit);
    std::function<void(std::function<void(T)>)> begin = [timer, late, &start](auto done) {
        timer->async_wait([timer, late, done](boost::system::error_code error) {
            if (!error) {
                done(late);
            }
        });
        start(done);
    };
    auto value = co_await runtime::await_reply<T>(std::move(begin));
    timer->cancel();
    co_return std::move(value);
}

} // namespace tarragonspar::gateway
