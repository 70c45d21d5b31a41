#include "tarragonspar/admission/quota.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonspar::admission {

namespace {

/// Share of the allowed overage that is used.
constexpr double applied_overage = 0.8;
/// Share of the allowed slack that is used.
constexpr double applied_slack = 0.75;

/// Level of a bucket, as a share of its burst, below which ranks compete for the remaining units.
/// Above it, no rank has to yield.
constexpr double contention_level = 0.5;
/// Share of the burst that is reserved while ranks compete, so that a large request finds enough
/// units.
constexpr double reserve_level = 0.4;
/// Time in which a bucket is brought back to the reserved level.
constexpr double reserve_seconds = 1.0;
/// Time constant of the demand averages; long enough to cover several requests of each rank.
constexpr double demand_seconds = 1.0;
/// Margin on the limit: an average over few requests may exceed it although the rank stays within
/// it.
constexpr double demand_margin = 1.3;
/// Margin on the demand of more urgent ranks, which such an average may underestimate.
constexpr double urgent_demand_margin = 1.15;
/// Bounds of the reported wait: callers retry within seconds or not at all.
constexpr duration min_quota_wait = std::chrono::milliseconds{100};
constexpr duration max_quota_wait = std::chrono::seconds{10};

void record_demand(quota_table::bucket& target, const quota_request& request, time_point now) {
    const auto elapsed = std::max(0.0, to_seconds(now - target.demand_updated));
    const auto decay = std::exp(-elapsed / demand_seconds);
    for (auto& rate : target.demand) {
        rate *= decay;
    }
    target.demand_updated = now;
    target.demand.at(request.rank.value) += request.units / demand_seconds;
}

/// Returns the share of a rank's requests that may pass while the demand of more urgent ranks is
/// met.
double admitted_share(const quota_table::bucket& source, kind_rank rank) {
    const auto& limit = source.limit;
    if (source.units >= limit.burst * contention_level) {
        return 1.0;
    }
    double urgent_demand = 0.0;
    for (std::uint8_t other = 0; other < rank.value; ++other) {
        urgent_demand += source.demand.at(other);
    }
    const auto demand = source.demand.at(rank.value);
    // The most urgent rank may use the reserve, unless its own demand exceeds the limit.
    const auto is_first = urgent_demand == 0.0 && demand <= limit.units_per_second * demand_margin;
    const auto reserve = is_first ? 0.0 : limit.burst * reserve_level;
    const auto available = limit.units_per_second + (source.units - reserve) / reserve_seconds -
                           urgent_demand * urgent_demand_margin;
    return demand <= 0.0 ? 1.0 : std::clamp(available / demand, 0.0, 1.0);
}

void refill(quota_table::bucket& target, time_point now) {
    const auto elapsed = std::max(0.0, to_seconds(now - target.updated));
    target.units =
        std::min(target.limit.burst, target.units + elapsed * target.limit.units_per_second);
    target.updated = now;
}

} // namespace

quota_limit apply_tolerance(const quota_limit& limit, const quota_tolerance& tolerance) {
    return {.units_per_second =
                limit.units_per_second * (1.0 + tolerance.overage * applied_overage),
            .burst = limit.burst + tolerance.slack * applied_slack};
}

void set_limits(quota_table& target, const std::unordered_map<workspace_id, quota_limit>& limits,
                time_point now) {
    std::erase_if(target.buckets, [&](const auto& item) { return !limits.contains(item.first); });
    for (const auto& [workspace, limit] : limits) {
        const auto [found, inserted] = target.buckets.try_emplace(
            workspace, quota_table::bucket{.limit = limit, .units = limit.burst, .updated = now});
        if (!inserted) {
            refill(found->second, now);
            found->second.limit = limit;
            found->second.units = std::min(found->second.units, limit.burst);
        }
    }
}

duration acquire(quota_table& target, const quota_request& request, time_point now) {
    const auto found = target.buckets.find(request.workspace);
    if (found == target.buckets.end()) {
        return {};
    }
    auto& bucket = found->second;
    refill(bucket, now);
    if (request.competes) {
        record_demand(bucket, request, now);
    }
    // A request larger than the burst passes when the bucket is full, and leaves its level
    // negative.
    const auto needed = std::min<double>(request.units, bucket.limit.burst);
    const auto share = request.competes ? admitted_share(bucket, request.rank) : 1.0;
    if (bucket.units >= needed && request.draw < share) {
        bucket.units -= request.units;
        return {};
    }
    // While ranks compete, the bucket has to return to the level above which all ranks pass.
    const auto wanted =
        share < 1.0 ? std::max(needed, bucket.limit.burst * contention_level) : needed;
    const auto missing = std::max(0.0, wanted - bucket.units);
    return std::clamp(from_seconds(missing / bucket.limit.units_per_second), min_quota_wait,
                      max_quota_wait);
}

void resume(quota_table& target, const workspace_usage& used, duration window, double min_level,
            time_point now) {
    for (auto& [workspace, bucket] : target.buckets) {
        const auto known = used.find(workspace);
        const auto slices = known == used.end() ? usage_slices{} : known->second;
        const auto slice_seconds = to_seconds(window) / static_cast<double>(slices.size());
        auto units = bucket.limit.burst;
        // The bucket was at most full at the beginning of each slice.
        auto level = bucket.limit.burst;
        for (const auto used_in_slice : slices) {
            level += bucket.limit.units_per_second * slice_seconds - used_in_slice;
            units = std::min(units, level);
        }
        bucket.units = std::max({units, min_level * bucket.limit.burst, 0.0});
        bucket.updated = now;
    }
}

void usage_window::add(workspace_id workspace, std::uint32_t units, time_point now) {
    usages_.push_back({.at = now, .workspace = workspace, .units = units});
}

workspace_usage usage_window::used(time_point now) {
    while (!usages_.empty() && usages_.front().at < now - window_) {
        usages_.pop_front();
    }
    workspace_usage out;
    for (const auto& item : usages_) {
        auto& slices = out[item.workspace];
        const auto age = to_seconds(now - item.at) / to_seconds(window_);
        const auto index = static_cast<std::size_t>(age * static_cast<double>(slices.size()));
        slices.at(std::min(index, slices.size() - 1)) += item.units;
    }
    return out;
}

void refund(quota_table& target, workspace_id workspace, std::uint32_t units) {
    const auto found = target.buckets.find(workspace);
    if (found != target.buckets.end()) {
        auto& bucket = found->second;
        bucket.units = std::min(bucket.limit.burst, bucket.units + units);
    }
}

} // namespace tarragonspar::admission
