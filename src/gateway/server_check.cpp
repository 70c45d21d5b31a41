#include "tarragonspar/gateway/server_check.hpp"

#include <boost/asio/ip/tcp.hpp>

#include "tarragonspar/http/detail/serve.hpp"
#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using dispatch::server_fate;
using runtime::now;

asio::awaitable<server_fate> server_check::check(const settings::endpoint& server) {
    const auto key = settings::to_string(server);
    forget_old();
    if (const auto found = results_.find(key); found != results_.end()) {
        const auto known = found->second;
        if (!known->has_ended) {
            co_await known->done.async_wait(http::detail::as_result);
        }
        co_return known->fate;
    }
    if (!acquire()) {
        co_return server_fate::unknown;
    }
    const auto own = std::make_shared<result>(context_);
    results_.emplace(key, own);
    ++running_;
    const auto fate = co_await connect(server);
    --running_;
    own->fate = fate;
    own->at = now();
    own->has_ended = true;
    own->done.cancel();
    co_return fate;
}

asio::awaitable<server_fate> server_check::connect(settings::endpoint server) {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(server.address, error);
    if (error) {
        co_return server_fate::unknown;
    }
    const auto socket = std::make_shared<tcp::socket>(context_);
    asio::steady_timer timeout(context_, options_.timeout);
    timeout.async_wait([weak = std::weak_ptr(socket)](boost::system::error_code expired) {
        if (const auto open = weak.lock(); open && !expired) {
            boost::system::error_code ignored;
            open->close(ignored);
        }
    });
    const tcp::endpoint endpoint(address, server.port);
    const auto [failed] = co_await socket->async_connect(endpoint, http::detail::as_result);
    timeout.cancel();
    if (failed == asio::error::connection_refused) {
        co_return server_fate::ended;
    }
    co_return failed ? server_fate::unknown : server_fate::alive;
}

bool server_check::acquire() {
    if (now() - second_ >= std::chrono::seconds{1}) {
        second_ = now();
        started_ = 0;
    }
    if (running_ >= options_.max_concurrent || started_ >= options_.max_per_second) {
        return false;
    }
    ++started_;
    return true;
}

void server_check::forget_old() {
    std::erase_if(results_, [&](const auto& item) {
        return item.second->has_ended && now() - item.second->at >= options_.result_lifetime;
    });
}

} // namespace tarragonspar::gateway
