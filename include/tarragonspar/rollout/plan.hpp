#pragma once

#include <optional>

#include "tarragonspar/rollout/judge.hpp"
#include "tarragonspar/rollout/order.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::rollout {

/// @brief What the grant scheduler does with a service's requests.
enum class mode : std::uint8_t {
    baseline_only, ///< no grant to servers of the target
    canary,        ///< grants to the target as far as `exposure.hpp` allows
    target_only,   ///< no grant to servers of another version
};

struct plan_options {
    /// Part of the duration before which no completion begins, so that faults that begin later are
    /// seen. The rest is needed for the old servers' requests in flight, which take up to some
    /// seconds, and for the replication of the conclusion.
    double observe_share{0.75};
    /// Time before the deadline at which a completion is published, also if requests are still in
    /// flight at old servers. A majority confirms a command well within it.
    duration publish_margin{std::chrono::milliseconds{1'000}};
    /// Time before `publish_margin` after which no completion begins; at most a twentieth of the
    /// duration.
    duration min_drain{std::chrono::milliseconds{200}};
    /// Longest wait for the instances' confirmation that they send nothing more to the target.
    /// Instances report every 300 ms at most.
    duration confirm_timeout{std::chrono::milliseconds{700}};
    /// A suspicion that lasts this long, when the target has answered so often that the rollback
    /// bound (5 s after the 50th bad answer) may apply, ends the rollout: a bad version that stays
    /// just below a verdict must not get requests until the deadline.
    duration suspicion_timeout{std::chrono::milliseconds{3'000}};
    std::uint32_t suspicion_answers{50};
};

enum class stage : std::uint8_t { observing, completing, rolling_back, concluded };

/// @brief Progress of one rollout at the leader. Not replicated: a next leader observes again.
struct plan {
    plan_options options;
    duration length{};
    time_point started{};
    stage at{stage::observing};
    time_point stage_since{};
    std::optional<time_point> suspected_since; ///< without an interruption
    std::optional<phase> conclusion;           ///< set once; proposed again until it is replicated
};

/// @brief What the leader knows at one step.
struct plan_input {
    judgement judged;
    std::uint32_t old_in_flight{};     ///< requests at servers of other versions, all instances
    std::uint32_t target_servers{};    ///< servers of the target that are listed
    std::optional<mode> confirmed{};   ///< the mode that every instance in contact applies
    std::optional<phase> replicated{}; ///< a conclusion in the table, which is final
    bool abort{false};                 ///< an operator ends the rollout
};

struct plan_output {
    mode grants{mode::baseline_only};
    std::optional<phase> publish; ///< propose `conclude_rollout` with this phase
};

/// @brief Begins or, at a next leader, continues a rollout.
/// @param started  when the order was accepted, on the leader's clock; from `started_unix_ms`
[[nodiscard]] plan begin_plan(const record& of, time_point started,
                              const plan_options& options = {});

/// @brief Advances the rollout. Called at least every 100 ms and after each bad answer.
///
/// A rollback is never undone, and neither is a conclusion once it was returned for publication.
[[nodiscard]] plan_output step(plan& target, const plan_input& input, time_point now);

/// @brief What an instance without a leader does, by the last phase that it knows.
[[nodiscard]] mode mode_without_leader(phase known) noexcept;

} // namespace tarragonspar::rollout
