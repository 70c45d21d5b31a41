#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "generators.hpp"
#include "tarragonspar/dispatch/scheduler.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;
using namespace tarragonspar::dispatch;

const std::string model_name = "m";
const model_id model{hash_name(model_name)};

config::server make_server(std::uint32_t id, std::uint32_t slots = 4) {
    return {.id = {id},
            .name = "s" + std::to_string(id),
            .failure_domain = "d",
            .address = "127.0.0.1:1",
            .offers = {model_name},
            .hardware_class = "h",
            .slots = slots};
}

/// A scheduler with the recorded effects for each request.
struct fixture {
    scheduler state;
    std::vector<effect> effects;
    time_point now{};
    std::map<request_id, int> dispatches;
    std::map<request_id, server_id> active;
    std::map<request_id, reason> refused;
    std::map<request_id, instance_id> transferred;

    void apply(const event& input) {
        effects.clear();
        step(state, input, now, effects);
        for (const auto& done : effects) {
            if (const auto* start = std::get_if<start_dispatch>(&done)) {
                ++dispatches[start->id];
                active[start->id] = start->server;
            } else if (const auto* refusal = std::get_if<refuse>(&done)) {
                refused[refusal->id] = refusal->why;
            } else if (const auto* moved = std::get_if<transfer>(&done)) {
                transferred[moved->id] = moved->peer;
            }
        }
    }

    void set_owned(std::vector<config::server> servers) {
        apply(ownership_changed{.owned = std::move(servers), .limits = {}});
    }

    work_item make(std::uint64_t sequence, int urgency, std::int64_t deadline_ms = 60'000,
                   std::uint64_t workspace = 1) {
        auto work = make_work(sequence, urgency, workspace, 0, deadline_ms);
        work.arrival = now;
        work.model = model;
        return work;
    }

    void finish(request_id id) {
        active.erase(id);
        apply(ended{.id = id, .complete = true, .generated = {20}});
    }
};

} // namespace

TEST(Scheduler, DispatchesImmediatelyWhileThereIsCapacity) {
    fixture f;
    f.set_owned({make_server(1)});
    f.apply(arrived{.work = f.make(1, 1)});
    EXPECT_EQ(f.dispatches[make_id(1)], 1);
}

TEST(Scheduler, IgnoresRepeatedArrival) {
    fixture f;
    f.set_owned({make_server(1)});
    const auto work = f.make(1, 1);
    f.apply(arrived{.work = work});
    f.apply(arrived{.work = work});
    EXPECT_EQ(f.dispatches[make_id(1)], 1);
    EXPECT_EQ(f.state.running.size(), 1U);
}

TEST(Scheduler, DrainingServerGetsNoNewRequests) {
    fixture f;
    auto server = make_server(1);
    f.set_owned({server});
    server.state = config::server_state::draining;
    f.set_owned({server, make_server(2)});
    for (std::uint64_t i = 1; i <= 4; ++i) {
        f.apply(arrived{.work = f.make(i, 1)});
        ASSERT_TRUE(f.active.contains(make_id(i)));
        EXPECT_EQ(f.active[make_id(i)], server_id{2});
    }
}

TEST(Scheduler, RefusesModelThatNoServerOffers) {
    fixture f;
    f.set_owned({});
    f.apply(arrived{.work = f.make(1, 0)});
    EXPECT_EQ(f.refused.at(make_id(1)), reason::no_server);
}

TEST(Scheduler, FailedConnectionIsRetriedOnAnotherServer) {
    fixture f;
    f.set_owned({make_server(1), make_server(2)});
    f.apply(arrived{.work = f.make(1, 1)});
    const auto first = f.active.at(make_id(1));
    f.apply(dispatch_failed{.id = make_id(1)});
    EXPECT_NE(f.active.at(make_id(1)), first) << "not retried on the failed server";
    f.apply(dispatch_failed{.id = make_id(1)});
    EXPECT_EQ(f.dispatches[make_id(1)], 3) << "a server that has failed once is better than none";
}

TEST(Scheduler, RetriesAreBoundedByBudget) {
    fixture f;
    f.set_owned({make_server(1, 200), make_server(2, 200)});
    int refused_by_budget = 0;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        f.apply(arrived{.work = f.make(i, 1)});
        f.apply(dispatch_failed{.id = make_id(i)});
        f.now += std::chrono::seconds{20};
        refused_by_budget += f.refused.contains(make_id(i)) ? 1 : 0;
    }
    int total = 0;
    for (const auto& [id, count] : f.dispatches) {
        total += count;
    }
    EXPECT_LE(total, 60 + 10 + 60 / 10 + 1) << "retries exceed the budget";
    EXPECT_GT(refused_by_budget, 0);
}

TEST(Scheduler, LowerTiersLeaveReserveFree) {
    fixture f;
    f.state.options.max_reserve_share = 0.34;
    f.set_owned({make_server(1, 6)});
    for (std::uint64_t i = 1; i <= 2; ++i) {
        f.apply(arrived{.work = f.make(i, 0)});
    }
    f.finish(make_id(1));
    f.finish(make_id(2));
    for (std::uint64_t i = 10; i < 20; ++i) {
        f.apply(arrived{.work = f.make(i, 2)});
    }
    EXPECT_EQ(f.state.running.size(), 4U) << "two slots stay free for the observed top-tier peak";
    f.apply(arrived{.work = f.make(100, 0)});
    EXPECT_TRUE(f.active.contains(make_id(100)));
}

TEST(Scheduler, RefusesExpiredRequestsImmediately) {
    fixture f;
    f.set_owned({make_server(1, 1)});
    f.apply(arrived{.work = f.make(1, 1)});
    f.apply(arrived{.work = f.make(2, 1, 5'000)});
    f.now += std::chrono::seconds{5};
    f.apply(ticked{});
    EXPECT_EQ(f.refused.at(make_id(2)), reason::deadline_passed);
}

TEST(Scheduler, DrainingOwnerTransfersItsQueueToPeers) {
    fixture f;
    f.set_owned({make_server(1, 1)});
    f.apply(peer_reported{.peer = {2}, .models = {{.model = model, .free_slots = 4, .slots = 4}}});
    f.apply(arrived{.work = f.make(1, 1)});
    f.apply(arrived{.work = f.make(2, 1)});
    f.apply(drain_requested{});
    EXPECT_EQ(f.transferred.at(make_id(2)), instance_id{2});
    EXPECT_TRUE(f.state.running.contains(make_id(1))) << "running requests are not aborted";
}

TEST(Scheduler, TransfersToPeerThatQueuesLessUrgentTier) {
    fixture f;
    f.state.options.max_queued = 1;
    f.set_owned({make_server(1, 1)});
    f.apply(arrived{.work = f.make(1, 1)});
    f.apply(peer_reported{
        .peer = {2},
        .models = {{.model = model, .slots = 4, .lowest_kept = tier{3}, .queued = 5}}});
    f.apply(arrived{.work = f.make(2, 1)});
    f.apply(arrived{.work = f.make(3, 1)});
    EXPECT_TRUE(f.refused.empty());
    EXPECT_EQ(f.transferred.size(), 1U);
}

TEST(Scheduler, RefusesWorkspaceOverItsLimit) {
    fixture f;
    config::workspace_limit limit{.workspace = "big", .max_in_system = 2};
    f.apply(ownership_changed{.owned = {make_server(1)}, .limits = {limit}});
    for (std::uint64_t i = 1; i <= 3; ++i) {
        f.apply(arrived{.work = f.make(i, 1, 60'000, hash_name("big"))});
    }
    EXPECT_EQ(f.refused.at(make_id(3)), reason::workspace_limit);
    f.finish(make_id(1));
    f.apply(arrived{.work = f.make(4, 1, 60'000, hash_name("big"))});
    EXPECT_EQ(f.dispatches[make_id(4)], 1);
}

// Random sequences of arrivals, ends, repeated and unknown events, while servers start and drain.
RC_GTEST_PROP(Scheduler, KeepsInvariantsUnderRandomEvents, ()) {
    fixture f;
    f.state.options.max_queued = 12;
    std::map<std::uint32_t, config::server> servers;
    for (std::uint32_t id = 1; id <= 3; ++id) {
        servers.emplace(id, make_server(id, *rc::gen::inRange(1U, 5U)));
    }
    const auto set_all_owned = [&] {
        std::vector<config::server> list;
        for (const auto& [id, server] : servers) {
            list.push_back(server);
        }
        f.set_owned(list);
    };
    set_all_owned();
    std::map<request_id, work_item> known;
    std::set<request_id> ended_ids;
    std::uint64_t next = 0;
    const auto steps = *rc::gen::inRange(10, 200);
    for (int step = 0; step < steps; ++step) {
        f.now += std::chrono::milliseconds{*rc::gen::inRange(0, 200)};
        const auto dispatched_before = f.dispatches;
        const auto refused_before = f.refused;
        std::map<request_id, model_id> queued_before(f.state.queued_model.begin(),
                                                     f.state.queued_model.end());
        const auto action = *rc::gen::inRange(0, 10);
        if (action < 4) {
            auto work =
                f.make(++next, *rc::gen::inRange(0, 4), 0, *rc::gen::inRange<std::uint64_t>(1, 4));
            work.deadline = f.now + std::chrono::milliseconds{*rc::gen::inRange(1, 20'000)};
            known.emplace(work.id, work);
            f.apply(arrived{.work = work});
        } else if (action < 8 && !f.active.empty()) {
            auto pick = f.active.begin();
            std::advance(pick, *rc::gen::inRange<std::size_t>(0, f.active.size()));
            const auto id = pick->first;
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                f.apply(first_token{.id = id, .cached = std::nullopt});
                f.apply(first_token{.id = id, .cached = std::nullopt});
                break;
            case 1:
                f.active.erase(id);
                f.apply(dispatch_failed{.id = id});
                break;
            default:
                f.finish(id);
                ended_ids.insert(id);
                f.apply(ended{.id = id, .complete = true});
            }
        } else if (action == 8) {
            auto& server = servers.at(*rc::gen::inRange(1U, 4U));
            server.state = *rc::gen::arbitrary<bool>() ? config::server_state::active
                                                       : config::server_state::draining;
            set_all_owned();
        } else {
            f.apply(ticked{});
            f.apply(ended{.id = make_id(100'000)});
        }
        for (const auto& done : f.effects) {
            const auto* start = std::get_if<start_dispatch>(&done);
            if (start != nullptr) {
                RC_ASSERT(servers.at(start->server.value).state == config::server_state::active);
                RC_ASSERT(!ended_ids.contains(start->id));
            }
        }
        for (const auto& [id, why] : f.refused) {
            if (refused_before.contains(id) || why != reason::overloaded) {
                continue;
            }
            for (const auto& [other, waiting] : f.state.queued_model) {
                const auto lower_is_queued = known.at(other).urgency > known.at(id).urgency;
                RC_ASSERT(!lower_is_queued);
            }
        }
        RC_ASSERT(queued_count(f.state) <= f.state.options.max_queued);
        std::map<server_id, std::uint32_t> in_flight;
        for (const auto& [id, item] : f.state.running) {
            ++in_flight[item.server];
            RC_ASSERT(!f.state.queued_model.contains(id));
        }
        for (const auto& [id, server] : f.state.servers) {
            RC_ASSERT(server.in_flight == in_flight[id]);
        }
        for (const auto& [id, work] : known) {
            const auto places = static_cast<int>(f.state.running.contains(id)) +
                                static_cast<int>(f.state.queued_model.contains(id)) +
                                static_cast<int>(f.refused.contains(id)) +
                                static_cast<int>(ended_ids.contains(id));
            RC_ASSERT(places == 1);
        }
    }
    while (!f.active.empty()) {
        f.finish(f.active.begin()->first);
    }
    f.now += std::chrono::seconds{60};
    f.apply(ticked{});
    RC_ASSERT(f.state.queued_model.empty());
    RC_ASSERT(f.state.in_system.empty());
}
