#include "tarragonspar/admission/quota.hpp"

#include <algorithm>

namespace tarragonspar::admission {

namespace {

/// Part of the allowed overage that is used.
constexpr double used_overage = 0.8;
/// Part of the allowed slack that is used.
constexpr double used_slack = 0.75;

void refill(quota_table::bucket& target, time_point now) {
    const auto elapsed = std::max(0.0, to_seconds(now - target.updated));
    target.units =
        std::min(target.limit.burst, target.units + elapsed * target.limit.units_per_second);
    target.updated = now;
}

} // namespace

quota_limit stretch(const quota_limit& limit, const quota_tolerance& tolerance) {
    return {.units_per_second = limit.units_per_second * (1.0 + tolerance.overage * used_overage),
            .burst = limit.burst + tolerance.slack * used_slack};
}

void set_limits(quota_table& target, const std::unordered_map<workspace_id, quota_limit>& limits,
                time_point now) {
    std::erase_if(target.buckets, [&](const auto& item) { return !limits.contains(item.first); });
    for (const auto& [workspace, limit] : limits) {
        const auto [found, fresh] = target.buckets.try_emplace(
            workspace, quota_table::bucket{.limit = limit, .units = limit.burst, .updated = now});
        if (!fresh) {
            refill(found->second, now);
            found->second.limit = limit;
            found->second.units = std::min(found->second.units, limit.burst);
        }
    }
}

duration take(quota_table& target, workspace_id workspace, std::uint32_t units, time_point now) {
    const auto found = target.buckets.find(workspace);
    if (found == target.buckets.end()) {
        return {};
    }
    auto& bucket = found->second;
    refill(bucket, now);
    // A request larger than the burst passes when the bucket is full, and leaves a debt.
    const auto needed = std::min<double>(units, bucket.limit.burst);
    if (bucket.units >= needed) {
        bucket.units -= units;
        return {};
    }
    const auto missing = needed - bucket.units;
    return std::max(duration{1}, from_seconds(missing / bucket.limit.units_per_second));
}

void resume(quota_table& target, const std::unordered_map<workspace_id, double>& used,
            duration window, double at_least, time_point now) {
    for (auto& [workspace, bucket] : target.buckets) {
        const auto known = used.find(workspace);
        const auto units = known == used.end() ? 0.0 : known->second;
        const auto refilled = bucket.limit.units_per_second * to_seconds(window);
        bucket.units = std::clamp(bucket.limit.burst + refilled - units,
                                  at_least * bucket.limit.burst, bucket.limit.burst);
        bucket.updated = now;
    }
}

void usage_window::add(workspace_id workspace, std::uint32_t units, time_point now) {
    uses_.push_back({.at = now, .workspace = workspace, .units = units});
}

std::unordered_map<workspace_id, double> usage_window::used(time_point now) {
    while (!uses_.empty() && uses_.front().at < now - window_) {
        uses_.pop_front();
    }
    std::unordered_map<workspace_id, double> out;
    for (const auto& item : uses_) {
        out[item.workspace] += item.units;
    }
    return out;
}

void give_back(quota_table& target, workspace_id workspace, std::uint32_t units) {
    const auto found = target.buckets.find(workspace);
    if (found != target.buckets.end()) {
        auto& bucket = found->second;
        bucket.units = std::min(bucket.limit.burst, bucket.units + units);
    }
}

} // namespace tarragonspar::admission
