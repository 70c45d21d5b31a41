#include <gtest/gtest.h>

#include <sys/socket.h>

#include <functional>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "pending_upload.hpp"
#include "tarragonspar/http/backend_call.hpp"
#include "tarragonspar/http/engine_client.hpp"

// A server may answer before it has read a long request. If it then resets the connection, an
// answer without a length must not look complete, although the upload receives the error.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
namespace asio = boost::asio;

constexpr std::size_t upload_bytes = 4UL * 1024 * 1024;
const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nbody";

struct call_result {
    std::string body;
    bool complete{false};
    bool lost{false};
    std::string failure;
    bool was_uploading{false}; ///< before the answer was read
};

/// @param stall  time for which the thread is busy before it reads, so that all of the answer and
/// the end of the connection have arrived
asio::awaitable<void> upload(std::uint16_t port, http::backend_call_options options,
                             std::chrono::milliseconds stall, call_result& out) {
    const auto call =
        std::make_shared<http::backend_call>(co_await asio::this_coro::executor, options);
    const settings::endpoint endpoint{.address = "127.0.0.1", .port = port};
    const bool connected = co_await call->connect(endpoint);
    EXPECT_TRUE(connected);
    call->send("POST", "/", {}, std::make_shared<const std::string>(upload_bytes, 'u'));
    std::this_thread::sleep_for(stall);
    out.was_uploading = call->is_upload_incomplete();
    const auto head = co_await call->read_head();
    bool more = head.has_value();
    while (more) {
        const auto part = co_await call->read_body();
        out.body += part.bytes;
        out.complete = part.complete;
        more = !part.broken && !part.complete;
    }
    out.lost = call->was_lost();
    out.failure = call->failure();
    call->close();
}

using script = std::function<void(asio::ip::tcp::socket&)>;

/// Runs a call to a server that accepts uploads with a small receive buffer.
/// @param answer  called with the server's socket, from which nothing has been read
/// @param call    called with the server's port
void run_with_server(const script& answer,
                     const std::function<asio::awaitable<void>(std::uint16_t)>& call) {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    acceptor.set_option(asio::socket_base::receive_buffer_size(small_receive_buffer));
    std::thread server([&] {
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket);
        answer(socket);
    });
    asio::io_context client;
    asio::co_spawn(client, call(acceptor.local_endpoint().port()), asio::detached);
    client.run();
    server.join();
}

call_result run_upload(const script& answer, const http::backend_call_options& options = {},
                       std::chrono::milliseconds stall = {}) {
    call_result out;
    run_with_server(answer, [&](std::uint16_t port) { return upload(port, options, stall, out); });
    return out;
}

/// Sends an upload to a service of the product's own protocol. Returns the answer that its caller
/// gets.
std::string run_service_upload(const script& answer) {
    std::string out;
    http::upstream_callbacks callbacks;
    callbacks.acquire_right = []() -> asio::awaitable<bool> { co_return true; };
    callbacks.deliver = [&](dispatch::answer_event event) -> asio::awaitable<bool> {
        if (const auto* piece = std::get_if<dispatch::answer_piece>(&event)) {
            out += piece->text;
        } else if (const auto* last = std::get_if<dispatch::answer_finished>(&event)) {
            out += last->result == outcome::answered ? ", complete" : ", unknown";
        }
        co_return true;
    };
    run_with_server(answer, [&](std::uint16_t port) -> asio::awaitable<void> {
        http::upstream_request request;
        request.address = "127.0.0.1:" + std::to_string(port);
        request.call.method = "POST";
        request.call.target = "/";
        request.call.body = std::string(upload_bytes, 'u');
        request.call.plain = true;
        const http::engine_client_options options;
        co_await http::run_upstream_request(options, std::move(request), std::move(callbacks));
    });
    return out;
}

void write(asio::ip::tcp::socket& socket, const std::string& bytes) {
    asio::write(socket, asio::buffer(bytes));
    std::this_thread::sleep_for(std::chrono::milliseconds{50}); // for the bytes to arrive
}

void reset(asio::ip::tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

std::string message_of(asio::error::basic_errors error) {
    return boost::system::error_code(error).message();
}

void expect_pending(asio::ip::tcp::socket& socket) {
    EXPECT_LT(bytes_in_kernel(socket), upload_bytes) << "the upload was not pending";
}

} // namespace

// MIXED: the upload received the reset and the read an orderly end, so the part counted as
// complete.
TEST(BackendCallUpload, AResetOfAPendingUploadBreaksAnAnswerWithoutLength) {
    for (const auto stall : {0, 200}) {
        const auto result = run_upload(
            [](asio::ip::tcp::socket& socket) {
                write(socket, unframed);
                expect_pending(socket);
                reset(socket);
            },
            {}, std::chrono::milliseconds{stall});
        EXPECT_TRUE(result.was_uploading) << stall;
        EXPECT_FALSE(result.complete) << stall;
        EXPECT_TRUE(result.lost) << stall;
        EXPECT_EQ(result.failure, message_of(asio::error::connection_reset)) << stall;
    }
}

// The same with the error of a time-out, which is no sign of a crash of the server.
TEST(BackendCallUpload, ATimeoutOfAPendingUploadBreaksAnAnswerWithoutLength) {
    const http::backend_call_options options{.tcp_user_timeout = std::chrono::milliseconds{300}};
    const auto result = run_upload(
        [](asio::ip::tcp::socket& socket) {
            write(socket, unframed);
            expect_pending(socket);
            std::this_thread::sleep_for(std::chrono::seconds{3});
        },
        options);
    EXPECT_TRUE(result.was_uploading);
    EXPECT_FALSE(result.complete);
    EXPECT_FALSE(result.lost);
    EXPECT_EQ(result.failure, message_of(asio::error::timed_out));
}

TEST(BackendCallUpload, AResetBeforeTheAnswerIsALossOfTheServer) {
    const auto result = run_upload([](asio::ip::tcp::socket& socket) {
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
        expect_pending(socket);
        reset(socket);
    });
    EXPECT_FALSE(result.complete);
    EXPECT_TRUE(result.lost);
}

// The false alarms: answers that are whole before the connection is reset, or never are reset.
TEST(BackendCallUpload, AWholeAnswerIsCompleteWhateverBecomesOfTheUpload) {
    const auto end = [](asio::ip::tcp::socket& socket) {
        expect_pending(socket);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    };
    const auto read_on = [](asio::ip::tcp::socket& socket) {
        std::vector<char> bytes(upload_bytes);
        std::size_t received = 0;
        boost::system::error_code error;
        while (!error) {
            received += socket.read_some(asio::buffer(bytes), error);
        }
    };
    const std::vector<script> servers{
        [&](auto& socket) {
            write(socket, unframed);
            end(socket);
            read_on(socket);
        },
        [&](auto& socket) {
            write(socket, unframed);
            end(socket);
            reset(socket);
        },
        [&](auto& socket) {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
            expect_pending(socket);
            reset(socket);
        },
        [&](auto& socket) {
            write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "4\r\nbody\r\n0\r\n\r\n");
            expect_pending(socket);
            reset(socket);
        }};
    for (std::size_t i = 0; i < servers.size(); ++i) {
        for (const auto stall : {0, 200}) {
            const auto result = run_upload(servers[i], {}, std::chrono::milliseconds{stall});
            EXPECT_TRUE(result.complete) << i << " " << stall;
            EXPECT_EQ(result.body, "body") << i << " " << stall;
        }
    }
}

// The product's own protocol: the request is written before the answer is read.
TEST(EngineClientUpload, AResetOfTheUploadBreaksAnAnswerWithoutLength) {
    EXPECT_EQ(run_service_upload([](asio::ip::tcp::socket& socket) {
                  write(socket, unframed);
                  expect_pending(socket);
                  reset(socket);
              }),
              ", unknown");
}

TEST(EngineClientUpload, AWholeAnswerIsCompleteAfterAResetOfTheUpload) {
    EXPECT_EQ(run_service_upload([](asio::ip::tcp::socket& socket) {
                  write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
                  expect_pending(socket);
                  reset(socket);
              }),
              "body, complete");
    EXPECT_EQ(run_service_upload([](asio::ip::tcp::socket& socket) {
                  write(socket, unframed);
                  expect_pending(socket);
                  socket.shutdown(asio::ip::tcp::socket::shutdown_send);
                  reset(socket);
              }),
              "body, complete");
}

// The server gets every byte of an upload that it reads late and slowly.
TEST(BackendCallUpload, AnUploadThatIsReadLateArrivesWhole) {
    std::string received;
    const auto result = run_upload([&](asio::ip::tcp::socket& socket) {
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
        expect_pending(socket);
        std::array<char, 50'000> bytes{};
        while (received.size() < upload_bytes) {
            received.append(bytes.data(), socket.read_some(asio::buffer(bytes)));
            if (received.find("\r\n\r\n") != std::string::npos && received.front() == 'P') {
                received.erase(0, received.find("\r\n\r\n") + 4);
            }
        }
        asio::write(socket, asio::buffer("body", 4));
    });
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(received, std::string(upload_bytes, 'u'));
}
