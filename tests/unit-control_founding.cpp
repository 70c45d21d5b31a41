// Founding of a closed control group: who takes which seat, and when the first election is held.

#include <future>
#include <mutex>

#include <gtest/gtest.h>

#include "system_fixture.hpp"
#include "tarragonspar/control/founding.hpp"
#include "tarragonspar/control/replica_store.hpp"
#include "tarragonspar/gateway/query_handler.hpp"
#include "tarragonspar/runtime/control_service.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using control::founding_step;
using control::next_founding_step;
using nlohmann::json;

constexpr std::size_t group_size = 3;

/// Answers queries through a control service, or, without one, as an instance that has not asked
/// yet whether a group exists.
class control_node final : public gateway::query_handler {
public:
    control_node(std::size_t index, const std::vector<std::uint16_t>& ports,
                 const std::filesystem::path& folder)
        : id_{static_cast<std::uint32_t>(index + 1)}, folder_(folder / std::to_string(id_.value)) {
        wire::node_options options{.self = id_,
                                   .listen = {.address = "127.0.0.1", .port = ports[index]}};
        for (std::size_t i = 0; i < ports.size(); ++i) {
            if (i != index) {
                const instance_id peer{static_cast<std::uint32_t>(i + 1)};
                options.peers[peer] = {.address = "127.0.0.1", .port = ports[i]};
                peers_.push_back(peer);
            }
        }
        node_ = std::make_unique<wire::node>(options, *this);
        EXPECT_EQ(node_->start(), "");
    }
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;
    ~control_node() override {
        stop();
        node_->stop();
    }

    void start() {
        runtime::control_options options;
        options.self = id_;
        options.replica = true;
        options.replicas = peers_;
        options.data_folder = folder_.string();
        const auto service = std::make_shared<runtime::control_service>(
            options, *node_, [](const std::shared_ptr<const config::state>&) {});
        EXPECT_EQ(service->start(), "");
        const std::lock_guard lock(mutex_);
        service_ = service;
    }

    void stop() {
        std::shared_ptr<runtime::control_service> service;
        {
            const std::lock_guard lock(mutex_);
            service = std::exchange(service_, nullptr);
        }
        if (service) {
            service->stop();
        }
    }

    void wipe_disk() const {
        std::filesystem::remove_all(folder_);
    }

    [[nodiscard]] std::optional<std::uint32_t> disk() const {
        const auto found = control::replica_store::read_identity(folder_.string());
        return found ? found.value() : std::nullopt;
    }

    [[nodiscard]] json status() const {
        std::promise<std::string> answer;
        service()->with_status([&](std::string text) { answer.set_value(std::move(text)); });
        return json::parse(answer.get_future().get());
    }

    /// Queries of the status that were answered without a service, by the asking instance.
    [[nodiscard]] int queries_from(instance_id peer) const {
        const std::lock_guard lock(mutex_);
        const auto found = queries_.find(peer);
        return found == queries_.end() ? 0 : found->second;
    }

private:
    [[nodiscard]] std::shared_ptr<runtime::control_service> service() const {
        const std::lock_guard lock(mutex_);
        return service_;
    }

    void on_consensus(instance_id, std::string messages) override {
        if (const auto running = service()) {
            running->on_messages(messages);
        }
    }
    void on_query(instance_id from, wire::topic about, std::string payload,
                  std::function<void(wire::answer)> reply) override {
        if (const auto running = service()) {
            running->on_query(about, payload, std::move(reply));
            return;
        }
        if (about != wire::topic::control_status) {
            reply({});
            return;
        }
        const std::lock_guard lock(mutex_);
        ++queries_[from];
        reply({.known = true, .payload = json{{"term", 0}}.dump()});
    }

    instance_id id_;
    std::filesystem::path folder_;
    std::vector<instance_id> peers_;
    mutable std::mutex mutex_;
    std::map<instance_id, int> queries_;
    std::shared_ptr<runtime::control_service> service_;
    std::unique_ptr<wire::node> node_;
};

class control_group {
public:
    control_group() {
        for (std::size_t i = 0; i < group_size; ++i) {
            ports_.push_back(free_port());
        }
        for (std::size_t i = 0; i < group_size; ++i) {
            nodes_.push_back(std::make_unique<control_node>(i, ports_, folder_));
        }
    }
    control_group(const control_group&) = delete;
    control_group& operator=(const control_group&) = delete;
    ~control_group() {
        nodes_.clear();
        std::filesystem::remove_all(folder_);
    }

    control_node& operator[](std::size_t index) {
        return *nodes_[index];
    }

private:
    std::filesystem::path folder_{std::filesystem::temp_directory_path() /
                                  ("tarragon-founding-" + std::to_string(::getpid()))};
    std::vector<std::uint16_t> ports_;
    std::vector<std::unique_ptr<control_node>> nodes_;
};

control::peer_report with_term(std::uint64_t term) {
    return {.term = {term}, .disk = control::founding_disk};
}

constexpr control::peer_report without_identity{};
constexpr control::peer_report seated{.disk = control::founding_disk};
constexpr control::peer_report joining{.disk = 77};

} // namespace

// Guards against a group that is founded while an instance can still come to another identity: its
// seat then stays a voter that never answers.
TEST(ControlFounding, FirstElectionWaitsForEverySeat) {
    EXPECT_EQ(next_founding_step(true, 2, {seated, without_identity}), founding_step::wait);
    EXPECT_EQ(next_founding_step(true, 2, {seated}), founding_step::wait);
    EXPECT_EQ(next_founding_step(true, 2, {seated, seated}), founding_step::run);
    EXPECT_EQ(next_founding_step(true, 2, {with_term(1)}), founding_step::run);
    EXPECT_EQ(next_founding_step(true, 0, {}), founding_step::run);
}

// Guards against an instance with a wiped disk that votes again under the identity that it lost.
TEST(ControlFounding, SeatIsTakenOnlyIfEveryPeerReportsNoGroup) {
    EXPECT_EQ(next_founding_step(false, 2, {seated, without_identity}), founding_step::take_seat);
    EXPECT_EQ(next_founding_step(false, 2, {seated}), founding_step::wait);
    EXPECT_EQ(next_founding_step(false, 2, {with_term(1)}), founding_step::join);
    EXPECT_EQ(next_founding_step(false, 2, {seated, with_term(4)}), founding_step::join);
    EXPECT_EQ(next_founding_step(false, 2, {without_identity, joining}), founding_step::join);
}

// Guards against two instances that found the group before the third has asked whether one exists.
TEST(ControlFounding, InstanceThatAsksLastGetsItsFoundingSeat) {
    control_group group;
    group[0].start();
    group[1].start();
    constexpr int several = 4;
    const auto someone_leads = [&] {
        return group[0].status().value("leader", 0) != 0 ||
               group[1].status().value("leader", 0) != 0;
    };
    ASSERT_TRUE(wait_until([&] {
        return someone_leads() ||
               (group[2].queries_from({1}) >= several && group[2].queries_from({2}) >= several);
    }));
    EXPECT_FALSE(someone_leads());
    group[2].start();
    ASSERT_TRUE(wait_until([&] { return group[2].status().value("is_voter", false); }));
    EXPECT_EQ(group[2].disk(), control::founding_disk);
    ASSERT_TRUE(wait_until([&] { return group[2].status().value("leader", 0) != 0; }));
    group[1].stop();
    group[1].wipe_disk();
    group[1].start();
    ASSERT_TRUE(wait_until([&] { return group[1].status().value("is_voter", false); }));
    EXPECT_NE(group[1].disk(), control::founding_disk);
}

// Guards against instances that restart during the founding and then hold an election early.
TEST(ControlFounding, RestartedFounderStillWaitsForEverySeat) {
    control_group group;
    group[0].start();
    group[1].start();
    ASSERT_TRUE(wait_until([&] { return group[0].disk() && group[1].disk(); }));
    group[0].stop();
    group[1].stop();
    const auto before = group[2].queries_from({1});
    group[0].start();
    group[1].start();
    constexpr int several = 4;
    ASSERT_TRUE(wait_until([&] {
        return group[0].status().value("term", 0) > 0 ||
               group[2].queries_from({1}) >= before + several;
    }));
    EXPECT_EQ(group[0].status().value("term", 0), 0);
    group[2].start();
    ASSERT_TRUE(wait_until([&] { return group[0].status().value("leader", 0) != 0; }));
    EXPECT_EQ(group[2].disk(), control::founding_disk);
}
