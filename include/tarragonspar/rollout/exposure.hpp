#pragma once

#include <cstdint>
#include <optional>

#include "tarragonspar/types/units.hpp"

namespace tarragonspar::rollout {

struct exposure_limits {
    double share{0.1};  ///< of all requests of the service since the order
    double slack{50.0}; ///< requests in addition
    /// Part of the slack that is used. The rest covers requests that an operator's own measurement
    /// assigns to another moment than the leader. Instances without a leader send nothing to the
    /// target, so no part is kept for them.
    double slack_part{0.9};
    /// Part of the duration over which the slack is released: until the first possible completion,
    /// so that a fault that begins late meets as many requests as one from the start.
    double slack_release{0.75};
    std::uint32_t first_in_flight{8}; ///< requests at the target before any answer is known
    /// Answers of the target, without a suspicion, after which requests that may not be repeated
    /// are sent to it as well.
    std::uint32_t answers_for_unrepeatable{15};
};

/// @brief Counts since the order, for export to a next leader.
struct exposure_counts {
    std::uint64_t requests{}; ///< that reached the service, each once however often it is tried
    std::uint64_t granted{};  ///< grants to servers of the target
    friend bool operator==(const exposure_counts&, const exposure_counts&) = default;
};

/// @brief How many requests the target got and may get. One leader grants for all instances.
struct exposure {
    exposure_limits limits;
    exposure_counts counts;
    std::uint64_t ended{}; ///< of the grants in `counts` that this leader issued, those that ended
    std::uint64_t issued{};
    /// Whether the counts go back to the order. If not, the slack is taken as used and only
    /// requests counted by this leader earn further grants.
    bool complete{false};
};

/// @brief State of the leader that accepted the order.
[[nodiscard]] exposure begin_exposure(const exposure_limits& limits);

/// @brief State of a later leader.
/// @param reported  sum over the reports of all instances that served requests since the order;
///                  nothing if any of them is missing. Without it, nothing is allowed until
///                  enough requests have passed: the former leader kept its bound for the requests
///                  that it counted, so the sum of both stays within the bound.
[[nodiscard]] exposure resume_exposure(const exposure_limits& limits,
                                       const std::optional<exposure_counts>& reported);

/// @brief Counts a request that reached the service, at its first attempt only.
void count_request(exposure& target);

/// @brief Counts a grant to a server of the target, whatever becomes of it.
void count_grant(exposure& target);

/// @brief Counts the end of a grant that this leader issued.
void count_end(exposure& target);

/// @brief What is known when one request asks for a server.
struct exposure_request {
    bool repeatable{false};   ///< safe, idempotent or resumable
    bool suspected{false};    ///< `judgement::suspected`
    std::uint32_t answers{0}; ///< `judgement::answers`
    duration elapsed{};       ///< since the order
    duration length{};        ///< of the rollout
};

/// @brief Whether the target may get one more request now.
[[nodiscard]] bool allows(const exposure& of, const exposure_request& asked);

/// @brief Position and number of the target's servers that get requests now.
struct server_range {
    std::uint32_t first{};
    std::uint32_t count{};
    [[nodiscard]] bool contains(std::uint32_t position, std::uint32_t servers) const {
        return servers > 0 && (position + servers - first % servers) % servers < count;
    }
};

/// @brief Chooses servers so that each is loaded as the old ones are; the range moves on in time.
///
/// At low rates only some of the servers are used in turn, since the speed of a server is known
/// only after several answers.
/// @param servers      of the target that are listed, ordered by id
/// @param target_rate  requests a second that the target got in the last two seconds
/// @param usual_rate   requests a second that a server of the old version gets when no rollout
///                     runs: all of the service in the last two seconds, divided by its old servers
[[nodiscard]] server_range servers_in_use(std::uint32_t servers, double target_rate,
                                          double usual_rate, duration elapsed, duration length);

} // namespace tarragonspar::rollout
