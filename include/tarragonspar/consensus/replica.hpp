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

/// @brief Times and sizes of a replica.
struct replica_options {
    duration election_min{std::chrono::milliseconds{900}};
    duration election_max{std::chrono::milliseconds{1800}};
    /// Wait of a replica that has just started. Short, since the group may have lost all its
    /// members at once; harmless, since a pre-vote unseats no leader that others hear.
    duration first_election_min{std::chrono::milliseconds{150}};
    duration first_election_max{std::chrono::milliseconds{600}};
    duration heartbeat{std::chrono::milliseconds{300}};
    std::size_t max_entries_per_message{64};
    std::size_t snapshot_chunk_bytes{64 * 1024};
};

/// What a replica does at present.
enum class role : std::uint8_t { follower, pre_candidate, candidate, leader };

/// @brief What must survive a restart, as read from the disk.
struct durable_state {
    term_number term;
    std::optional<replica_id> voted_for;
    snapshot_mark snapshot;
    std::string snapshot_data;
    std::vector<entry> entries; ///< behind the snapshot
};

/// @brief What a leader knows about another replica.
struct follower_progress {
    log_index next;
    log_index match;
    std::uint64_t acknowledged_round{};
    time_point heard{};
    std::optional<std::uint64_t> snapshot_offset; ///< while a snapshot is being sent
};

/// @brief A read that waits until the leader has proved to be one.
struct pending_read {
    std::uint64_t token{};
    std::uint64_t round{};
    log_index index;
};

/// @brief State of one replica. `step` is the only way to change it.
struct replica {
    replica_options options;
    replica_id self;
    // Durable.
    term_number term;
    std::optional<replica_id> voted_for;
    snapshot_mark snapshot;
    std::string snapshot_data;
    std::deque<entry> entries;
    // Volatile.
    role current{role::follower};
    std::optional<replica_id> leader;
    log_index commit;
    time_point election_due{};
    time_point heartbeat_due{};
    time_point leader_heard{};
    std::set<replica_id> votes;
    std::map<replica_id, follower_progress> followers;
    std::uint64_t round{};
    std::vector<pending_read> reads;
    std::string incoming_snapshot; ///< parts received so far
    snapshot_mark incoming_mark;
};

// Events.

struct received {
    message what;
};
struct ticked {};
/// A command for the state machine, if this replica leads.
struct propose {
    std::uint64_t token{};
    std::string data;
};
/// A change of the group by one replica, if this replica leads.
struct propose_group {
    std::uint64_t token{};
    group next;
};
/// A read that must see everything accepted before it.
struct read_request {
    std::uint64_t token{};
};
/// The state machine wrote a snapshot of everything up to an index.
struct compacted {
    log_index index;
    std::string data;
};

using event = std::variant<received, ticked, propose, propose_group, read_request, compacted>;

// Effects, to be carried out in order. Whatever is to be stored must be synced before any later
// message is sent or any later entry is applied.

struct store_term {
    term_number term;
    std::optional<replica_id> voted_for;
};
/// Entries from `from` on are dropped, then `added` are appended.
struct store_entries {
    log_index from;
    std::vector<entry> added;
};
struct store_snapshot {
    snapshot_mark mark;
    std::string data;
};
struct send {
    message what;
};
/// An entry is committed; delivered once each, in order, by a running replica.
struct apply {
    entry what;
};
/// The state machine is to be replaced by a snapshot.
struct restore {
    snapshot_mark mark;
    std::string data;
};
/// A proposal was put into the log at an index, or refused because this replica does not lead.
struct proposed {
    std::uint64_t token{};
    std::optional<log_index> index;
    term_number term;
};
/// A read may be served once the state machine has applied an index; nothing: not leading.
struct read_ready {
    std::uint64_t token{};
    std::optional<log_index> index;
};
/// This replica began or ceased to lead.
struct role_changed {
    role now{role::follower};
    term_number term;
};

using effect = std::variant<store_term, store_entries, store_snapshot, send, apply, restore,
                            proposed, read_ready, role_changed>;

/// @brief A replica as it comes up.
///
/// Committed entries are delivered again from behind the snapshot on.
[[nodiscard]] replica make_replica(const replica_options& options, replica_id self,
                                   durable_state stored, time_point now, std::mt19937_64& random);

/// @brief Applies an event.
/// @par Errors  none; messages that make no sense in the present state are ignored
void step(replica& target, const event& what, time_point now, std::mt19937_64& random,
          std::vector<effect>& effects);

/// @brief The group in force: the newest in the log, committed or not.
[[nodiscard]] group current_group(const replica& source);

[[nodiscard]] log_index last_index(const replica& source);

/// @brief Whether a change of the group is in the log and not yet committed.
[[nodiscard]] bool is_changing_group(const replica& source);

/// @brief Whether a learner holds everything that is committed.
[[nodiscard]] bool is_caught_up(const replica& source, replica_id learner);

} // namespace tarragonspar::consensus
