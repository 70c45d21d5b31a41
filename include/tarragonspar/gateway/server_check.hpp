#pragma once

#include <map>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/dispatch/server_loss.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::gateway {

/// @brief Options of `server_check`.
struct server_check_options {
    /// Several round trips between failure domains; a retry waits for the check.
    std::chrono::milliseconds timeout{250};
    /// Time for which a result is used; a server that has just ended is not back earlier.
    std::chrono::milliseconds result_lifetime{500};
    /// Bounds on checks, since a server counts connections; many losses at once have one cause.
    std::size_t max_concurrent{8};
    std::size_t max_per_second{20};
};

/// @brief Finds out whether a server that ended a connection still accepts connections.
///
/// Used on the context's thread only. Must outlive its checks.
class server_check {
public:
    explicit server_check(boost::asio::io_context& context, server_check_options options = {})
        : context_(context), options_(options) {}

    /// @brief Opens a connection to the server and closes it.
    /// @return `unknown` if there is no clear result in time or too many checks are made
    boost::asio::awaitable<dispatch::server_fate> check(const settings::endpoint& server);

private:
    /// A check that runs or whose result is still used.
    struct result {
        explicit result(boost::asio::io_context& context)
            : done(context, boost::asio::steady_timer::time_point::max()) {}
        boost::asio::steady_timer done; ///< cancelled when the check has ended
        bool has_ended{false};
        dispatch::server_fate fate{dispatch::server_fate::unknown};
        time_point at{};
    };

    boost::asio::awaitable<dispatch::server_fate> connect(settings::endpoint server);
    /// @brief Whether one more check may be made now.
    [[nodiscard]] bool acquire();
    void forget_old();

    boost::asio::io_context& context_;
    server_check_options options_;
    std::map<std::string, std::shared_ptr<result>> results_;
    std::size_t running_{0};
    time_point second_{}; ///< begin of the second in which `started_` checks were made
    std::size_t started_{0};
};

} // namespace tarragonspar::gateway
