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
    out.was_uploading = call->is_uploading();
    const auto head = co_await call->read_head();
    bool more = head.has_value();
    while (more) {
        const auto part = co_await call->read_body();
        out.body += part.bytes;
        out.complete = part.complete;
        more = !part.broken && !part.complete;
    }
    out.lost = call->was_lost();
    call->close();
}

/// Sends an upload to a server that accepts it with a small receive buffer.
/// @param answer  called with the server's socket, from which nothing has been read
call_result run_upload(const std::function<void(asio::ip::tcp::socket&)>& answer,
                       const http::backend_call_options& options = {},
                       std::chrono::milliseconds stall = {}) {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    acceptor.set_option(asio::socket_base::receive_buffer_size(small_receive_buffer));
    std::thread server([&] {
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket);
        answer(socket);
    });
    asio::io_context client;
    call_result out;
    asio::co_spawn(client, upload(acceptor.local_endpoint().port(), options, stall, out),
                   asio::detached);
    client.run();
    server.join();
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
    const std::vector<std::function<void(asio::ip::tcp::socket&)>> servers{
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
