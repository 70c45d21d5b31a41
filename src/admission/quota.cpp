#include "tarragonspar/admission/quota.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonspar::admission {

namespace {

/// Part of the allowed overage that is used.
constexpr double used_overage = 0.8;
/// Part of the allowed slack that is used.
constexpr double used_slack = 0.75;

/// Part of a bucket below which ranks compete for what is left: above it, what is spent is not
/// missing to anybody.
constexpr double contested_level = 0.5;
/// Part of a bucket that is held while ranks compete, so that a large request finds enough.
constexpr double held_level = 0.4;
/// Time in which a bucket is brought back to the held level.
constexpr double level_seconds = 1.0;
/// Time over which asked units are averaged: some requests of each rank.
constexpr double asked_seconds = 1.0;
/// What averages of some requests may miss: of the limit by a rank that keeps to it, and of what
/// more urgent ranks ask for.
constexpr double asked_margin = 1.3;
constexpr double above_margin = 1.15;
/// Shortest and longest time told: callers come back within seconds or not at all.
constexpr duration min_quota_wait = std::chrono::milliseconds{100};
constexpr duration max_quota_wait = std::chrono::seconds{10};

void note_asked(quota_table::bucket& target, const quota_wish& wish, time_point now) {
    const auto elapsed = std::max(0.0, to_seconds(now - target.asked_updated));
    const auto kept = std::exp(-elapsed / asked_seconds);
    for (auto& rate : target.asked) {
        rate *= kept;
    }
    target.asked_updated = now;
    target.asked.at(wish.rank.value) += wish.units / asked_seconds;
}

/// Part of a rank's requests that may pass so that more urgent ranks find what they ask for.
double admitted_share(const quota_table::bucket& source, kind_rank rank) {
    const auto& limit = source.limit;
    if (source.units >= limit.burst * contested_level) {
        return 1.0;
    }
    double above = 0.0;
    for (std::uint8_t other = 0; other < rank.value; ++other) {
        above += source.asked.at(other);
    }
    const auto asked = source.asked.at(rank.value);
    // The most urgent rank may use up what is held, unless it alone asks for too much.
    const auto is_first = above == 0.0 && asked <= limit.units_per_second * asked_margin;
    const auto held = is_first ? 0.0 : limit.burst * held_level;
    const auto left =
        limit.units_per_second + (source.units - held) / level_seconds - above * above_margin;
    return asked <= 0.0 ? 1.0 : std::clamp(left / asked, 0.0, 1.0);
}

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

duration take(quota_table& target, const quota_wish& wish, time_point now) {
    const auto found = target.buckets.find(wish.workspace);
    if (found == target.buckets.end()) {
        return {};
    }
    auto& bucket = found->second;
    refill(bucket, now);
    if (wish.competes) {
        note_asked(bucket, wish, now);
    }
    // A request larger than the burst passes when the bucket is full, and leaves a debt.
    const auto needed = std::min<double>(wish.units, bucket.limit.burst);
    const auto share = wish.competes ? admitted_share(bucket, wish.rank) : 1.0;
    if (bucket.units >= needed && wish.draw < share) {
        bucket.units -= wish.units;
        return {};
    }
    // Where ranks wait for units, the bucket has to come back to the level from which on all pass.
    const auto wanted =
        share < 1.0 ? std::max(needed, bucket.limit.burst * contested_level) : needed;
    const auto missing = std::max(0.0, wanted - bucket.units);
    return std::clamp(from_seconds(missing / bucket.limit.units_per_second), min_quota_wait,
                      max_quota_wait);
}

void resume(quota_table& target, const workspace_usage& used, duration window, double at_least,
            time_point now) {
    for (auto& [workspace, bucket] : target.buckets) {
        const auto known = used.find(workspace);
        const auto slices = known == used.end() ? usage_slices{} : known->second;
        const auto slice_seconds = to_seconds(window) / static_cast<double>(slices.size());
        auto units = bucket.limit.burst;
        // The bucket was full at most at the beginning of each slice.
        auto level = bucket.limit.burst;
        for (const auto used_in_slice : slices) {
            level += bucket.limit.units_per_second * slice_seconds - used_in_slice;
            units = std::min(units, level);
        }
        bucket.units = std::max({units, at_least * bucket.limit.burst, 0.0});
        bucket.updated = now;
    }
}

void usage_window::add(workspace_id workspace, std::uint32_t units, time_point now) {
    uses_.push_back({.at = now, .workspace = workspace, .units = units});
}

workspace_usage usage_window::used(time_point now) {
    while (!uses_.empty() && uses_.front().at < now - window_) {
        uses_.pop_front();
    }
    workspace_usage out;
    for (const auto& item : uses_) {
        auto& slices = out[item.workspace];
        const auto age = to_seconds(now - item.at) / to_seconds(window_);
        const auto index = static_cast<std::size_t>(age * static_cast<double>(slices.size()));
        slices.at(std::min(index, slices.size() - 1)) += item.units;
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
