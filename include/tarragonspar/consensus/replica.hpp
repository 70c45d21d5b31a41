#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include "tarragonspar/consensus/types.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::consensus {

/// @brief Timeouts and size limits of a replica.
struct replica_options {
    duration election_min{std::chrono::milliseconds{900}};
    duration election_max{std::chrono::milliseconds{1800}};
    /// Election timeout of a replica that has just started. It is short because the whole group may
    /// have restarted at once, and safe because a pre-vote does not disrupt a leader that others
    /// still reach.
    duration first_election_min{std::chrono::milliseconds{150}};
    duration first_election_max{std::chrono::milliseconds{600}};
    duration heartbeat{std::chrono::milliseconds{300}};
    std::size_t max_entries_per_message{64};
    /// Bytes of entries in a message, unless a single entry is larger. A message that takes longer
    /// than a call between instances may take is dropped and sent again as a whole.
    std::size_t max_bytes_per_message{512 * 1024};
    std::size_t snapshot_chunk_bytes{64 * 1024};
};

/// Role of a replica in the current term.
enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

/// @brief State that must survive a restart, as read from the disk.
struct durable_state {
    term_number term;
    std::optional<replica_id> voted_for;
    snapshot_metadata snapshot;
    std::string snapshot_data;
    std::vector<entry> entries; ///< after the snapshot
};

/// @brief A leader's replication state for another replica.
struct follower_progress {
    log_index next;
    log_index match;
    std::uint64_t acknowledged_round{};
    /// When the newest round was sent that this replica has acknowledged.
    time_point acknowledged_sent_at{time_point::min()};
    time_point last_seen{};
    std::optional<std::uint64_t> snapshot_offset; ///< set while a snapshot is being sent
};

/// @brief A read that waits until a quorum has confirmed the leader.
struct pending_read {
    std::uint64_t token{};
    std::uint64_t round{};
    log_index index;
};

/// @brief A round of messages that a leader sent to all other replicas.
struct sent_round {
    std::uint64_t number{};
    time_point sent_at{};
};

/// @brief State of one replica, changed only by `step`.
struct replica {
    replica_options options;
    replica_id self;
    // Durable.
    term_number term;
    std::optional<replica_id> voted_for;
    snapshot_metadata snapshot;
    std::string snapshot_data;
    std::deque<entry> entries;
    // Volatile.
    role current{role::follower};
    std::optional<replica_id> leader;
    log_index commit;
    time_point election_due{};
    time_point heartbeat_due{};
    time_point leader_last_seen{};
    std::optional<replica_id> last_leader; ///< the one of `leader_last_seen`
    /// Last contact of a leader with members that it reported as absent.
    std::map<replica_id, time_point> absent;
    std::set<replica_id> votes;
    std::map<replica_id, follower_progress> followers;
    std::uint64_t round{};
    std::deque<sent_round> rounds; ///< a leader's, without gaps; those that may extend its lease
    std::vector<pending_read> reads;
    std::string incoming_snapshot; ///< chunks received so far
    snapshot_metadata incoming_metadata;
};

// Events.

struct received {
    message what;
};
struct ticked {};
/// Proposes a command for the state machine; accepted only by the leader.
struct propose {
    std::uint64_t token{};
    std::string data;
};
/// Proposes a group that differs by at most one voter; accepted only by the leader.
struct propose_group {
    std::uint64_t token{};
    group next;
};
/// Requests a linearizable read, which must see everything accepted before it.
struct read_request {
    std::uint64_t token{};
};
/// Reports a snapshot of the state machine that covers all entries up to `index`.
struct compacted {
    log_index index;
    std::string data;
};

using event = std::variant<received, ticked, propose, propose_group, read_request, compacted>;

// Effects, to be executed in order. State to be stored must be synced before any later message is
// sent or any later entry is applied.

struct store_term {
    term_number term;
    std::optional<replica_id> voted_for;
};
/// Truncates the log from index `from` on, then appends `added`.
struct store_entries {
    log_index from;
    std::vector<entry> added;
};
struct store_snapshot {
    snapshot_metadata metadata;
    std::string data;
};
struct send {
    message what;
};
/// Applies a committed entry; emitted once per entry and in order while the replica runs.
struct apply {
    entry what;
};
/// Replaces the state machine by a snapshot.
struct restore {
    snapshot_metadata metadata;
    std::string data;
};
/// A proposal was appended to the log at `index`. No index: it was refused, because this replica
/// does not lead or the change of the group is not allowed at present.
struct proposed {
    std::uint64_t token{};
    std::optional<log_index> index;
    term_number term;
};
/// A read may be served once the state machine has applied `index`. No index: this replica does not
/// lead or could not confirm that it leads.
struct read_ready {
    std::uint64_t token{};
    std::optional<log_index> index;
};
/// This replica became the leader, or stopped leading and is a follower.
struct role_changed {
    role now{role::follower};
    term_number term;
};

using effect = std::variant<store_term, store_entries, store_snapshot, send, apply, restore,
                            proposed, read_ready, role_changed>;

/// @brief Creates a replica from its durable state.
///
/// Committed entries after the snapshot are applied again.
[[nodiscard]] replica make_replica(const replica_options& options, replica_id self,
                                   durable_state stored, time_point now, std::mt19937_64& random);

/// @brief Applies an event to a replica and appends the resulting effects.
/// @par Errors  none; messages that are not valid in the current state are ignored
void step(replica& target, const event& input, time_point now, std::mt19937_64& random,
          std::vector<effect>& effects);

/// @brief Returns the group in force: the newest in the log, committed or not.
[[nodiscard]] group current_group(const replica& source);

[[nodiscard]] log_index last_index(const replica& source);

/// @brief Whether an entry of the current term is committed. A new leader's state machine may lack
/// accepted commands until then.
[[nodiscard]] bool has_committed_in_term(const replica& source);

/// @brief Whether the log holds an uncommitted change of the group.
[[nodiscard]] bool is_changing_group(const replica& source);

/// @brief Whether a learner has replicated all committed entries.
[[nodiscard]] bool is_caught_up(const replica& source, replica_id learner);

/// @brief Returns the time before which no other replica can have been elected, as far as a leader
/// knows: voters that have heard of a leader vote for no other within `election_min`.
///
/// A voter that restarts forgets when it heard of the leader, so the lease bounds how long a former
/// leader goes on; it does not make reads linearizable.
/// @return `std::nullopt` for a replica that does not lead or has not committed in its term;
/// `time_point::max()` for the only voter
[[nodiscard]] std::optional<time_point> lead_lease_end(const replica& source);

} // namespace tarragonspar::consensus
