#include "tarragonspar/admission/retry_allowance.hpp"

#include <algorithm>
#include <iterator>

namespace tarragonspar::admission {

namespace {

/// Share of the limit that is used. The rest is a margin for the receiver, which counts arrivals at
/// other times than this instance.
constexpr double applied_share = 0.8;

void expire_before(std::deque<time_point>& list, time_point before) {
    while (!list.empty() && list.front() < before) {
        list.pop_front();
    }
}

} // namespace

void record_first_attempt(retry_allowance& target, const std::string& service, time_point now) {
    auto& state = target.services[service];
    expire_before(state.first_attempts, now - target.limits.window);
    state.first_attempts.push_back(now);
}

bool acquire_retry(retry_allowance& target, const std::string& service, time_point now) {
    auto& state = target.services[service];
    expire_before(state.first_attempts, now - target.limits.window);
    expire_before(state.retries, now - target.limits.window);
    const auto slack = target.limits.slack / std::max(1U, target.limits.instances);
    const auto allowed =
        applied_share *
        (target.limits.ratio * static_cast<double>(state.first_attempts.size()) + slack);
    if (static_cast<double>(state.retries.size()) + 1.0 > allowed) {
        return false;
    }
    state.retries.push_back(now);
    return true;
}

void return_retry(retry_allowance& target, const std::string& service, time_point acquired) {
    auto& retries = target.services[service].retries;
    const auto after = std::upper_bound(retries.begin(), retries.end(), acquired);
    if (after != retries.begin()) {
        retries.erase(std::prev(after));
    }
}

} // namespace tarragonspar::admission
