// Estimates of server speeds from running requests.

#include "tarragonspar/dispatch/detail/observation.hpp"

#include <algorithm>

namespace tarragonspar::dispatch::detail {

namespace {

/// Weight of a new sample in the expected speed of a hardware class.
constexpr double class_gain = 0.05;
/// Decode samples required before a server is compared with its hardware class.
constexpr std::uint32_t min_class_samples = 5;
/// Minimum number of tokens in a decode sample.
constexpr std::uint32_t decode_sample_tokens = 8;

void compare_with_class(scheduler& target, routing::server_model& server) {
    if (server.speed.decode_samples < min_class_samples) {
        return;
    }
    const auto own = server.speed.decode_seconds_per_token;
    auto& expected = target.class_speed.try_emplace(server.hardware_class, own).first->second;
    // Fast servers define the class, so slower samples raise the expected time at 1/50 of the gain.
    expected += (own < expected ? class_gain : class_gain / 50.0) * (own - expected);
    server.slowness = own / expected;
}

} // namespace

void observe_tokens(scheduler& target, running_item& item, token_count generated, time_point now) {
    const auto found = target.servers.find(item.server);
    if (found == target.servers.end() ||
        generated.value < item.observed_tokens.value + decode_sample_tokens) {
        return;
    }
    auto& server = found->second;
    const token_count new_tokens{generated.value - item.observed_tokens.value};
    const auto elapsed = now - item.observed_at;
    routing::observe_decode(server.speed, new_tokens, elapsed);
    routing::on_decode_interval(server.in_flight_window, elapsed / new_tokens.value,
                                server.in_flight, now);
    compare_with_class(target, server);
    item.observed_tokens = generated;
    item.observed_at = now;
}

void observe_first_token(scheduler& target, running_item& item, const first_token& input,
                         time_point now) {
    item.has_first_token = true;
    item.first_token_at = now;
    item.observed_at = now;
    const auto at = target.servers.find(item.server);
    if (at == target.servers.end()) {
        return;
    }
    auto& server = at->second;
    const auto elapsed = now - item.started;
    auto computed = item.computed;
    if (input.cached) {
        const auto cached = std::min(input.cached->value, item.work.prompt.value);
        computed = {item.work.prompt.value - cached};
        server.cache.confirm(item.work.blocks, cached / block_tokens);
    }
    const auto ahead = server.pending_prefill -
                       std::min<std::uint64_t>(server.pending_prefill, item.computed.value);
    server.pending_prefill = ahead;
    const auto unexpected = to_seconds(duration{
        computed.value > item.computed.value ? from_seconds((computed.value - item.computed.value) /
                                                            server.speed.prefill_tokens_per_second)
                                             : duration{}});
    const auto predicted = item.predicted_first_token + from_seconds(unexpected);
    routing::on_first_token(server.in_flight_window, item.window_was_full, predicted, elapsed, now);
    if (!item.window_was_full) {
        routing::observe_prefill(server.speed, computed, elapsed);
    }
}

} // namespace tarragonspar::dispatch::detail
