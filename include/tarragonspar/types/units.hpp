#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace tarragonspar {

/// @brief Clock of the decision code. It has no `now()`: the caller passes the time in, from the
/// steady clock in daemons and from a counter in tests and experiments.
struct logical_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<logical_clock>;
    static constexpr bool is_steady = true;
};

using duration = logical_clock::duration;
using time_point = logical_clock::time_point;

/// A number of tokens of a prompt or an answer.
struct token_count {
    std::uint32_t value{};
    friend constexpr auto operator<=>(const token_count&, const token_count&) = default;
};

/// Urgency class of a request; 0 is the most urgent.
struct tier {
    std::uint8_t value{};
    friend constexpr auto operator<=>(const tier&, const tier&) = default;
};

/// Number of tiers that a deployment distinguishes.
inline constexpr std::uint8_t tier_count = 4;

/// Urgency of a kind of request among those of one tier; 0 is the most urgent.
struct kind_rank {
    std::uint8_t value{};
    friend constexpr auto operator<=>(const kind_rank&, const kind_rank&) = default;
};

/// Number of ranks within a tier.
inline constexpr std::uint8_t rank_count = 4;

/// Tokens in one block of the prefix cache.
inline constexpr std::uint32_t block_tokens = 64;

/// Bytes of text that count as one token where no tokenizer is available.
inline constexpr std::uint32_t bytes_per_token = 4;

/// @brief Seconds as a floating-point number, for rates and predictions.
[[nodiscard]] constexpr double to_seconds(duration value) noexcept {
    return std::chrono::duration<double>(value).count();
}

/// @brief Converts seconds to a duration, rounded towards zero to whole microseconds.
[[nodiscard]] constexpr duration from_seconds(double seconds) noexcept {
    return duration{static_cast<std::int64_t>(seconds * 1e6)};
}

/// @brief Milliseconds, rounded towards zero, for logs and headers.
[[nodiscard]] constexpr std::int64_t to_milliseconds(duration value) noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace tarragonspar
