#pragma once

#include <optional>

#include "tarragonspar/consensus/replica.hpp"

namespace tarragonspar::consensus::detail {

/// @brief Term of the entry at an index, also right at the snapshot's end.
/// @return nothing when the index is behind the snapshot or beyond the log
[[nodiscard]] std::optional<term_number> term_at(const replica& source, log_index index);

/// @brief The entry at an index; it must be in the log.
[[nodiscard]] const entry& entry_at(const replica& source, log_index index);

/// @brief The group in force with entries up to an index.
[[nodiscard]] group group_at(const replica& source, log_index index);

/// @brief Entries from an index on, at most `limit` of them.
[[nodiscard]] std::vector<entry> entries_from(const replica& source, log_index index,
                                              std::size_t limit);

/// @brief Whether replicas with the given property are a majority of the voters.
template <class Predicate>
bool is_quorum(const group& members, Predicate counts) {
    std::size_t count = 0;
    for (const auto id : members.voters) {
        count += counts(id) ? 1 : 0;
    }
    return count * 2 > members.voters.size();
}

/// @brief Whether a replica may vote.
[[nodiscard]] bool is_voter(const group& members, replica_id id);

/// @brief Whether a group follows from another by a change of at most one voter.
[[nodiscard]] bool is_small_step(const group& from, const group& to);

} // namespace tarragonspar::consensus::detail
