// The control service on a disk that fails while it runs.

#include <atomic>

#include <gtest/gtest.h>

#include "full_disk.hpp"
#include "system_fixture.hpp"
#include "tarragonspar/gateway/query_handler.hpp"
#include "tarragonspar/runtime/control_service.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using runtime::control_service;

class no_queries final : public gateway::query_handler {
    void on_consensus(instance_id, std::string) override {}
    void on_query(instance_id, wire::topic, std::string,
                  std::function<void(wire::answer)> reply) override {
        reply({});
    }
};

runtime::control_options single_replica(const std::string& folder) {
    runtime::control_options options;
    options.self = {1};
    options.replica = true;
    options.open_group = true;
    options.may_found = true;
    options.data_folder = folder;
    return options;
}

} // namespace

// Guards against proposals that are neither rejected nor retried when the disk fails in their step:
// the operator then waits until its own timeout.
TEST(ControlService, ProposalsAndReadsCompleteAfterDiskFailure) {
    const auto folder =
        std::filesystem::temp_directory_path() / ("tarragon-control-" + std::to_string(::getpid()));
    no_queries message_handler;
    wire::node node({.self = {1}, .listen = {.address = "127.0.0.1", .port = free_port()}},
                    message_handler);
    ASSERT_EQ(node.start(), "");
    const auto service = std::make_shared<control_service>(
        single_replica(folder.string()), node, [](std::shared_ptr<const config::state>) {});
    ASSERT_EQ(service->start(), "");
    std::atomic<int> acknowledged{0};
    const auto publish = [&](std::uint64_t number) {
        service->publish({.number = {number}, .content = "x"},
                         [&](control_service::publication ended) {
                             acknowledged += ended.acknowledged ? 1 : 0;
                         });
    };
    publish(1);
    ASSERT_TRUE(wait_until([&] { return acknowledged == 1; }));
    fill_open_log(folder);
    publish(2);
    EXPECT_TRUE(wait_until([&] { return acknowledged == 2; }));
    std::atomic<bool> read_done{false};
    fill_open_log(folder);
    publish(3);
    service->read_published([&](const std::optional<config::document>&) { read_done = true; });
    EXPECT_TRUE(wait_until([&] { return acknowledged == 3 && read_done; }));
    service->stop();
    node.stop();
    std::filesystem::remove_all(folder);
}

// The gateway's thread must not go on as leader by a lease of a replica that has failed.
TEST(ControlService, AFailedReplicaHoldsNoLease) {
    const auto folder = std::filesystem::temp_directory_path() /
                        ("tarragon-control-lease-" + std::to_string(::getpid()));
    no_queries message_handler;
    wire::node node({.self = {1}, .listen = {.address = "127.0.0.1", .port = free_port()}},
                    message_handler);
    ASSERT_EQ(node.start(), "");
    const auto service = std::make_shared<control_service>(
        single_replica(folder.string()), node, [](std::shared_ptr<const config::state>) {});
    EXPECT_EQ(service->lead_lease_end(), time_point::min());
    ASSERT_EQ(service->start(), "");
    EXPECT_TRUE(wait_until([&] { return service->lead_lease_end() == time_point::max(); }));
    lose_log(folder);
    service->publish({.number = {1}, .content = "x"}, [](control_service::publication) {});
    EXPECT_TRUE(wait_until([&] { return service->lead_lease_end() == time_point::min(); }));
    service->stop();
    node.stop();
    std::filesystem::remove_all(folder);
}

// The replica of a closed group stayed out after its disk had failed. While it replays its log, the
// configuration in force must not step back to its snapshot.
TEST(ControlService, ClosedGroupRestartsFromItsFilesAfterDiskFailure) {
    const auto folder =
        std::filesystem::temp_directory_path() / ("tarragon-closed-" + std::to_string(::getpid()));
    no_queries message_handler;
    wire::node node({.self = {1}, .listen = {.address = "127.0.0.1", .port = free_port()}},
                    message_handler);
    ASSERT_EQ(node.start(), "");
    runtime::control_options options;
    options.self = {1};
    options.replica = true;
    options.data_folder = folder.string();
    options.compact_after = 8;
    std::atomic<std::uint64_t> in_force{0};
    std::atomic<bool> stepped_back{false};
    const auto service = std::make_shared<control_service>(
        options, node, [&](const std::shared_ptr<const config::state>& state) {
            const auto number = state->current.number.value;
            stepped_back = stepped_back || number < in_force;
            in_force = number;
        });
    ASSERT_EQ(service->start(), "");
    std::atomic<std::uint64_t> accepted{1};
    const auto change = [&](std::uint64_t number) {
        config::change item{.id = std::to_string(number), .author = "amal"};
        item.what = config::put_profile{
            {.name = "p" + std::to_string(number), .deadline = std::chrono::seconds{9}}};
        service->submit(std::move(item), [&](const std::optional<control::reply>& reply) {
            if (reply) {
                accepted = std::get<config::change_answer>(*reply).number.value;
            }
        });
    };
    for (std::uint64_t number = 2; number <= 20; ++number) {
        change(number);
        ASSERT_TRUE(wait_until([&] { return accepted == number; }));
        if (number == 12) { // the replica restarts from a snapshot and the entries after it
            ASSERT_TRUE(wait_until([&] { return std::filesystem::exists(folder / "snapshot"); }));
        }
    }
    fill_open_log(folder);
    change(21);
    EXPECT_TRUE(wait_until([&] { return accepted == 21; }));
    EXPECT_FALSE(stepped_back);
    EXPECT_EQ(service->current()->current.number.value, 21U);
    // Changes that were replayed must not be sent twice to a peer that catches up.
    std::atomic<std::size_t> sent{0};
    service->on_query(wire::topic::configuration, R"({"after":18})",
                      [&](const wire::answer& answer) {
                          sent = nlohmann::json::parse(answer.payload).at("changes").size();
                      });
    EXPECT_TRUE(wait_until([&] { return sent > 0; }));
    EXPECT_EQ(sent, 3U);
    service->stop();
    node.stop();
    std::filesystem::remove_all(folder);
}
