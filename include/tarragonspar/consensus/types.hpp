#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/types/ids.hpp"

/// @brief Agreement on a log among at most seven replicas, without I/O.
namespace tarragonspar::consensus {

/// Identifies a replica and its disk: a replica that lost its disk comes back under a new id.
using replica_id = strong_id<struct replica_tag, std::uint64_t>;
/// Number of a term; at most one leader stands in each.
using term_number = strong_id<struct term_tag, std::uint64_t>;
/// Position in the log; the first entry has 1.
using log_index = strong_id<struct log_index_tag, std::uint64_t>;

/// @brief The replica id of an instance and a disk.
[[nodiscard]] constexpr replica_id make_replica_id(instance_id instance,
                                                   std::uint32_t disk) noexcept {
    return {(std::uint64_t{instance.value} << 32U) | disk};
}

/// @brief The instance that a replica runs in.
[[nodiscard]] constexpr instance_id instance_of(replica_id id) noexcept {
    return {static_cast<std::uint32_t>(id.value >> 32U)};
}

/// @brief Who takes part.
struct group {
    std::vector<replica_id> voters;   ///< sorted
    std::vector<replica_id> learners; ///< sorted; they receive the log and have no vote
    friend bool operator==(const group&, const group&) = default;
};

/// What an entry of the log means.
enum class entry_kind : std::uint8_t {
    command, ///< for the state machine
    members, ///< a new group; in force as soon as it stands in the log
    barrier  ///< written by a new leader to commit what came before
};

/// @brief An entry of the log.
struct entry {
    term_number term;
    log_index index;
    entry_kind kind{entry_kind::command};
    std::string data;
    friend bool operator==(const entry&, const entry&) = default;
};

/// @brief What a snapshot replaces.
struct snapshot_mark {
    log_index index;
    term_number term;
    group members;
    friend bool operator==(const snapshot_mark&, const snapshot_mark&) = default;
};

/// A candidate asks for a vote; a pre-vote changes nothing at the voter.
struct vote_request {
    log_index last_index;
    term_number last_term;
    bool pre_vote{false};
};

struct vote_reply {
    bool granted{false};
    bool pre_vote{false};
};

/// The leader sends entries, or none as a heartbeat.
struct append_request {
    log_index previous_index;
    term_number previous_term;
    std::vector<entry> entries;
    log_index commit;
    std::uint64_t round{}; ///< number of the leader's round of heartbeats
};

struct append_reply {
    bool success{false};
    log_index match;       ///< if successful: last entry known to be equal; else: where to go on
    std::uint64_t round{}; ///< of the request
};

/// A part of a snapshot.
struct snapshot_chunk {
    snapshot_mark mark;
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

/// @brief Binary form of messages, for the protocol between instances.
[[nodiscard]] std::string encode(const std::vector<message>& messages);

/// @brief Reads what `encode` wrote.
/// @return nothing at all when the bytes are not of that form
[[nodiscard]] std::vector<message> decode(const std::string& bytes);

/// @brief Binary form of an entry and of a snapshot mark, for files.
[[nodiscard]] std::string encode(const entry& value);
[[nodiscard]] entry decode_entry(const std::string& bytes);
[[nodiscard]] std::string encode(const group& value);
[[nodiscard]] group decode_group(const std::string& bytes);

} // namespace tarragonspar::consensus
