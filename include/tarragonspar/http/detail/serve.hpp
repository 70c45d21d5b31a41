#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "tarragonspar/http/caller_guard.hpp"
#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::http::detail {

/// Completion token that returns errors as values.
constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);

/// @brief Connections that wait for a request, so that they can be closed when the server shuts
/// down.
class idle_list {
public:
    /// @brief Adds an idle connection.
    /// @param close  closes it; called by `close_all` in that function's thread and with the list
    /// locked, so it must not call the list and must post the closing to the connection's executor
    /// @return a key for `remove`
    std::uint64_t add(std::function<void()> close) {
        const std::lock_guard lock(mutex_);
        connections_.emplace(++next_, std::move(close));
        return next_;
    }
    void remove(std::uint64_t key) {
        const std::lock_guard lock(mutex_);
        connections_.erase(key);
    }
    void close_all() {
        const std::lock_guard lock(mutex_);
        for (const auto& [key, close] : connections_) {
            close();
        }
    }

private:
    std::mutex mutex_;
    std::uint64_t next_{0};
    std::map<std::uint64_t, std::function<void()>> connections_;
};

/// @brief State shared by the sessions of one server; must outlive them.
struct session_context {
    const std::atomic<std::shared_ptr<const settings::http_limits>>& limits;
    const std::atomic<bool>& draining;
    const std::function<boost::asio::awaitable<void>(exchange&)>& handle;
    idle_list& idle;
    const head_check& check_head; ///< may be empty
    std::shared_ptr<caller_guard> guard;
    unsigned server{0}; ///< the server's number at the guard
};

/// @brief Serves one connection over plain TCP until it ends.
boost::asio::awaitable<void> serve_plain(boost::asio::ip::tcp::socket socket,
                                         session_context context);

/// @brief Serves one connection over TLS until it ends.
boost::asio::awaitable<void> serve_tls(boost::asio::ip::tcp::socket socket,
                                       std::shared_ptr<boost::asio::ssl::context> tls,
                                       session_context context);

} // namespace tarragonspar::http::detail
