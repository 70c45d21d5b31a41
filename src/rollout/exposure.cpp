#include "tarragonspar/rollout/exposure.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonspar::rollout {
namespace {

// Number of ranges over a rollout. Each lasts a second in a rollout of 12 s, which is several
// answers long, and every server of a target with a dozen of them gets requests.
constexpr double ranges_per_rollout = 12.0;

// Answers of one server that its speed and its slow answers can be told from, and the servers that
// are used at least, as the speed of one server tells nothing about the version.
constexpr double answers_per_server = 12.0;
constexpr double min_servers = 3.0;

double progress(duration elapsed, duration length) {
    return length <= duration{} ? 1.0
                                : std::clamp(to_seconds(elapsed) / to_seconds(length), 0.0, 1.0);
}

} // namespace

exposure begin_exposure(const exposure_limits& limits) {
    exposure made;
    made.limits = limits;
    made.complete = true;
    return made;
}

exposure resume_exposure(const exposure_limits& limits,
                         const std::optional<exposure_counts>& reported) {
    exposure made;
    made.limits = limits;
    made.complete = reported.has_value();
    made.counts = reported.value_or(exposure_counts{});
    return made;
}

void count_request(exposure& target) {
    ++target.counts.requests;
}

void count_grant(exposure& target) {
    ++target.counts.granted;
    ++target.issued;
}

void count_end(exposure& target) {
    target.ended = std::min(target.ended + 1, target.issued);
}

bool allows(const exposure& of, const exposure_request& asked) {
    const auto& limits = of.limits;
    const auto is_proven = !asked.suspected && asked.answers >= limits.answers_for_unrepeatable;
    if (!asked.repeatable && !is_proven) {
        return false;
    }
    const auto released =
        std::min(1.0, progress(asked.elapsed, asked.length) / std::max(limits.slack_release, 0.01));
    const auto slack = of.complete ? limits.slack * limits.slack_part * released : 0.0;
    const auto bound = limits.share * static_cast<double>(of.counts.requests) + slack;
    if (static_cast<double>(of.counts.granted) + 1.0 > bound) {
        return false;
    }
    // The number in flight grows with the answers, so that a version that answers nothing, or
    // late, does not use up the bound before it can be judged.
    const auto in_flight = of.issued - of.ended;
    const auto proven = asked.suspected ? 0 : asked.answers / 2;
    return in_flight < limits.first_in_flight + proven;
}

server_range servers_in_use(std::uint32_t servers, double target_rate, double usual_rate,
                            duration elapsed, duration length) {
    if (servers == 0) {
        return {};
    }
    auto count = servers;
    if (usual_rate > 0.0) {
        const auto needed = std::floor(target_rate / usual_rate);
        count = static_cast<std::uint32_t>(std::clamp(needed, 1.0, static_cast<double>(servers)));
    }
    const auto expected = target_rate * to_seconds(length) / answers_per_server;
    const auto used =
        std::max(count, static_cast<std::uint32_t>(std::clamp(
                            expected, std::min(min_servers, static_cast<double>(servers)),
                            static_cast<double>(servers))));
    const auto position =
        static_cast<std::uint32_t>(progress(elapsed, length) * ranges_per_rollout);
    return {.first = position * count % used, .count = count};
}

} // namespace tarragonspar::rollout
