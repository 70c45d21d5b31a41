#pragma once

#include <cstddef>
#include <vector>

#include "tarragonspar/dispatch/crash_suspects.hpp"

namespace tarragonspar::dispatch::detail {

/// Crashes of one server in the evidence of others that are closer together are one: it takes
/// seconds to start again, and the ages in messages are inexact.
inline constexpr duration same_crash = std::chrono::seconds{3};

/// Separate crashes after which a part is quarantined; two of the five that users tolerate are left
/// for requests that were sent before the first crash was known.
inline constexpr std::size_t crashes_to_quarantine = 3;
/// Servers that ended beside the crashes without the part; each makes one more crash necessary.
inline constexpr std::size_t max_unrelated_ends = 2;
/// Time without a crash after which a suspicion ends, counted from the end of a quarantine.
inline constexpr duration suspicion_lifetime = std::chrono::minutes{10};

/// @brief Counts the crashes that are separate events.
/// @param with_unconfirmed  also count losses whose server may have ended
[[nodiscard]] std::size_t count_separate(const std::vector<server_crash>& crashes,
                                         bool with_unconfirmed = false);

/// @brief Adds a crash in order of time unless it is known. A known one that was not confirmed is
/// replaced by one that is.
/// @param since  a crash of the same server that was noticed later than this is the same one
void add_crash(std::vector<server_crash>& target, const server_crash& crash, time_point since);

/// @brief Returns the time of the newest crash, or zero.
[[nodiscard]] time_point last_crash(const std::vector<server_crash>& crashes);

} // namespace tarragonspar::dispatch::detail
