// Embeds the owner's scheduler without a daemon: one backend server with two slots, three requests.

#include <cstdio>

#include <tarragonspar/tarragonspar.hpp>

int main() {
    using namespace tarragonspar;
    dispatch::scheduler owner;
    std::vector<dispatch::effect> effects;
    config::server server{.id = {1},
                          .name = "engine-1",
                          .failure_domain = "abdali",
                          .address = "127.0.0.1:8201",
                          .offers = {"blend-7b"},
                          .slots = 2};
    time_point now{};
    step(owner, dispatch::ownership_changed{.owned = {server}, .limits = {}}, now, effects);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        work_item work;
        work.id = {.issuer = {1}, .issued_in = {1}, .sequence = i};
        work.urgency = {static_cast<std::uint8_t>(3 - i)};
        work.model = {hash_name("blend-7b")};
        work.arrival = now;
        work.deadline = now + std::chrono::seconds{20};
        work.prompt = {300};
        work.max_output = {100};
        step(owner, dispatch::arrived{.work = std::move(work)}, now, effects);
    }
    for (const auto& effect : effects) {
        if (const auto* start = std::get_if<dispatch::start_dispatch>(&effect)) {
            std::printf("dispatch %s to server %u\n", to_string(start->id).c_str(),
                        start->server.value);
        }
    }
    std::printf("%zu waiting\n", queued_count(owner));
    return queued_count(owner) == 1 ? 0 : 1;
}
