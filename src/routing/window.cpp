#include "tarragonspar/routing/window.hpp"

#include <algorithm>

namespace tarragonspar::routing {

namespace {

using std::chrono::milliseconds;

/// Multiple of the prediction above which a first token indicates congestion.
constexpr double late_factor = 2.0;
/// Delay beyond the prediction below which a first token never indicates congestion.
constexpr duration min_lateness = milliseconds{100};
/// Factor applied to the window when the engine is congested.
constexpr double congestion_factor = 0.85;
/// Factor applied to the window when tokens arrive too slowly.
constexpr double slow_decode_factor = 0.93;
/// Shortest time between two decreases.
constexpr duration decrease_interval = milliseconds{400};
/// Age above which a load report is ignored.
constexpr duration max_report_age = milliseconds{1500};

/// Consecutive failures that open the breaker.
constexpr std::uint32_t failures_to_open = 2;
/// Initial backoff of an open breaker; doubles with each failed trial.
constexpr duration initial_backoff = milliseconds{500};
/// Maximum backoff.
constexpr duration max_backoff = milliseconds{15'000};
/// Number of doublings after which the backoff no longer grows.
constexpr std::uint32_t max_doublings = 5;
/// Time after the end of a backoff for which failures are remembered: four times the longest
/// backoff, so that several trials fit into it.
constexpr duration failure_memory = 4 * max_backoff;

/// Retries credited for one first attempt.
constexpr double retry_share = 0.1;
/// Maximum number of retries that can accumulate.
constexpr double max_retry_tokens = 20.0;

void decrease(window& target, double factor, time_point now) {
    if (now - target.last_decrease < decrease_interval) {
        return;
    }
    target.size = std::max(target.options.min, target.size * factor);
    target.last_decrease = now;
}

} // namespace

window make_window(const window_options& options) {
    return {.options = options, .size = options.initial, .last_decrease = {}};
}

void on_first_token(window& target, bool was_full, duration predicted, duration measured,
                    time_point now) {
    const auto deadline =
        std::max(from_seconds(to_seconds(predicted) * late_factor), predicted + min_lateness);
    if (measured > deadline) {
        if (was_full) {
            decrease(target, congestion_factor, now);
        }
        return;
    }
    if (was_full) {
        target.size = std::min(target.options.max, target.size + 1.0 / target.size);
    }
}

void on_decode_interval(window& target, duration interval, std::uint32_t in_flight,
                        time_point now) {
    const auto busy = in_flight + 1 >= capacity(target);
    if (interval > target.options.decode_target && in_flight > 1 && busy) {
        decrease(target, slow_decode_factor, now);
    }
}

void on_reported_waiting(window& target, std::uint32_t waiting, duration age, time_point now) {
    if (waiting > 0 && age < max_report_age) {
        decrease(target, congestion_factor, now);
    }
}

std::uint32_t capacity(const window& source) {
    return static_cast<std::uint32_t>(source.size);
}

void on_failure(circuit_breaker& target, time_point now) {
    ++target.consecutive_failures;
    target.trial_running = false;
    if (target.consecutive_failures < failures_to_open) {
        return;
    }
    const auto doublings = std::min(target.consecutive_failures - failures_to_open, max_doublings);
    target.open_until = now + std::min(max_backoff, initial_backoff * (1U << doublings));
}

void on_unreachable(circuit_breaker& target, time_point now) {
    target.consecutive_failures = std::max(target.consecutive_failures, failures_to_open - 1);
    on_failure(target, now);
}

void on_success(circuit_breaker& target) {
    target = {};
}

void expire_failures(circuit_breaker& target, time_point now) {
    if (is_half_open(target) && !target.trial_running &&
        now >= target.open_until + failure_memory) {
        target.consecutive_failures = failures_to_open - 1;
    }
}

bool allows(const circuit_breaker& source, time_point now) {
    if (source.consecutive_failures < failures_to_open) {
        return true;
    }
    return now >= source.open_until && !source.trial_running;
}

bool is_half_open(const circuit_breaker& source) {
    return source.consecutive_failures >= failures_to_open;
}

void on_first_attempt(retry_budget& target) {
    target.tokens = std::min(max_retry_tokens, target.tokens + retry_share);
}

bool try_retry(retry_budget& target) {
    if (target.tokens < 1.0) {
        return false;
    }
    target.tokens -= 1.0;
    return true;
}

} // namespace tarragonspar::routing
