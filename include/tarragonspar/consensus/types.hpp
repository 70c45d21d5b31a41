#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

/// @brief Raft consensus on a replicated log among at most seven replicas, without I/O.
namespace tarragonspar::consensus {

/// Identifies a replica and its disk: a replica that lost its disk rejoins under a new id.
using replica_id = strong_id<struct replica_tag, std::uint64_t>;
/// Number of a term; each term has at most one leader.
using term_number = strong_id<struct term_tag, std::uint64_t>;
/// Position in the log; the first entry has index 1.
using log_index = strong_id<struct log_index_tag, std::uint64_t>;

/// @brief Builds the replica id of an instance and a disk.
[[nodiscard]] constexpr replica_id make_replica_id(instance_id instance,
                                                   std::uint32_t disk) noexcept {
    return {(std::uint64_t{instance.value} << 32U) | disk};
}

/// @brief The instance that a replica runs in.
[[nodiscard]] constexpr instance_id instance_of(replica_id id) noexcept {
    return {static_cast<std::uint32_t>(id.value >> 32U)};
}

/// @brief Members of a consensus group.
struct group {
    std::vector<replica_id> voters;   ///< sorted
    std::vector<replica_id> learners; ///< sorted; they receive the log but do not vote
    friend bool operator==(const group&, const group&) = default;
};

/// Kind of a log entry.
enum class entry_kind : std::uint8_t {
    command, ///< for the state machine
    members, ///< a new group; in force as soon as it is in the log
    barrier  ///< appended by a new leader to commit the entries of earlier terms
};

/// @brief A log entry.
struct entry {
    term_number term;
    log_index index;
    entry_kind kind{entry_kind::command};
    std::string data;
    friend bool operator==(const entry&, const entry&) = default;
};

/// @brief Position and group at the last log entry that a snapshot covers.
struct snapshot_metadata {
    log_index index;
    term_number term;
    group members;
    friend bool operator==(const snapshot_metadata&, const snapshot_metadata&) = default;
};

/// Sent by a candidate. A pre-vote changes no state at the voter.
struct vote_request {
    log_index last_index;
    term_number last_term;
    bool pre_vote{false};
};

struct vote_reply {
    bool granted{false};
    bool pre_vote{false};
};

/// @brief A member that the leader has had no contact with for some time.
struct member_absence {
    replica_id member;
    duration age{}; ///< since the last contact, when the message was sent
    friend bool operator==(const member_absence&, const member_absence&) = default;
};

/// Sent by the leader; without entries it is a heartbeat.
struct append_request {
    log_index previous_index;
    term_number previous_term;
    std::vector<entry> entries;
    log_index commit;
    std::uint64_t round{}; ///< number of the leader's round of heartbeats
    /// Members without contact for longer than the shortest election timeout. The next leader
    /// starts from these ages instead of from its election.
    std::vector<member_absence> absent;
};

struct append_reply {
    bool success{false};
    log_index match;       ///< on success: last matching entry; otherwise a hint where to continue
    std::uint64_t round{}; ///< of the request
};

/// One chunk of a snapshot.
struct snapshot_chunk {
    snapshot_metadata metadata;
    std::uint64_t offset{};
    std::uint64_t total{};
    std::string data;
    std::uint64_t round{};
};

struct snapshot_reply {
    log_index index;
    std::uint64_t next_offset{};
    std::uint64_t round{};
};

using message_body = std::variant<vote_request, vote_reply, append_request, append_reply,
                                  snapshot_chunk, snapshot_reply>;

/// @brief A message between replicas.
struct message {
    replica_id from;
    replica_id to;
    term_number term;
    message_body body;
};

/// @brief Encodes messages for the protocol between instances.
[[nodiscard]] std::string encode(const std::vector<message>& messages);

/// @brief Decodes messages written by `encode`.
/// @return an empty list if any part of `bytes` is malformed
[[nodiscard]] std::vector<message> decode(const std::string& bytes);

/// @brief Binary form of a log entry and of a group, for files.
/// @par Errors  the decoders throw `nlohmann::json::exception` on malformed input
[[nodiscard]] std::string encode(const entry& value);
[[nodiscard]] entry decode_entry(const std::string& bytes);
[[nodiscard]] std::string encode(const group& value);
[[nodiscard]] group decode_group(const std::string& bytes);

} // namespace tarragonspar::consensus
