// Control instances whose files are damaged.

#include <gtest/gtest.h>

#include "deployment_parts.hpp"
#include "full_disk.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using path = std::filesystem::path;

/// Flips a bit in the first record; a second call restores it.
void flip_bit_in_first_record(const path& file) {
    constexpr int file_header_bytes = 8;
    std::fstream bytes(file, std::ios::binary | std::ios::in | std::ios::out);
    bytes.seekg(file_header_bytes);
    const auto damaged = static_cast<char>(bytes.get() ^ 0x40);
    bytes.seekp(file_header_bytes);
    bytes.put(damaged);
}

/// Starts three control instances, publishes, stops one that follows and returns its index.
std::size_t start_and_stop_one(platform_deployment& d, const scripted_server& server) {
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    const auto stopped = (d.find_leader() + 1) % 3;
    d.stop_control(stopped);
    return stopped;
}

bool is_voter(const platform_deployment& d, std::size_t control) {
    return d.is_set("tarragonspar_control_replica_is_voter", control);
}

} // namespace

// Guards against a replica that reopens a damaged log for ever: the next loss leaves no majority.
TEST(Deployment, AReplicaWithADamagedLogRejoinsUnderANewIdentity) {
    platform_deployment d(3, 1);
    const auto server = make_healthy_server("i-1");
    const auto damaged = start_and_stop_one(d, server);
    const auto folder = d.data_folder(damaged);
    flip_bit_in_first_record(folder / "log");
    const auto identity = read_bytes(folder / "identity");
    const auto log = read_bytes(folder / "log");
    d.start_control(damaged, false);
    ASSERT_TRUE(wait_until([&] { return is_voter(d, damaged); }));
    EXPECT_NE(read_bytes(folder / "identity"), identity);
    EXPECT_EQ(read_bytes(folder / "log.damaged"), log);
    const auto lost = (damaged + 1) % 3;
    const auto remaining = (damaged + 2) % 3;
    d.stop_control(lost);
    EXPECT_TRUE(wait_until([&] { return d.publish(make_manifest(2), remaining).status == 200; }));
}

// As above, while the instance runs: its disk fails, and its log is damaged when it is reopened.
TEST(Deployment, ARunningReplicaWithADamagedLogRejoinsUnderANewIdentity) {
    platform_deployment d(3, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    const auto damaged = (d.find_leader() + 1) % 3;
    const auto folder = d.data_folder(damaged);
    const auto identity = read_bytes(folder / "identity");
    flip_bit_in_first_record(folder / "log");
    fill_open_log(folder);
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2)).status == 200; }));
    ASSERT_TRUE(wait_until([&] { return read_bytes(folder / "identity") != identity; }));
    EXPECT_TRUE(wait_until([&] { return std::filesystem::exists(folder / "log.damaged"); }));
    // A restart clears the gauge, which still shows the old identity's vote.
    d.stop_control(damaged);
    d.start_control(damaged, false);
    ASSERT_TRUE(wait_until([&] { return is_voter(d, damaged); }));
    d.stop_control((damaged + 1) % 3);
    EXPECT_TRUE(
        wait_until([&] { return d.publish(make_manifest(3), (damaged + 2) % 3).status == 200; }));
}

// Guards against a majority of damaged replicas that give up files which may be the only copies of
// an acknowledged document.
TEST(Deployment, DamagedFilesStayInPlaceWhileNoLeaderIsConfirmed) {
    platform_deployment d(3, 1);
    const auto server = make_healthy_server("i-1");
    d.add_server(server, "s");
    d.start_with(make_manifest(1));
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2)).status == 200; }));
    const auto intact = d.find_leader();
    for (std::size_t i = 0; i < 3; ++i) {
        d.stop_control(i);
        if (i != intact) {
            flip_bit_in_first_record(d.data_folder(i) / "log");
        }
    }
    const auto identity = read_bytes(d.data_folder((intact + 1) % 3) / "identity");
    for (std::size_t i = 0; i < 3; ++i) {
        d.start_control(i, false);
    }
    EXPECT_NE(d.publish(make_manifest(3), intact).status, 200U);
    for (std::size_t i = 0; i < 3; ++i) {
        d.stop_control(i);
        EXPECT_FALSE(std::filesystem::exists(d.data_folder(i) / "log.damaged"));
        EXPECT_EQ(read_bytes(d.data_folder(i) / "identity"), identity);
        if (i != intact) {
            flip_bit_in_first_record(d.data_folder(i) / "log");
        }
    }
    for (std::size_t i = 0; i < 3; ++i) {
        d.start_control(i, false);
    }
    EXPECT_TRUE(wait_until([&] {
        const auto newest = d.read_back(intact);
        return newest.status == 200 && newest.body == make_manifest(2);
    })) << d.read_back(intact).body;
}
