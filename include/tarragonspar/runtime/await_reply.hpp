#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tarragonspar::runtime {

/// @brief Suspends a coroutine until a callback is called from another thread.
/// @param start  starts the operation; receives the callback
/// @return the value that the callback was called with
template <class T>
boost::asio::awaitable<T> await_reply(std::function<void(std::function<void(T)>)> start) {
    using channel =
        boost::asio::experimental::concurrent_channel<void(boost::system::error_code, T)>;
    const auto replies = std::make_shared<channel>(co_await boost::asio::this_coro::executor, 1);
    start([replies](T value) { replies->try_send(boost::system::error_code{}, std::move(value)); });
    auto [error, value] =
        co_await replies->async_receive(boost::asio::as_tuple(boost::asio::use_awaitable));
    co_return std::move(value);
}

} // namespace tarragonspar::runtime
