#pragma once

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

/// @brief Membership by gossip with incarnations and suspicion, as in SWIM, without I/O.
namespace tarragonspar::membership {

/// Status of an instance, in ascending precedence at equal versions.
enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

/// @brief A membership statement about an instance.
struct member {
    instance_id id;
    incarnation started_as;  ///< increases with every start of the process
    std::uint32_t version{}; ///< increased by the instance itself to refute a statement
    member_status status{member_status::alive};
    friend bool operator==(const member&, const member&) = default;
};

/// @brief Whether statement `a` overrules statement `b` about the same instance.
[[nodiscard]] bool overrules(const member& a, const member& b) noexcept;

/// @brief Parameters of a view.
struct view_options {
    duration suspicion_timeout{std::chrono::milliseconds{2500}}; ///< from suspect to dead
    /// Maximum number of statements per message.
    std::size_t max_updates{6};
    /// Transmissions of a statement per doubling of the group size.
    std::uint8_t retransmit_multiplier{3};
};

/// @brief The newest statement about a member, with its dissemination state.
struct member_state {
    member what;
    time_point changed{};
    std::uint8_t transmissions_left{};
    bool observed{false}; ///< a statement about it arrived since this process started
};

/// @brief One instance's view of the group.
struct view {
    view_options options;
    member self;
    std::map<instance_id, member_state> others;
    std::vector<instance_id> round; ///< peers still to be contacted in this round
};

/// @brief Creates a view in which the configured peers are suspect until a statement about them
/// arrives.
[[nodiscard]] view make_view(const view_options& options, const member& self,
                             const std::vector<instance_id>& peers, time_point now);

/// @brief Applies a statement about any instance.
///
/// A statement that contradicts the status of this instance itself is refuted by a higher version.
/// @return whether the view changed
bool apply_update(view& target, const member& statement, time_point now);

/// @brief Selects the next peer to contact: each peer once per round, in random order. Dead peers
/// are included so that a healed partition is detected.
/// @return `std::nullopt` if there are no peers
[[nodiscard]] std::optional<instance_id> next_target(view& target, std::mt19937_64& random);

/// @brief Called when neither the direct probe of a peer nor indirect probes were answered: an
/// alive peer becomes suspect, a leaving one dead.
void on_probe_timeout(view& target, instance_id peer, time_point now);

/// @brief Declares suspects dead once their suspicion timeout has expired.
/// @return whether the view changed
bool expire_suspects(view& target, time_point now);

/// @brief Returns the statements to send in one message, least transmitted first, and counts the
/// transmissions.
[[nodiscard]] std::vector<member> updates_to_send(view& target);

/// @brief Announces that this instance shuts down.
void announce_shutdown(view& target);

/// @brief Returns the instances that may be given work: alive or suspect ones, and this one unless
/// it shuts down.
[[nodiscard]] std::vector<instance_id> usable_instances(const view& source);

/// @brief Returns the incarnation of a peer, if a statement about it has arrived and it is not
/// dead.
[[nodiscard]] std::optional<incarnation> live_incarnation(const view& source, instance_id peer);

} // namespace tarragonspar::membership
