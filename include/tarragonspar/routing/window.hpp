#pragma once

#include <cstdint>

#include "tarragonspar/types/units.hpp"

namespace tarragonspar::routing {

/// @brief Limits of a window.
struct window_options {
    double initial{8.0};
    double min{1.0};
    double max{256.0};
    duration decode_target{std::chrono::milliseconds{33}}; ///< wanted time between two tokens
};

/// @brief How many requests to have in flight on an engine whose batch size is not known.
///
/// Rises by one for each full round of first tokens that came as predicted while the window was
/// full; falls when first tokens come much later than predicted or tokens come too slowly, at most
/// once per round trip, so that one congested moment is not counted many times.
struct window {
    window_options options;
    double size{8.0};
    time_point last_decrease{};
};

/// @brief A window that starts at its initial size.
[[nodiscard]] window make_window(const window_options& options);

/// @brief A first token arrived.
/// @param was_full   the window was full when the request was dispatched
/// @param predicted  time to the first token that was predicted at the dispatch
/// @param measured   time that it took
void on_first_token(window& target, bool was_full, duration predicted, duration measured,
                    time_point now);

/// @brief Tokens of one stream arrived with this mean interval.
void on_decode_interval(window& target, duration interval, std::uint32_t in_flight, time_point now);

/// @brief The server's own report shows requests waiting inside it.
/// @param age  time since the report was made; an old one is ignored
void on_reported_waiting(window& target, std::uint32_t waiting, duration age, time_point now);

/// @brief Whole requests that may be in flight.
[[nodiscard]] std::uint32_t capacity(const window& source);

/// @brief When to try a failing server again.
///
/// Opens after consecutive failures, then lets single trials through at growing intervals.
struct circuit_breaker {
    std::uint32_t consecutive_failures{};
    time_point open_until{};
    bool trial_running{false};
};

/// @brief A dispatch failed before or after its first byte.
void on_failure(circuit_breaker& target, time_point now);

/// @brief The server took no connection: opens at the first such failure.
void on_unreachable(circuit_breaker& target, time_point now);

/// @brief The server gave a whole answer.
void on_success(circuit_breaker& target);

/// @brief Whether the server may be given work now.
[[nodiscard]] bool allows(const circuit_breaker& source, time_point now);

/// @brief Whether the next dispatch is a trial of a server that failed before.
[[nodiscard]] bool is_on_trial(const circuit_breaker& source);

/// @brief Retries allowed in proportion to first attempts, so that they can't feed an overload.
struct retry_budget {
    double tokens{10.0};
};

/// @brief Credits the budget for a first attempt.
void on_first_attempt(retry_budget& target);

/// @brief Takes one retry out of the budget.
/// @return false when it is empty
[[nodiscard]] bool try_retry(retry_budget& target);

} // namespace tarragonspar::routing
