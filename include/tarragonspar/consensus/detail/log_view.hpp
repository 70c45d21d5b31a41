#pragma once

#include <optional>

#include "tarragonspar/consensus/replica.hpp"

namespace tarragonspar::consensus::detail {

/// @brief Returns the term of the entry at an index, including the last index of the snapshot.
/// @return `std::nullopt` if the snapshot covers a later index or the log ends before this one
[[nodiscard]] std::optional<term_number> term_at(const replica& source, log_index index);

/// @brief Returns the entry at an index, which must be in the log.
[[nodiscard]] const entry& entry_at(const replica& source, log_index index);

/// @brief Returns the group in force given the entries up to an index.
[[nodiscard]] group group_at(const replica& source, log_index index);

/// @brief Returns the entries for one message, starting at an index: as many as its limits allow,
/// but at least one if there is any.
[[nodiscard]] std::vector<entry> entries_for_message(const replica& source, log_index index);

/// @brief Whether the voters that satisfy a predicate are a majority.
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

/// @brief Whether two groups differ by at most one voter and the next one has a voter.
[[nodiscard]] bool is_single_voter_change(const group& from, const group& to);

} // namespace tarragonspar::consensus::detail
