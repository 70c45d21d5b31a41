#include <gtest/gtest.h>

#include "fault_table.hpp"
#include "pending_upload.hpp"

// A server may answer an upload before it has read it. What it sent before it reset the connection
// must reach no caller as a complete answer; an answer that ends in order must arrive whole.

using namespace tarragonspar;
using namespace tarragonspar::testing;

namespace {

constexpr std::size_t upload_bytes = 4UL * 1024 * 1024 - 64;

/// How a server ends the connection after its early answer.
enum class ending { reset, half_close_and_read, half_close_and_reset };

/// A deployment whose only server answers uploads without having read them.
class early_server {
public:
    early_server()
        : server_(
              "i-1",
              [this](const received_request&, asio::ip::tcp::socket& socket) { answer(socket); },
              false, small_receive_buffer) {
        deployment_.add_server(server_, "s");
        deployment_.start_with(make_manifest(1));
    }

    std::string bytes;
    ending end{ending::reset};
    std::chrono::milliseconds pause{};

    [[nodiscard]] platform_deployment::answer call(const std::string& route) const {
        return deployment_.call_with_headers("POST", route, std::string(upload_bytes, 'u'));
    }
    [[nodiscard]] std::size_t arrivals() const {
        return server_.seen().size();
    }

private:
    void answer(asio::ip::tcp::socket& socket) const {
        write_raw(socket, bytes);
        std::this_thread::sleep_for(pause);
        EXPECT_LT(bytes_in_kernel(socket), upload_bytes) << "the upload was not pending";
        if (end != ending::reset) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        }
        if (end != ending::half_close_and_read) {
            reset(socket);
            return;
        }
        std::vector<char> space(64UL * 1024);
        boost::system::error_code error;
        while (!error) {
            socket.read_some(asio::buffer(space), error);
        }
    }

    scripted_server server_;
    platform_deployment deployment_;
};

const std::string plain = "HTTP/1.1 200 OK\r\n" + own + "\r\npart of the body";

} // namespace

// MIXED: callers got the part as a complete answer.
TEST(EarlyAnswer, OneWithoutLengthThatIsResetUnderTheUploadIsNotComplete) {
    early_server server;
    for (const auto& bytes : {plain, unframed_stream(pieces(1, 2))}) {
        server.bytes = bytes;
        for (const auto pause : {2, 60}) {
            server.pause = std::chrono::milliseconds{pause};
            for (const std::string route : {"/safe/x", "/unsafe/x", "/resumable/x", "/once/x"}) {
                const auto before = server.arrivals();
                const auto got = server.call(route);
                EXPECT_FALSE(got.complete && got.status == 200)
                    << route << " " << pause << ": " << got.body.substr(0, 40);
                if (bytes == plain) {
                    EXPECT_EQ(got.status, 502U) << route << " " << pause;
                }
                if (route == "/unsafe/x" || route == "/once/x") {
                    EXPECT_EQ(server.arrivals() - before, 1U) << route << " " << pause;
                }
            }
        }
    }
}

// The false alarms: the server ended its answer in order, and then read on or not.
TEST(EarlyAnswer, OneThatEndsInOrderIsForwardedWhole) {
    early_server server;
    const auto framed = answer("200 OK", own, "whole");
    for (const auto& [bytes, body] : std::vector<std::pair<std::string, std::string>>{
             {plain, "part of the body"},
             {unframed_stream(pieces(1, 2)), pieces(1, 2)},
             {framed, "whole"}}) {
        server.bytes = bytes;
        for (const auto end : {ending::half_close_and_read, ending::half_close_and_reset}) {
            server.end = end;
            for (const std::string route : {"/safe/x", "/unsafe/x", "/resumable/x", "/once/x"}) {
                const auto got = server.call(route);
                EXPECT_TRUE(got.complete) << route << " " << body;
                EXPECT_EQ(got.status, 200U) << route << " " << body;
                EXPECT_EQ(got.body, body) << route;
            }
        }
    }
    server.bytes = framed;
    server.end = ending::reset;
    server.pause = std::chrono::milliseconds{20};
    EXPECT_EQ(server.call("/unsafe/x").body, "whole");
}
