#include <gtest/gtest.h>

#include "deployment_parts.hpp"

// Servers that name the rate of requests that they accept.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

constexpr double named_limit = 2.0;
/// Requests that a server may get in any 4 s once it has named its limit for some time.
constexpr double tolerated_in_four_seconds = 1.5 * 4.0 * named_limit + 5.0;

scripted_server make_limited_server(const std::string& name, std::atomic<bool>& is_limited) {
    return scripted_server(name, [&is_limited](const received_request& request,
                                               asio::ip::tcp::socket& socket) {
        const std::string header = is_limited ? "Server-Limit: 2.0\r\n" : "";
        write_raw(socket,
                  answer_with(request, "200 OK", "Response-Signature: s\r\n" + header, "limited"));
    });
}

/// A slower server, so that the limited one is preferred whenever its limit allows it.
scripted_server make_slow_server(const std::string& name) {
    return scripted_server(name,
                           [](const received_request& request, asio::ip::tcp::socket& socket) {
                               std::this_thread::sleep_for(std::chrono::milliseconds{30});
                               write_raw(socket, complete_answer(request, "slow"));
                           });
}

/// Sends requests one after the other for a time, alternating between two entry instances.
void send_for(const platform_deployment& d, std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
        EXPECT_EQ(
            d.call("GET", "/safe/x", "", {{"Attempt-Id", "r" + std::to_string(i)}}, i % 2).status,
            200U);
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
}

} // namespace

TEST(Deployment, AServerGetsNoMoreThanTheLimitThatItNamesFromAllInstances) {
    std::atomic<bool> is_limited{true};
    const auto limited = make_limited_server("i-1", is_limited);
    const auto other = make_slow_server("i-2");
    platform_deployment d(1, 2);
    d.add_server(limited, "s");
    d.add_server(other, "s");
    d.start_with(make_manifest(1));
    ASSERT_TRUE(wait_until([&] { return d.ready(1).status == 200; }));
    ASSERT_TRUE(wait_until([&] {
        send_for(d, std::chrono::milliseconds{50});
        return !limited.seen().empty();
    }));
    send_for(d, std::chrono::milliseconds{500}); // both instances pass on an answer that names it
    const auto before = limited.seen().size();
    send_for(d, std::chrono::milliseconds{4'000});
    const auto got = static_cast<double>(limited.seen().size() - before);
    EXPECT_LE(got, tolerated_in_four_seconds);
    EXPECT_GE(got, named_limit) << "a limited server is still used";

    is_limited = false;
    EXPECT_TRUE(wait_until([&] {
        const auto at = limited.seen().size();
        send_for(d, std::chrono::milliseconds{500});
        return limited.seen().size() - at > 3 * named_limit;
    })) << "the limit ends when answers no longer name it";
}
