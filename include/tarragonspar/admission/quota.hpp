#pragma once

#include <array>
#include <deque>
#include <unordered_map>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::admission {

/// @brief Rate and burst limit of one workspace.
struct quota_limit {
    double units_per_second{};
    double burst{};
    friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

/// @brief Token buckets, one per workspace.
///
/// Protects other workspaces when one sends many times its usual load: requests beyond its limit
/// are rejected before they take a slot.
struct quota_table {
    struct bucket {
        quota_limit limit;
        double units{};
        time_point updated{};
        /// Recent demand of each rank in units per second, including requests that were rejected.
        std::array<double, rank_count> demand{};
        time_point demand_updated{};
    };
    std::unordered_map<workspace_id, bucket> buckets;
};

/// Share of each bucket that an instance starts with when it loses the instance that enforces the
/// quota. What all instances together grant beyond the limit then stays within the part of the
/// tolerance that `apply_tolerance` leaves unused (a quarter of the slack), even if the leader is
/// lost and returns within the window over which users measure their quota.
inline constexpr double local_quota_floor = 0.1;

/// @brief How far the applied limit may exceed the configured one.
struct quota_tolerance {
    double overage{}; ///< allowed excess, as a share of rate and burst
    double slack{};   ///< units allowed in addition
};

/// @brief Returns the limit to apply, which is less strict than the configured one.
///
/// Uses part of the tolerance, so that no request within the quota is rejected because requests are
/// counted at slightly different times. The rest covers a second full bucket, at a new leader or at
/// partitioned instances.
[[nodiscard]] quota_limit apply_tolerance(const quota_limit& limit,
                                          const quota_tolerance& tolerance);

/// @brief Replaces all limits. Buckets keep their remaining units, up to the new burst.
void set_limits(quota_table& target, const std::unordered_map<workspace_id, quota_limit>& limits,
                time_point now);

/// @brief A request for units of a workspace's quota.
struct quota_request {
    workspace_id workspace;
    kind_rank rank;
    std::uint32_t units{};
    double draw{}; ///< random number in [0, 1), the same for each decision on one request
    /// Whether it yields to more urgent ranks; if not, any available unit may be used.
    bool competes{true};
};

/// @brief Acquires units for a request.
///
/// While a workspace's demand exceeds its limit, more urgent ranks have precedence over less urgent
/// ones. Within the rank whose demand is met only in part, `draw` decides and not the size, since
/// otherwise small requests would always find enough units and large ones never.
/// @return 0 if the units were acquired, else the time until they are expected to be available
[[nodiscard]] duration acquire(quota_table& target, const quota_request& request, time_point now);

/// @brief Units used in equal slices of the past window, the newest first.
///
/// A sum over the window alone does not distinguish a bucket that was drained just now from one
/// that has been refilled since. The level computed from the slices is off by at most the refill of
/// one slice.
using usage_slices = std::array<double, 16>;

using workspace_usage = std::unordered_map<workspace_id, usage_slices>;

/// @brief Sets the level of each bucket from recent usage, whichever instance granted it.
///
/// Lets another instance continue the accounting when the one that enforced the quota is lost.
/// @param used       units used in the past `window`; a workspace that is absent used none
/// @param min_level  minimum level of each bucket, as a share of its burst
void resume(quota_table& target, const workspace_usage& used, duration window, double min_level,
            time_point now);

/// @brief Sliding window of the units that requests used.
class usage_window {
public:
    explicit usage_window(duration window) : window_(window) {}
    void add(workspace_id workspace, std::uint32_t units, time_point now);
    [[nodiscard]] workspace_usage used(time_point now);

private:
    struct usage {
        time_point at;
        workspace_id workspace;
        std::uint32_t units{};
    };
    duration window_;
    std::deque<usage> usages_;
};

/// @brief Refunds units of a request that was not executed.
void refund(quota_table& target, workspace_id workspace, std::uint32_t units);

} // namespace tarragonspar::admission
