#pragma once

#include <array>
#include <deque>
#include <unordered_map>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::admission {

/// @brief Rate and burst that one workspace may use.
struct quota_limit {
    double units_per_second{};
    double burst{};
    friend bool operator==(const quota_limit&, const quota_limit&) = default;
};

/// @brief Units that workspaces may still use, refilled with time.
///
/// Answers the load in which one workspace sends many times its usual: what is beyond its limit is
/// turned away before it takes a slot from others.
struct quota_table {
    struct bucket {
        quota_limit limit;
        double units{};
        time_point updated{};
        /// Units asked for lately by each rank of requests, granted or not, in units a second.
        std::array<double, rank_count> asked{};
        time_point asked_updated{};
    };
    std::unordered_map<workspace_id, bucket> buckets;
};

/// Part of each bucket that an instance starts with when it loses the one that counts: what all of
/// them grant beyond the limit then stays within the part of the tolerance that `stretch` leaves, a
/// quarter of the slack, for a leader that is lost and comes back within the users' window.
inline constexpr double own_quota_floor = 0.1;

/// @brief How far a limit may be stretched.
struct quota_tolerance {
    double overage{}; ///< part beyond rate and burst that is allowed
    double slack{};   ///< units beyond that
};

/// @brief The limit that is applied, less strict than the one that was set.
///
/// Uses part of the tolerance, so that no request within the quota is turned away for the moments
/// at which requests are counted. The rest covers a second full bucket, at a new leader or at
/// instances that are cut off.
[[nodiscard]] quota_limit stretch(const quota_limit& limit, const quota_tolerance& tolerance);

/// @brief Replaces all limits; what is left in a bucket stays, up to the new burst.
void set_limits(quota_table& target, const std::unordered_map<workspace_id, quota_limit>& limits,
                time_point now);

/// @brief A request that asks for units of its workspace's quota.
struct quota_wish {
    workspace_id workspace;
    kind_rank rank;
    std::uint32_t units{};
    double draw{};       ///< from [0, 1), the same for each decision on one request
    bool competes{true}; ///< gives way to more urgent ranks; else it takes what is there
};

/// @brief Takes units for a request.
///
/// While a workspace asks for more than its limit, more urgent ranks go first: the least urgent
/// leave the units to them, and inside the rank that gets only part of what it asks for, the draw
/// decides and not the size, since small requests would always find enough and large ones never.
/// @return 0 if the units were taken, else the time after which they will be there
[[nodiscard]] duration take(quota_table& target, const quota_wish& wish, time_point now);

/// @brief Units used in equal slices of the past window, the newest first: a sum over the window
/// alone does not tell a bucket that was emptied just now from one that was full before. The level
/// that follows from them is wrong by what one slice refills at most.
using usage_slices = std::array<double, 16>;

using workspace_usage = std::unordered_map<workspace_id, usage_slices>;

/// @brief Sets what is left in each bucket from what was used lately, wherever it was granted.
///
/// Answers the loss of the instance that counted: the next one goes on from what is known.
/// @param used      units used in the past `window`; workspaces left out used none
/// @param at_least  part of each bucket that is there in any case
void resume(quota_table& target, const workspace_usage& used, duration window, double at_least,
            time_point now);

/// @brief Units that requests used in the past window.
class usage_window {
public:
    explicit usage_window(duration window) : window_(window) {}
    void add(workspace_id workspace, std::uint32_t units, time_point now);
    [[nodiscard]] workspace_usage used(time_point now);

private:
    struct use {
        time_point at;
        workspace_id workspace;
        std::uint32_t units{};
    };
    duration window_;
    std::deque<use> uses_;
};

/// @brief Gives units back for a request that was not run.
void give_back(quota_table& target, workspace_id workspace, std::uint32_t units);

} // namespace tarragonspar::admission
