#pragma once

#include <map>
#include <optional>
#include <vector>

#include "tarragonspar/consensus/replica.hpp"

/// @brief Decides who joins an open control group and which of its members leave it.
namespace tarragonspar::control {

/// @brief Limits on how the members of an open group change.
struct group_change_options {
    /// Time without contact after which a member is removed. Longer than the longest outage that a
    /// deployment recovers from by itself, so that restarts and network cuts do not change the
    /// group.
    duration absent_timeout{std::chrono::seconds{8}};
    /// The same for a voter that another one has joined in place of. Shorter than the time after
    /// which the loss of a further instance must be survived (4 s after the successor's start).
    duration replaced_timeout{std::chrono::seconds{3}};
    /// A member that was in contact within this time is connected: three heartbeats.
    duration max_contact_age{std::chrono::seconds{1}};
    /// Time after an election before the new leader removes a member: members that live have
    /// answered by then, as three heartbeats were sent.
    duration takeover_grace{std::chrono::milliseconds{900}};
    /// No removal leaves fewer voters: two of three are still a majority.
    std::size_t min_voters{3};
};

/// @brief A leader's record of joins and of voters that it hears of through others.
struct group_changes {
    consensus::term_number term; ///< the record is valid in this term
    time_point leads_since{};
    /// Times at which learners were promoted that have not yet replaced an absent one; ascending.
    std::vector<time_point> joins;
    /// Voters that other instances are in contact with, although this leader may not be.
    std::map<consensus::replica_id, time_point> heard_of;
};

/// Why no member is removed at present.
enum class removal_state : std::uint8_t {
    none_absent,   ///< all members are connected
    not_leader,    ///< only a leader that has committed in its term removes members
    changing,      ///< another change of the group is not committed yet
    just_elected,  ///< absent members may not have had the time to answer this leader
    recently_seen, ///< the absence has not lasted long enough
    too_few,       ///< too few voters would remain
    no_majority,   ///< the connected voters would not be a majority of the rest
    due            ///< a member is to be removed now
};

/// @brief Whether a member is to be removed.
struct removal {
    removal_state state{removal_state::none_absent};
    /// The member to be removed; if there is none, the one that is absent longest.
    std::optional<consensus::replica_id> member;
    duration absent_for{};
    std::optional<consensus::group> next; ///< the group without it, if it is to be removed now
};

/// @brief How long ago a leader was last in contact with a member.
struct member_contact {
    consensus::replica_id id;
    bool is_voter{false};
    duration age{};
};

/// @brief Name of a state, as in logs and the status.
[[nodiscard]] const char* to_string(removal_state state);

/// @brief Starts a new record when a replica has become the leader of a new term.
void update_term(group_changes& record, const consensus::replica& leader, time_point now);

/// @brief Records that a voter which the leader has no contact with asked to join.
void record_heard_of(group_changes& record, consensus::replica_id voter, time_point now);

/// @brief Returns the contacts of all other members, without the leader itself.
[[nodiscard]] std::vector<member_contact>
contacts_of(const group_changes& record, const consensus::replica& leader, time_point now);

/// @brief Decides whether a member is removed now.
///
/// A second absent member does not delay the decision. The connected voters must be a majority of
/// those that remain, and the group in force commits the change, so a minority that is cut off
/// removes nobody.
[[nodiscard]] removal next_removal(const group_changes& record, const consensus::replica& leader,
                                   const group_change_options& options, time_point now);

/// @brief Records a removal that was proposed.
void record_removal(group_changes& record, const removal& proposed, time_point now);

/// @brief Returns the group with a joining replica as a learner. An older identity of its instance
/// leaves the group.
/// @return nothing if it is a member already, or no change is possible at present
[[nodiscard]] std::optional<consensus::group> add_learner(const consensus::replica& leader,
                                                          consensus::replica_id joining);

/// @brief A learner that becomes a voter.
struct promotion {
    consensus::replica_id member;
    consensus::group next;
};

/// @brief Returns the promotion of a connected learner that has caught up, if there is one and a
/// change is possible at present.
[[nodiscard]] std::optional<promotion> next_promotion(const group_changes& record,
                                                      const consensus::replica& leader,
                                                      const group_change_options& options,
                                                      time_point now);

/// @brief Records a promotion that was proposed.
void record_promotion(group_changes& record, time_point now);

} // namespace tarragonspar::control
