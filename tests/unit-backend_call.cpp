#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "endless_server.hpp"
#include "tarragonspar/http/backend_call.hpp"
#include "tarragonspar/http/engine_client.hpp"

// A server may send endless bytes that are not a valid response. A call must then fail and buffer
// only a bounded part of them.

namespace {

using namespace tarragonspar;
using tarragonspar::testing::endless_server;
namespace asio = boost::asio;

/// Bound for the bytes that sockets and one read may hold when the call closes.
constexpr std::size_t max_buffered_bytes = 64UL * 1024 * 1024;

const std::string valid_head = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n";

struct call_result {
    bool head{false};
    bool broken{false};
    std::size_t body_bytes{0};
};

/// Reads a response until its end or until `body_limit` bytes of the body have arrived.
asio::awaitable<void> read_answer(std::uint16_t port, std::size_t body_limit, call_result& out) {
    const auto executor = co_await asio::this_coro::executor;
    const auto call = std::make_shared<http::backend_call>(executor);
    const settings::endpoint endpoint{.address = "127.0.0.1", .port = port};
    const bool connected = co_await call->connect(endpoint);
    EXPECT_TRUE(connected);
    call->send("GET", "/", {}, {});
    const auto head = co_await call->read_head();
    out.head = head.has_value();
    bool more = out.head;
    while (more) {
        const auto part = co_await call->read_body();
        out.body_bytes += part.bytes.size();
        out.broken = part.broken;
        more = !part.broken && !part.complete && out.body_bytes < body_limit;
    }
    call->close();
}

call_result run_call(const endless_server& server, std::size_t body_limit = 1024) {
    asio::io_context context;
    call_result out;
    asio::co_spawn(context, read_answer(server.port(), body_limit, out), asio::detached);
    context.run();
    return out;
}

/// Expects a call to fail and close when the head or what follows it never ends.
void expect_failure(const std::string& first, const std::string& repeated) {
    endless_server server(first, repeated);
    const auto result = run_call(server);
    EXPECT_TRUE(!result.head || result.broken) << first.substr(0, 60);
    EXPECT_LT(server.written(), max_buffered_bytes);
}

} // namespace

TEST(BackendCall, FailsOnAnEndlessHead) {
    expect_failure(valid_head, "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
}

TEST(BackendCall, FailsOnAnEndlessHeaderLine) {
    expect_failure(valid_head + "X-Filler: ", std::string(4096, 'a'));
}

TEST(BackendCall, FailsOnAnEndlessStatusLine) {
    expect_failure("HTTP/1.1 200 ", std::string(4096, 'a'));
}

TEST(BackendCall, FailsOnEndlessInterimResponses) {
    expect_failure("", "HTTP/1.1 100 Continue\r\n\r\n");
    expect_failure("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
}

TEST(BackendCall, FailsOnAnEndlessChunkExtension) {
    expect_failure(valid_head + "Transfer-Encoding: chunked\r\n\r\n5;x=", std::string(4096, 'a'));
}

TEST(BackendCall, FailsOnAnEndlessChunkSize) {
    expect_failure(valid_head + "Transfer-Encoding: chunked\r\n\r\n", std::string(4096, '0'));
}

TEST(BackendCall, FailsOnEndlessTrailers) {
    expect_failure(valid_head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                   "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
}

TEST(BackendCall, FailsOnBytesThatAreNotHttp) {
    expect_failure("", std::string(4096, '\0'));
    expect_failure("", "not an answer at all\r\n");
}

// The body itself has no limit; the caller reads it in parts and may stop at any time.
TEST(BackendCall, ABodyWithoutLengthIsReadInBoundedParts) {
    endless_server server(valid_head + "\r\n", std::string(4096, 'a'));
    const auto result = run_call(server, 1024 * 1024);
    EXPECT_TRUE(result.head);
    EXPECT_GE(result.body_bytes, 1024U * 1024);
    EXPECT_LT(server.written(), max_buffered_bytes);
}

// A head that arrives one byte at a time must not extend the timeout.
TEST(BackendCall, FailsOnAHeadSentByteByByte) {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    std::atomic<bool> closed{false};
    std::thread server([&] {
        boost::system::error_code error;
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket, error);
        asio::write(socket, asio::buffer(valid_head), error);
        while (!error) {
            asio::write(socket, asio::buffer("X", 1), error);
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        closed = true;
    });
    asio::io_context client_context;
    bool read = true;
    asio::co_spawn(
        client_context,
        [&]() -> asio::awaitable<void> {
            http::backend_call_options options;
            options.head_timeout = std::chrono::milliseconds{200};
            const auto call =
                std::make_shared<http::backend_call>(client_context.get_executor(), options);
            const settings::endpoint endpoint{.address = "127.0.0.1",
                                              .port = acceptor.local_endpoint().port()};
            const bool connected = co_await call->connect(endpoint);
            EXPECT_TRUE(connected);
            call->send("GET", "/", {}, {});
            const auto head = co_await call->read_head();
            read = head.has_value();
            call->close();
        },
        asio::detached);
    client_context.run();
    server.join();
    EXPECT_FALSE(read);
    EXPECT_TRUE(closed);
}

// The project's own engine protocol: endless bytes that are not an event after a valid head.
TEST(EngineClient, FailsOnEndlessBytesThatAreNotAnEvent) {
    for (const std::string first :
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: "}) {
        endless_server server(first, std::string(4096, 'a'));
        asio::io_context context;
        std::string body;
        http::engine_client_options options;
        options.max_resumptions = 0;
        std::optional<http::upstream_end> end;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                http::upstream_request request;
                request.address = "127.0.0.1:" + std::to_string(server.port());
                request.call.method = "POST";
                request.call.target = "/";
                http::upstream_callbacks callbacks;
                callbacks.acquire_right = []() -> asio::awaitable<bool> { co_return true; };
                callbacks.deliver = [](dispatch::answer_event) -> asio::awaitable<bool> {
                    co_return true;
                };
                end = co_await http::run_upstream_request(options, std::move(request),
                                                          std::move(callbacks));
            },
            asio::detached);
        context.run();
        EXPECT_EQ(end, http::upstream_end::finished);
        EXPECT_LT(server.written(), max_buffered_bytes) << first;
    }
}
