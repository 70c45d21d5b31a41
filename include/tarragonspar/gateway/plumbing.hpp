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

/// @brief Functions shared by entry and control instances.
namespace tarragonspar::gateway {

/// @brief Runs a context until it is stopped. An exception that escapes a handler ends only that
/// handler and is logged: one request or message must not terminate the process.
void run_guarded(boost::asio::io_context& context);

/// @brief Returns the options of the protocol between instances, where the address follows from the
/// id.
[[nodiscard]] wire::node_options make_node_options(const settings::instance_settings& from);

/// @brief Returns the control instances that the settings name as founders.
[[nodiscard]] std::vector<instance_id> founders_of(const settings::instance_settings& from);

/// @brief Returns by how much quotas may be exceeded.
[[nodiscard]] admission::quota_tolerance tolerance_of(const settings::instance_settings& from);

/// @brief What operators may ask at the metrics address besides the metrics.
struct operator_functions {
    std::function<std::vector<dispatch::quarantine_summary>()> quarantines;
    /// Ends the quarantine of a prompt part; returns whether the part was suspected.
    std::function<bool(std::uint64_t)> lift_quarantine;
};

/// @brief Creates a server for the metrics address of the settings; null if they have none.
/// @throw boost::system::system_error if the address can't be bound
[[nodiscard]] std::shared_ptr<http::server>
make_metrics_server(boost::asio::io_context& context, const settings::instance_settings& from,
                    const telemetry::metrics& source, operator_functions functions,
                    std::shared_ptr<http::caller_guard> guard);

/// @brief Logs that an instance has started.
void log_start(const settings::instance_settings& instance, std::string_view role);

/// @brief Logs servers that were added, removed or changed their state.
void log_server_changes(const std::vector<config::server>& before,
                        const std::vector<config::server>& after);

/// @brief Waits for a callback for a limited time.
/// @param fallback  returned when the callback is not called within the limit
template <class T>
boost::asio::awaitable<T> await_bounded(boost::asio::io_context& context,
                                        std::chrono::milliseconds limit, T fallback,
                                        std::function<void(std::function<void(T)>)> start) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context, limit);
    std::function<void(std::function<void(T)>)> begin = [timer, fallback, &start](auto done) {
        timer->async_wait([timer, fallback, done](boost::system::error_code error) {
            if (!error) {
                done(fallback);
            }
        });
        start(done);
    };
    auto value = co_await runtime::await_reply<T>(std::move(begin));
    timer->cancel();
    co_return std::move(value);
}

} // namespace tarragonspar::gateway
