#include <gtest/gtest.h>

#include "endless_server.hpp"
#include "platform_dialect.hpp"
#include "tarragonspar/gateway/server_directory.hpp"

namespace {

using namespace tarragonspar::gateway;
using std::chrono::milliseconds;

double calls_per_second(std::size_t pages, std::uint32_t readers, milliseconds interval) {
    return static_cast<double>(pages) * readers * 1e3 / static_cast<double>(interval.count());
}

} // namespace

// Without a leader, all entry instances read the list at the same time. Sixty of them read two
// pages a second each, and the platform, which accepts fifty calls a second, refused nearly all
// calls.
TEST(ServerDirectory, AllReadersTogetherStayWithinThePlatformsRate) {
    const directory_options options{.interval = milliseconds{1'000}, .calls_per_second = 50.0};
    for (const std::uint32_t readers : {2U, 6U, 60U, 379U}) {
        for (const std::size_t pages : {1U, 2U, 12U}) {
            const auto interval = paced_interval(options, pages, readers);
            EXPECT_LE(calls_per_second(pages, readers, interval), 25.1)
                << readers << " readers, " << pages << " pages";
        }
    }
}

TEST(ServerDirectory, OneReaderUsesTheConfiguredInterval) {
    const directory_options options{.interval = milliseconds{500}, .calls_per_second = 50.0};
    EXPECT_EQ(paced_interval(options, 2, 1), milliseconds{500});
    EXPECT_EQ(paced_interval({.interval = milliseconds{500}}, 40, 60), milliseconds{500})
        << "unlimited without a rate";
}

// A page that never ends is given up within a bound on its size, and its connection closed.
TEST(ServerDirectory, AnEndlessPageIsGivenUp) {
    const std::string values(16'384, ',');
    tarragonspar::testing::endless_server endless(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"instances\":[", values);
    boost::asio::io_context context;
    const tarragonspar::platform::platform_dialect dialect;
    directory_options options;
    options.list = {.address = "127.0.0.1", .port = endless.port()};
    bool listed = false;
    const auto directory = std::make_shared<server_directory>(
        context, options, dialect,
        [&](const std::vector<tarragonspar::config::server>&) { listed = true; });
    directory->set_wanted(true);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{30};
    while (!endless.closed() && std::chrono::steady_clock::now() < deadline) {
        context.run_for(std::chrono::milliseconds{20});
    }
    EXPECT_TRUE(endless.closed());
    EXPECT_FALSE(listed);
    directory->stop();
    context.run_for(std::chrono::seconds{2});
}
