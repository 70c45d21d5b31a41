#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::http::detail {

/// Completion token that yields the error as a value.
constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);

/// @brief What the sessions of one server share; outlives them.
struct session_context {
    const settings::http_limits& limits;
    const std::atomic<bool>& stopping;
    const std::function<boost::asio::awaitable<void>(exchange&)>& handle;
};

/// @brief Serves one connection over plain TCP until it ends.
boost::asio::awaitable<void> serve_plain(boost::asio::ip::tcp::socket socket,
                                         session_context context);

/// @brief Serves one connection over TLS until it ends.
boost::asio::awaitable<void> serve_tls(boost::asio::ip::tcp::socket socket,
                                       std::shared_ptr<boost::asio::ssl::context> tls,
                                       session_context context);

} // namespace tarragonspar::http::detail
