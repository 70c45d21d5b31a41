#pragma once

#include <chrono>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/dispatch/grant_scheduler.hpp"

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

/// A grant scheduler, the current time, and its decisions by request.
struct fixture {
    grant_scheduler scheduler;
    time_point now{std::chrono::seconds{100}};
    std::map<std::uint64_t, grant> granted;
    std::map<std::uint64_t, refusal> refused;

    explicit fixture(const std::vector<config::server>& servers) {
        std::vector<decision> made;
        set_servers(scheduler, servers, now, made);
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

    void store_results(const std::vector<decision>& made) {
        for (const auto& item : made) {
            if (const auto* given = std::get_if<grant>(&item.result)) {
                granted[item.id.sequence] = *given;
            } else {
                refused[item.id.sequence] = std::get<refusal>(item.result);
            }
        }
    }

    void ask(const work_item& work, previous_grant previous = previous_grant::none,
             server_fate fate = server_fate::unknown) {
        granted.erase(work.id.sequence);
        std::vector<decision> made;
        dispatch::ask(scheduler, work, previous, now, made, fate);
        store_results(made);
    }

    void report_update(std::uint64_t sequence, grant_update::stage kind,
                       bool server_fault = false) {
        std::vector<decision> made;
        record(scheduler,
               {.id = make(sequence, 0).id,
                .kind = kind,
                .generated = {10},
                .server_fault = server_fault},
               now, made);
        store_results(made);
    }

    void check_waiting() {
        std::vector<decision> made;
        dispatch::tick(scheduler, now, made);
        store_results(made);
    }

    void handle_notice(const server_notice& notice) {
        std::vector<decision> made;
        static_cast<void>(record(scheduler, notice, now, made));
        store_results(made);
    }

    void report(const dispatcher_report& input) {
        std::vector<decision> made;
        reconcile(scheduler, input, now, made);
        store_results(made);
    }
};

} // namespace tarragonspar::testing
