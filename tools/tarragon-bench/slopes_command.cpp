#include <chrono>
#include <cstdio>
#include <cstring>
#include <vector>

#include <malloc.h>
#include <nlohmann/json.hpp>

#include "policy_command.hpp"
#include "tarragonspar/dispatch/scheduler.hpp"
#include "tarragonspar/routing/placement.hpp"
#include "tarragonspar/wire/codec.hpp"

#include <capnp/message.h>
#include <capnp/serialize.h>

namespace tarragonspar::bench {

namespace {

using steady = std::chrono::steady_clock;

/// Heap bytes in use, as reported by the allocator.
std::size_t heap_bytes() {
    return mallinfo2().uordblks;
}

double micros_since(steady::time_point start) {
    return std::chrono::duration<double, std::micro>(steady::now() - start).count();
}

work_item make_request(std::uint64_t sequence, std::size_t workspaces) {
    work_item work;
    work.id = {.issuer = {1}, .issued_in = {1}, .sequence = sequence};
    work.urgency = {static_cast<std::uint8_t>(sequence % tier_count)};
    work.workspace = {hash_pair(sequence % workspaces, 99)};
    work.model = {hash_pair(sequence % 29, 7)};
    work.profile = sequence % 8;
    work.arrival = time_point{std::chrono::milliseconds{sequence}};
    work.deadline = work.arrival + std::chrono::seconds{20};
    work.prompt = {640};
    work.max_output = {200};
    for (std::uint64_t i = 0; i < 10; ++i) {
        work.blocks.push_back({hash_pair(work.workspace.value, i)});
    }
    return work;
}

/// Measures time and memory of choosing an owner at an entry instance, with two servers per owner.
nlohmann::json measure_placement(std::size_t servers, std::size_t workspaces) {
    constexpr std::size_t rounds = 40'000;
    const auto before = heap_bytes();
    routing::placement placement;
    std::vector<routing::placed_server> placed;
    for (std::size_t i = 0; i < servers; ++i) {
        routing::placed_server item;
        item.id = {static_cast<std::uint32_t>(i + 1)};
        item.owner = {static_cast<std::uint32_t>(i / 2 + 1)};
        // Each server offers four of the 29 models.
        for (std::uint64_t k = 0; k < 4; ++k) {
            item.offers.push_back({hash_pair((i * 4 + k) % 29, 7)});
        }
        item.local_domain = i % 7 == 0;
        placed.push_back(std::move(item));
    }
    routing::set_servers(placement, placed);
    for (std::size_t owner = 1; owner <= servers / 2; ++owner) {
        std::vector<routing::model_digest> digest;
        for (std::uint64_t model = 0; model < 29; ++model) {
            digest.push_back({.model = {hash_pair(model, 7)},
                              .free_slots = 1'000'000,
                              .slots = 1'000'000,
                              .prefill_tokens_per_second = 4000.0F});
        }
        const instance_id id{static_cast<std::uint32_t>(owner)};
        routing::set_digest(placement, id, digest, time_point{std::chrono::seconds{1}});
    }
    std::vector<work_item> requests;
    for (std::size_t i = 0; i < 2000; ++i) {
        requests.push_back(make_request(i * 7 + 1, workspaces));
    }
    const auto start = steady::now();
    std::size_t found = 0;
    for (std::size_t i = 0; i < rounds; ++i) {
        const auto& work = requests[i % requests.size()];
        found += routing::choose_owner(placement, work, {}, work.arrival).has_value() ? 1 : 0;
    }
    const auto micros = micros_since(start) / rounds;
    return {{"servers", servers},
            {"workspaces", workspaces},
            {"micros_per_decision", micros},
            {"bytes", heap_bytes() - before},
            {"found", found}};
}

/// Measures time and memory that an owner spends per request: arrival, first token and end.
nlohmann::json measure_owner(std::size_t servers, std::size_t workspaces) {
    constexpr std::size_t rounds = 20'000;
    const auto before = heap_bytes();
    dispatch::scheduler owner;
    std::vector<dispatch::effect> effects;
    std::vector<config::server> owned;
    for (std::size_t i = 0; i < servers; ++i) {
        config::server item;
        item.id = {static_cast<std::uint32_t>(i + 1)};
        item.name = "s" + std::to_string(i);
        item.slots = 16;
        item.offers = {"m"};
        owned.push_back(item);
    }
    step(owner, dispatch::ownership_changed{.owned = owned, .limits = {}}, {}, effects);
    const auto start = steady::now();
    for (std::size_t i = 0; i < rounds; ++i) {
        auto work = make_request(i + 1, workspaces);
        work.model = {hash_name("m")};
        const auto now = work.arrival;
        const auto id = work.id;
        effects.clear();
        step(owner, dispatch::arrived{.work = std::move(work)}, now, effects);
        step(owner, dispatch::first_token{.id = id, .cached = token_count{0}}, now, effects);
        step(owner, dispatch::ended{.id = id, .complete = true, .generated = {100}}, now, effects);
    }
    return {{"servers", servers},
            {"workspaces", workspaces},
            {"micros_per_request", micros_since(start) / rounds},
            {"bytes", heap_bytes() - before}};
}

/// Measures size and encoding time of one gossip message.
nlohmann::json measure_gossip(std::size_t members, std::size_t models) {
    constexpr std::size_t rounds = 5'000;
    wire::gossip_message message;
    for (std::size_t i = 0; i < members; ++i) {
        message.members.push_back({.id = {static_cast<std::uint32_t>(i)}, .started_as = {1}});
    }
    for (std::size_t i = 0; i < models; ++i) {
        message.digest.push_back({.model = {i}, .free_slots = 3, .slots = 8});
    }
    std::size_t bytes = 0;
    const auto start = steady::now();
    for (std::size_t i = 0; i < rounds; ++i) {
        capnp::MallocMessageBuilder builder;
        wire::write(builder.initRoot<wire::schema::Gossip>(), message);
        bytes = capnp::messageToFlatArray(builder).asBytes().size();
    }
    return {{"members", members},
            {"models", models},
            {"bytes", bytes},
            {"micros", micros_since(start) / rounds}};
}

} // namespace

int run_slopes_command(int argc, char** argv) {
    const bool as_json = argc >= 2 && std::strcmp(argv[1], "--json") == 0;
    nlohmann::json out;
    for (const std::size_t servers : {16, 100, 740, 3000}) {
        for (const std::size_t workspaces : {5, 500, 9100}) {
            out["placement"].push_back(measure_placement(servers, workspaces));
        }
    }
    for (const std::size_t servers : {2, 4, 16, 64}) {
        for (const std::size_t workspaces : {5, 500, 9100}) {
            out["owner"].push_back(measure_owner(servers, workspaces));
        }
    }
    for (const std::size_t members : {0, 3, 6}) {
        for (const std::size_t models : {1, 4, 16, 29}) {
            out["gossip"].push_back(measure_gossip(members, models));
        }
    }
    if (as_json) {
        std::printf("%s\n", out.dump(2).c_str());
        return 0;
    }
    for (const auto& [name, rows] : out.items()) {
        for (const auto& row : rows) {
            std::printf("%-10s", name.c_str());
            for (const auto& [key, value] : row.items()) {
                std::printf("  %s=%s", key.c_str(), value.dump().c_str());
            }
            std::printf("\n");
        }
    }
    return 0;
}

} // namespace tarragonspar::bench
