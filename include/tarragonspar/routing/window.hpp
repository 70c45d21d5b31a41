#pragma once

#include <cstdint>

#include "tarragonspar/types/units.hpp"

namespace tarragonspar::routing {

/// @brief Limits of a window.
struct window_options {
    double initial{8.0};
    double min{1.0};
    double max{256.0};
    duration decode_target{std::chrono::milliseconds{33}}; ///< target time between two tokens
};

/// @brief Adaptive limit on the requests in flight on an engine whose batch size is not known.
///
/// Grows by one for each full round of first tokens that arrive as predicted while the window is
/// full. Shrinks when first tokens arrive much later than predicted, when tokens arrive too slowly
/// or when requests wait inside the server, but at most once per minimum interval, so that one
/// period of congestion is not counted many times.
struct window {
    window_options options;
    double size{8.0};
    time_point last_decrease{};
};

/// @brief Returns a window of the initial size.
[[nodiscard]] window make_window(const window_options& options);

/// @brief Called when a first token arrived.
/// @param was_full   whether the window was full when the request was dispatched
/// @param predicted  time to the first token as predicted at the dispatch
/// @param measured   measured time to the first token
void on_first_token(window& target, bool was_full, duration predicted, duration measured,
                    time_point now);

/// @brief Called when tokens of one stream arrived with this mean interval.
void on_decode_interval(window& target, duration interval, std::uint32_t in_flight, time_point now);

/// @brief Called with the number of requests that wait inside the server according to its load
/// report.
/// @param age  time since the report was made; an old report is ignored
void on_reported_waiting(window& target, std::uint32_t waiting, duration age, time_point now);

/// @brief Returns the number of requests that may be in flight, rounded down.
[[nodiscard]] std::uint32_t capacity(const window& source);

/// @brief Circuit breaker of a backend server.
///
/// Opens after consecutive failures, then admits single trial requests at increasing intervals.
struct circuit_breaker {
    std::uint32_t consecutive_failures{};
    time_point open_until{};
    bool trial_running{false};
};

/// @brief Called when a dispatch failed, before or after its first byte.
void on_failure(circuit_breaker& target, time_point now);

/// @brief Called when the server accepted no connection; opens the breaker at the first such
/// failure.
void on_unreachable(circuit_breaker& target, time_point now);

/// @brief Called when the server sent a complete answer; closes the breaker.
void on_success(circuit_breaker& target);

/// @brief Closes a breaker that has admitted requests for a minute without getting one; the next
/// failure opens it again. Bounds the time for which a server stays out that gets no trial.
void expire_failures(circuit_breaker& target, time_point now);

/// @brief Whether requests may be dispatched to the server now.
[[nodiscard]] bool allows(const circuit_breaker& source, time_point now);

/// @brief Whether the next dispatch is a trial of a server that failed before.
[[nodiscard]] bool is_half_open(const circuit_breaker& source);

/// @brief Limits retries to a share of first attempts, so that they can't amplify an overload.
struct retry_budget {
    double tokens{10.0};
};

/// @brief Credits the budget for a first attempt.
void on_first_attempt(retry_budget& target);

/// @brief Withdraws one retry from the budget.
/// @return false if the budget is used up
[[nodiscard]] bool try_retry(retry_budget& target);

} // namespace tarragonspar::routing
