#include <gtest/gtest.h>

#include "deployment_parts.hpp"

// Graceful shutdowns, draining servers and servers that request a backoff.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

} // namespace

TEST(Deployment, AGracefulShutdownCutsNoRequest) {
    const scripted_server slow("i-1",
                               [](const received_request& request, asio::ip::tcp::socket& socket) {
                                   std::this_thread::sleep_for(std::chrono::milliseconds{1'500});
                                   write_raw(socket, complete_answer(request, "late but complete"));
                               });
    platform_deployment d;
    d.add_server(slow, "s");
    d.start_with(make_manifest(1));
    std::atomic<int> complete{0};
    std::atomic<int> sent{0};
    std::vector<std::thread> callers;
    const auto call = [&] {
        ++sent;
        complete += d.call("POST", "/unsafe/x", "b", {}).status == 200 ? 1 : 0;
    };
    callers.emplace_back(call);
    ASSERT_TRUE(wait_until([&] { return !slow.seen().empty(); }));
    std::thread shutdown([&] { d.entry(0).shut_down(); });
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 503; }));
    callers.emplace_back(call); // the platform still sends requests for a moment
    shutdown.join();
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(complete, sent);
}

// A server that never answers must not delay the answer to a caller until the grace period is over
// and its connection is cut.
TEST(Deployment, AShutdownAnswersRequestsThatCannotFinishInTime) {
    std::atomic<bool> over{false};
    const scripted_server stalled("i-1", [&](const received_request&, asio::ip::tcp::socket&) {
        while (!over) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    });
    platform_deployment d;
    d.add_server(stalled, "s");
    auto manifest = nlohmann::json::parse(make_manifest(1));
    for (auto& route : manifest["routes"]) {
        route["timeout_ms"] = 60'000;
    }
    d.start_with(manifest.dump());
    std::vector<unsigned> statuses(2);
    std::vector<std::thread> callers;
    const auto call = [&](std::size_t index) {
        statuses.at(index) = d.call("POST", "/unsafe/x", "b", {{"Deadline-Ms", "60000"}}).status;
    };
    callers.emplace_back(call, 0);
    ASSERT_TRUE(wait_until([&] { return !stalled.seen().empty(); }));
    std::thread shutdown([&] { d.entry(0).shut_down(); });
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 503; }));
    callers.emplace_back(call, 1); // after the shutdown has begun
    shutdown.join();
    over = true;
    d.stop_entry(0);
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(statuses, (std::vector<unsigned>{504, 504})) << "it may have run";
}

namespace {

/// Shuts down while a stream runs on a persistent connection and sends a second request on it,
/// which is read after the stream has ended.
void expect_late_request_refused(std::chrono::milliseconds grace) {
    const scripted_server slow(
        "i-1", [](const received_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig") + chunk(event_text(1)));
            for (int id = 2; id <= 5; ++id) {
                std::this_thread::sleep_for(std::chrono::milliseconds{900});
                write_raw(socket, chunk(event_text(id)));
            }
            write_raw(socket, "0\r\n\r\n");
        });
    platform_deployment d;
    d.grace = grace;
    d.add_server(slow, "s");
    d.start_with(make_manifest(1));
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect(d.api_endpoint());
    const auto request = [](const std::string& name) {
        return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nAttempt-Id: " + name +
               "\r\nDeadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n";
    };
    write_raw(caller, request("first"));
    ASSERT_TRUE(wait_until([&] { return !slow.seen().empty(); }));
    std::thread shutdown([&] { d.entry(0).shut_down(); });
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 503; }));
    write_raw(caller, request("second")); // read once the first answer has ended
    boost::beast::flat_buffer buffer;
    beast_http::response<beast_http::string_body> first;
    beast_http::response<beast_http::string_body> second;
    boost::system::error_code error;
    beast_http::read(caller, buffer, first, error);
    EXPECT_FALSE(error) << error.message() << ": the answer in flight is incomplete";
    beast_http::read(caller, buffer, second, error);
    shutdown.join();
    ASSERT_FALSE(error);
    EXPECT_EQ(second.result_int(), 503U);
    EXPECT_FALSE(second["Retry-After"].empty());
    EXPECT_FALSE(second.keep_alive());
    EXPECT_EQ(slow.seen().size(), 1U) << "a refused request must not run";
}

} // namespace

// An answer that began before the shutdown has announced a persistent connection, so the next
// request may arrive when the instance has no time left for it.
TEST(Deployment, AShutdownRefusesLateRequestsOnPersistentConnections) {
    expect_late_request_refused(std::chrono::milliseconds{6'000});
}

// Half of a longer grace period is later than 3 s after the signal, up to which the users' platform
// counts a request as early.
TEST(Deployment, AShutdownWithALongGraceRefusesRequestsAfterThreeSeconds) {
    expect_late_request_refused(std::chrono::milliseconds{8'000});
}

// The platform's list still shows the server as ready; its own notice applies from the answer that
// carries it.
TEST(Deployment, ADrainingServerGetsNoFurtherRequest) {
    const scripted_server draining(
        "i-1", [](const received_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, answer_with(request, "200 OK",
                                          "Response-Signature: sig\r\nServer-Leaving: 1\r\n", "l"));
        });
    const auto healthy = make_healthy_server("i-2");
    platform_deployment d;
    d.add_server(draining, "s");
    d.start_with(make_manifest(1));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).body, "l");
    d.add_server(healthy, "s");
    ASSERT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status == 200; }));
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 200U);
    }
    EXPECT_EQ(draining.seen().size(), 1U);
}

// A stub takes the place of a leader that does not know the notice yet: its grants are returned
// unused and requested again.
TEST(Deployment, AGrantForADrainingServerIsReturned) {
    const scripted_server draining(
        "i-1", [](const received_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, answer_with(request, "200 OK",
                                          "Response-Signature: sig\r\nServer-Leaving: 1\r\n", "l"));
        });
    const auto healthy = make_healthy_server("i-2");
    platform_deployment d;
    stub_control_instance control(draining);
    control.grant_first(draining, healthy);
    control.start(d.control_wire());
    control.set_document(1, make_manifest(1));
    d.start_entry(0);
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).body, "l");
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 200U);
    EXPECT_EQ(draining.seen().size(), 1U);
    EXPECT_EQ(healthy.seen().size(), 1U);
    EXPECT_GE(control.grants_returned(), 1) << "with the notice";
}

TEST(Deployment, AServerGetsNoRequestDuringItsBackoff) {
    std::atomic<int> arrivals{0};
    const scripted_server busy(
        "i-1", [&](const received_request& request, asio::ip::tcp::socket& socket) {
            ++arrivals;
            write_raw(socket, answer_with(request, "503 Service Unavailable",
                                          "Not-Executed: 1\r\nRetry-After: 30.5\r\n", ""));
        });
    platform_deployment d;
    d.add_server(busy, "s");
    d.start_with(make_manifest(1));
    for (int i = 0; i < 8; ++i) {
        const auto answer = d.call_with_headers("POST", "/unsafe/x", "b");
        EXPECT_EQ(answer.status, 503U);
        ASSERT_TRUE(answer.headers.contains("Retry-After"));
        EXPECT_GT(std::stod(answer.headers.at("Retry-After")), 25.0)
            << "the server's backoff is forwarded";
    }
    EXPECT_EQ(arrivals, 1);
    const auto healthy = make_healthy_server("i-2");
    d.add_server(healthy, "s");
    EXPECT_TRUE(wait_until([&] { return d.call("POST", "/unsafe/x", "b", {}).status == 200; }));
    EXPECT_EQ(arrivals, 1);
}

// --- failures seen at other operators ---

// Connections that have just been accepted may hold requests that have not been read yet.
TEST(Deployment, AGracefulShutdownUnderLoadCutsNoAcceptedRequest) {
    const auto server = make_healthy_server("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    std::atomic<bool> stopped{false};
    std::atomic<int> cut{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            asio::io_context context;
            for (int n = 0; !stopped; ++n) {
                asio::ip::tcp::socket caller(context);
                boost::system::error_code error;
                caller.connect(d.api_endpoint(), error);
                if (error) {
                    continue; // refused before it was accepted
                }
                // Some send at once, some a moment after connecting.
                std::this_thread::sleep_for(std::chrono::milliseconds{(i + n) % 3 * 4});
                write_raw(caller, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nKey: k\r\n"
                                  "Attempt-Id: c" +
                                      std::to_string(i) + "-" + std::to_string(n) +
                                      "\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
                boost::beast::flat_buffer buffer;
                beast_http::response<beast_http::string_body> answer;
                beast_http::read(caller, buffer, answer, error);
                ++(error ? cut : answered);
            }
        });
    }
    ASSERT_TRUE(wait_until([&] { return answered > 50; }));
    std::thread stopping([&] { d.entry(0).shut_down(); });
    // The callers continue until the instance accepts no more connections.
    ASSERT_TRUE(wait_until([&] {
        asio::io_context context;
        asio::ip::tcp::socket probe(context);
        boost::system::error_code error;
        probe.connect(d.api_endpoint(), error);
        return static_cast<bool>(error);
    }));
    stopped = true;
    for (auto& caller : callers) {
        caller.join();
    }
    stopping.join();
    EXPECT_EQ(cut, 0) << answered << " answered";
}
