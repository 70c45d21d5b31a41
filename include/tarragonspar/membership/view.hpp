#pragma once

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

/// @brief Which instances are there: gossip with incarnations and suspicion, without I/O.
namespace tarragonspar::membership {

/// What is believed of an instance, in order of precedence at equal versions.
enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

/// @brief A statement about an instance.
struct member {
    instance_id id;
    incarnation started_as;  ///< rises with every start of the process
    std::uint32_t version{}; ///< raised by the instance itself to refute a suspicion
    member_status status{member_status::alive};
    friend bool operator==(const member&, const member&) = default;
};

/// @brief Whether statement `a` overrules statement `b` about the same instance.
[[nodiscard]] bool overrules(const member& a, const member& b) noexcept;

/// @brief Tunable parts of a view.
struct view_options {
    duration suspicion_timeout{std::chrono::milliseconds{2500}}; ///< from suspect to dead
    std::size_t max_updates{6};    ///< statements that ride on one message
    std::uint8_t spread_factor{3}; ///< times a news is passed on, per doubling of the members
};

/// @brief A member with what is known of when its state changed.
struct member_state {
    member what;
    time_point changed{};
    std::uint8_t spread_left{};
    bool heard{false}; ///< something was heard of it since this process started
};

/// @brief One instance's view of the others.
struct view {
    view_options options;
    member self;
    std::map<instance_id, member_state> others;
    std::vector<instance_id> round; ///< those still to be contacted in this round
};

/// @brief A view in which the configured peers are suspected until heard of.
[[nodiscard]] view make_view(const view_options& options, const member& self,
                             const std::vector<instance_id>& peers, time_point now);

/// @brief Takes a statement about any instance.
///
/// A statement against this instance itself is refuted by a higher version.
/// @return whether the view changed
bool take(view& target, const member& statement, time_point now);

/// @brief Whom to contact next: each peer once a round, in random order; dead ones too, so that a
/// healed partition is noticed.
[[nodiscard]] std::optional<instance_id> next_target(view& target, std::mt19937_64& random);

/// @brief Neither the peer nor others on its behalf answered.
void on_no_answer(view& target, instance_id peer, time_point now);

/// @brief Turns suspects into dead ones once their time is up.
/// @return whether the view changed
bool on_time(view& target, time_point now);

/// @brief The statements to send in one message, newest news first.
[[nodiscard]] std::vector<member> updates_to_send(view& target);

/// @brief Announces that this instance is leaving.
void announce_leaving(view& target);

/// @brief Instances that may be given work, this one included unless it is leaving.
[[nodiscard]] std::vector<instance_id> usable(const view& source);

/// @brief The incarnation of a peer, if it was heard of and is not dead.
[[nodiscard]] std::optional<incarnation> live_incarnation(const view& source, instance_id peer);

} // namespace tarragonspar::membership
