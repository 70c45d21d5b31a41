#pragma once

#include <chrono>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/dispatch/grant_desk.hpp"

namespace tarragonspar::testing {

using namespace dispatch;

inline config::server make_server(std::uint32_t id, std::uint32_t slots = 1) {
    return {.id = {id},
            .name = "i-" + std::to_string(id),
            .address = "10.0.0." + std::to_string(id) + ":80",
            .offers = {"m"},
            .hardware_class = std::to_string(id),
            .slots = slots,
            .slots_are_exact = true};
}

/// A desk, the time, and what was decided.
struct fixture {
    grant_desk desk;
    time_point now{std::chrono::seconds{100}};
    std::map<std::uint64_t, grant> granted;
    std::map<std::uint64_t, refusal> refused;

    explicit fixture(const std::vector<config::server>& servers) {
        std::vector<decision> made;
        set_servers(desk, servers, now, made);
    }

    [[nodiscard]] work_item make(std::uint64_t sequence, std::uint8_t tier_number,
                                 std::uint32_t issuer = 1) const {
        work_item work;
        work.id = {.issuer = {issuer}, .issued_in = {5}, .sequence = sequence};
        work.urgency = {tier_number};
        work.model = {hash_name("m")};
        work.arrival = now;
        work.deadline = now + std::chrono::seconds{10};
        work.prompt = {100};
        work.max_output = {100};
        return work;
    }

    void take(const std::vector<decision>& made) {
        for (const auto& item : made) {
            if (const auto* given = std::get_if<grant>(&item.what)) {
                granted[item.id.sequence] = *given;
            } else {
                refused[item.id.sequence] = std::get<refusal>(item.what);
            }
        }
    }

    void ask(const work_item& work, earlier_grant earlier = earlier_grant::none) {
        granted.erase(work.id.sequence);
        std::vector<decision> made;
        dispatch::ask(desk, work, earlier, now, made);
        take(made);
    }

    void tell(std::uint64_t sequence, grant_news::what kind, bool fault = false) {
        std::vector<decision> made;
        note(desk,
             {.id = make(sequence, 0).id, .kind = kind, .generated = {10}, .server_fault = fault},
             now, made);
        take(made);
    }

    void notice(const server_notice& what) {
        std::vector<decision> made;
        static_cast<void>(note(desk, what, now, made));
        take(made);
    }

    void report(const holder_report& what) {
        std::vector<decision> made;
        reconcile(desk, what, now, made);
        take(made);
    }
};

} // namespace tarragonspar::testing
