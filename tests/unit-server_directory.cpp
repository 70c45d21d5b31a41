#include <gtest/gtest.h>

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
