#include "tarragonspar/routing/server_model.hpp"

#include <algorithm>

namespace tarragonspar::routing {

namespace {

/// Samples needed before a speed estimate is used to reject requests.
constexpr std::uint32_t min_samples = 3;
/// Time without a request after which an idle server gets one whatever its estimated speed is.
constexpr duration estimate_trial_interval = std::chrono::seconds{1};
/// Assumed relative slowdown of each token in a full batch.
constexpr double batch_slowdown = 0.15;
/// Relative time per token above which a server counts as a straggler.
constexpr double straggler_slowness = 1.8;
/// Minimum time between two dispatches to a straggler with requests in flight. Stragglers keep
/// receiving requests so that their recovery is detected.
constexpr duration straggler_trial_interval = std::chrono::seconds{2};

} // namespace

server_model make_server_model(const config::server& description) {
    server_model model;
    model.id = description.id;
    model.kind = description.kind;
    model.state = description.state;
    model.hardware_class = description.hardware_class;
    if (!description.failure_domain.empty()) {
        model.failure_domain = {hash_name(description.failure_domain)};
    }
    for (const auto& name : description.offers) {
        model.offers.push_back({hash_name(name)});
    }
    window_options limits{.initial = static_cast<double>(std::max(1U, description.slots))};
    if (description.slots_are_exact) {
        // More requests would wait inside the server, which has no tiers; fewer would leave slots
        // empty.
        limits.min = limits.initial;
        limits.max = limits.initial;
    }
    model.in_flight_window = make_window(limits);
    model.slots_are_exact = description.slots_are_exact;
    model.listed_slots = std::max(1U, description.slots);
    model.started_at_ms = description.started_at_ms;
    model.software = config::software_of(description);
    return model;
}

bool may_get(const server_model& server, const work_item& work) noexcept {
    return work.software == software_id{} || work.software == server.software;
}

prediction predict(const server_model& server, const work_item& work, token_count output) {
    prediction result;
    // Concurrent requests slow a request down, so the less loaded of equal servers is preferred.
    const auto load = server.in_flight / std::max(1.0, server.in_flight_window.size);
    if (server.kind == config::server_kind::service) {
        const auto seconds =
            server.speed.fixed_seconds + server.speed.decode_seconds_per_token * (1.0 + load);
        result.first_token = from_seconds(seconds);
        result.finish = result.first_token;
        return result;
    }
    result.cached_blocks = server.cache.match(work.blocks);
    const auto cached = static_cast<std::uint32_t>(result.cached_blocks * block_tokens);
    result.computed = {work.prompt.value - std::min(work.prompt.value, cached)};
    const auto prefill = static_cast<double>(server.pending_prefill + result.computed.value) /
                         server.speed.prefill_tokens_per_second;
    const auto first = server.speed.fixed_seconds + prefill;
    result.first_token = from_seconds(first);
    result.finish = from_seconds(first + output.value * server.speed.decode_seconds_per_token *
                                             (1.0 + batch_slowdown * load));
    return result;
}

duration best_case(const server_model& server, const work_item& work, token_count output) {
    const auto cached = static_cast<std::uint32_t>(server.cache.match(work.blocks) * block_tokens);
    const auto computed = work.prompt.value - std::min(work.prompt.value, cached);
    return from_seconds(computed / server.speed.prefill_tokens_per_second +
                        output.value * server.speed.decode_seconds_per_token);
}

bool has_speed_estimate(const server_model& server) {
    return server.speed.decode_samples >= min_samples &&
           (server.kind == config::server_kind::service ||
            server.speed.prefill_samples >= min_samples);
}

bool is_estimate_unverified(const server_model& server, time_point now) {
    return server.in_flight == 0 && now - server.last_dispatch >= estimate_trial_interval;
}

bool offers(const server_model& server, model_id model) {
    return std::find(server.offers.begin(), server.offers.end(), model) != server.offers.end();
}

bool is_straggler(const server_model& server) {
    return !server.slots_are_exact && server.slowness > straggler_slowness;
}

std::uint32_t usable_window(const server_model& server) {
    const auto full_window = capacity(server.in_flight_window);
    if (!is_straggler(server)) {
        return full_window;
    }
    return std::max(1U, static_cast<std::uint32_t>(full_window / server.slowness));
}

bool has_free_slot(const server_model& server, time_point now) {
    if (server.state != config::server_state::active) {
        return false;
    }
    if (!server.exempt_from_ejection && !allows(server.breaker, now)) {
        return false;
    }
    if (!server.exempt_from_ejection && is_half_open(server.breaker) && server.in_flight > 0) {
        return false;
    }
    if (is_straggler(server) && server.in_flight > 0 &&
        now - server.last_dispatch < straggler_trial_interval) {
        return false;
    }
    return server.in_flight < usable_window(server);
}

} // namespace tarragonspar::routing
