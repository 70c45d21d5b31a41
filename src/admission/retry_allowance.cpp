#include "tarragonspar/admission/retry_allowance.hpp"

#include <algorithm>

namespace tarragonspar::admission {

namespace {

/// Part of the limit that is used, since others count arrivals at other moments than this one.
constexpr double used_share = 0.8;

void forget_old(std::deque<time_point>& list, time_point before) {
    while (!list.empty() && list.front() < before) {
        list.pop_front();
    }
}

} // namespace

void note_first(retry_allowance& target, const std::string& service, time_point now) {
    auto& state = target.services[service];
    forget_old(state.first, now - target.limits.window);
    state.first.push_back(now);
}

bool try_repeat(retry_allowance& target, const std::string& service, time_point now) {
    auto& state = target.services[service];
    forget_old(state.first, now - target.limits.window);
    forget_old(state.repeats, now - target.limits.window);
    const auto slack = target.limits.slack / std::max(1U, target.limits.instances);
    const auto allowed =
        used_share * (target.limits.ratio * static_cast<double>(state.first.size()) + slack);
    if (static_cast<double>(state.repeats.size()) + 1.0 > allowed) {
        return false;
    }
    state.repeats.push_back(now);
    return true;
}

} // namespace tarragonspar::admission
