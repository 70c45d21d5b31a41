#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "tarragonspar/consensus/types.hpp"

namespace tarragonspar::control {

/// Disk number of a founding replica's seat.
constexpr std::uint32_t founding_disk = 0;

/// @brief What another replica of a closed group reports about itself.
struct peer_report {
    consensus::term_number term;       ///< above zero: an election was held
    std::optional<std::uint32_t> disk; ///< nothing: it has no identity yet
};

/// Next step of a replica that does not run yet.
enum class founding_step : std::uint8_t {
    wait,      ///< ask again
    take_seat, ///< store the founding identity; don't vote yet
    join,      ///< draw a new identity, since a group exists
    run        ///< start the replica under its founding identity
};

/// @brief Decides how a replica without a log founds its group or joins it.
///
/// A seat is taken only while every peer reports that no group exists, so nobody has voted under
/// it. The first election is held only once every seat is taken: a voter without a disk would never
/// answer, and the first lost disk would be the second missing voter.
/// @param has_seat  this replica has stored its founding identity
/// @param peers     number of other replicas
/// @param answers   reports of those that answered
[[nodiscard]] founding_step next_founding_step(bool has_seat, std::size_t peers,
                                               const std::vector<peer_report>& answers);

} // namespace tarragonspar::control
