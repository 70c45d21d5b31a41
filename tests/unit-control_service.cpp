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
