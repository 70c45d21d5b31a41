// The HTTP server over real sockets: every accepted connection is answered, even during shutdown.

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

#include "tarragonspar/http/server.hpp"

namespace {

using namespace tarragonspar;
namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

asio::awaitable<void> answer_ok(http::exchange& with) {
    http::reply ok;
    ok.body = "{}";
    co_await with.respond(std::move(ok));
}

/// A server on its own port, run by its own threads.
class running_server {
public:
    running_server() {
        server_ = std::make_shared<http::server>(
            context_, http::server_options{.listen = {.address = "127.0.0.1", .port = 0}},
            answer_ok);
        server_->start();
        endpoint_ = {asio::ip::make_address("127.0.0.1"), server_->port()};
        for (auto& thread : threads_) {
            thread = std::thread([this] { context_.run(); });
        }
    }
    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;
    running_server(running_server&&) = delete;
    running_server& operator=(running_server&&) = delete;
    ~running_server() {
        context_.stop();
        for (auto& thread : threads_) {
            thread.join();
        }
    }

    http::server& operator*() {
        return *server_;
    }
    http::server* operator->() {
        return server_.get();
    }
    [[nodiscard]] const asio::ip::tcp::endpoint& endpoint() const {
        return endpoint_;
    }

private:
    asio::io_context context_;
    std::shared_ptr<http::server> server_;
    asio::ip::tcp::endpoint endpoint_;
    std::array<std::thread, 2> threads_;
};

enum class call_outcome { refused, aborted, answered };

/// Connects, sends one request and reads the response.
call_outcome call_once(const asio::ip::tcp::endpoint& endpoint) {
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    // A server that is shutting down drops SYN segments, which the kernel would retransmit for a
    // long time.
    constexpr auto connect_timeout = std::chrono::milliseconds{200};
    boost::system::error_code error = asio::error::timed_out;
    caller.async_connect(endpoint, [&](boost::system::error_code result) { error = result; });
    context.run_for(connect_timeout);
    if (error) {
        return call_outcome::refused;
    }
    asio::write(caller, asio::buffer("GET / HTTP/1.1\r\nHost: h.example\r\n\r\n", 35), error);
    boost::beast::flat_buffer buffer;
    beast_http::response<beast_http::string_body> answer;
    if (!error) {
        beast_http::read(caller, buffer, answer, error);
    }
    return error ? call_outcome::aborted : call_outcome::answered;
}

} // namespace

TEST(Server, ShutdownUnderLoadResetsNoEstablishedConnection) {
    constexpr int rounds = 40;
    constexpr int caller_count = 6;
    std::atomic<int> aborted{0};
    std::atomic<int> answered{0};
    for (int round = 0; round < rounds; ++round) {
        running_server server;
        std::vector<std::thread> callers;
        for (int i = 0; i < caller_count; ++i) {
            callers.emplace_back([&] {
                for (;;) {
                    const auto outcome = call_once(server.endpoint());
                    if (outcome == call_outcome::refused) {
                        return;
                    }
                    ++(outcome == call_outcome::aborted ? aborted : answered);
                }
            });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
        server->stop_accepting();
        for (auto& caller : callers) {
            caller.join();
        }
        while (server->connections() > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }
    EXPECT_GT(answered, 0);
    EXPECT_EQ(aborted, 0) << answered << " answered";
}
