#pragma once

#include <rapidcheck.h>

#include "tarragonspar/types/work.hpp"

/// @brief Builders of test values.
namespace tarragonspar::testing {

/// @brief Returns a request id issued by instance 1.
inline request_id make_id(std::uint64_t sequence) {
    return {.issuer = {1}, .issued_in = {1}, .sequence = sequence};
}

inline time_point at_ms(std::int64_t ms) {
    return time_point{std::chrono::milliseconds{ms}};
}

/// @brief Returns a small request for one fixed model and profile.
inline work_item make_work(std::uint64_t sequence, int urgency, std::uint64_t workspace,
                           std::int64_t arrival_ms, std::int64_t deadline_ms) {
    work_item work;
    work.id = make_id(sequence);
    work.urgency = {static_cast<std::uint8_t>(urgency)};
    work.workspace = {workspace};
    work.model = {7};
    work.profile = 3;
    work.arrival = at_ms(arrival_ms);
    work.deadline = at_ms(deadline_ms);
    work.prompt = {100};
    work.max_output = {50};
    return work;
}

} // namespace tarragonspar::testing
