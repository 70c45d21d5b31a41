#include "tarragonspar/dispatch/scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "tarragonspar/dispatch/detail/observation.hpp"
#include "tarragonspar/dispatch/detail/placing.hpp"
#include "tarragonspar/dispatch/detail/server_events.hpp"
#include "tarragonspar/dispatch/detail/shedding.hpp"

namespace tarragonspar::dispatch {

namespace {

/// Weight of a new sample in the mean service time.
constexpr double service_gain = 0.05;
/// Minimum interval between two checks, on arrivals, for requests that can't finish in time: each
/// check is linear in the queue, and a delay of some milliseconds is negligible.
constexpr duration shed_interval = std::chrono::milliseconds{20};

/// Dispatch attempts of one request that may fail before the first byte; then it is refused.
constexpr int max_failed_dispatches = 3;

void update_peak(peak_demand& target, int change, double decay_per_second, time_point now) {
    const auto elapsed = to_seconds(now - target.updated);
    target.peak =
        std::max<double>(target.present, target.peak * std::exp(-decay_per_second * elapsed));
    target.updated = now;
    target.present =
        static_cast<std::uint32_t>(std::max(0, static_cast<int>(target.present) + change));
    target.peak = std::max<double>(target.peak, target.present);
}

void release_prefix(scheduler& target, const running_item& item) {
    if (!item.computes_prefix) {
        return;
    }
    const auto root = detail::prefix_root(item.work);
    target.in_flight_prefixes.erase(*root);
}

bool is_top_tier(const work_item& work) {
    return work.urgency == tier{0};
}

model_pool& pool_of(scheduler& target, model_id model) {
    const auto found = target.pools.find(model);
    if (found != target.pools.end()) {
        return found->second;
    }
    return target.pools
        .emplace(model,
                 model_pool{.queue = admission::tier_queue{target.options.queue}, .top_tier = {}})
        .first->second;
}

} // namespace

void detail::record_removal(scheduler& target, const work_item& work, time_point now) {
    const auto found = target.in_system.find(work.workspace);
    if (found != target.in_system.end() && --found->second == 0) {
        target.in_system.erase(found);
    }
    if (is_top_tier(work)) {
        update_peak(pool_of(target, work.model).top_tier, -1,
                    target.options.reserve_decay_per_second, now);
    }
}

namespace {

bool exceeds_limit(const scheduler& source, const work_item& work) {
    const auto limit = source.limits.find(work.workspace);
    if (limit == source.limits.end()) {
        return false;
    }
    const auto present = source.in_system.find(work.workspace);
    return present != source.in_system.end() && present->second >= limit->second;
}

/// Whether some active server that the request does not avoid offers its model.
bool has_alternative(const scheduler& source, const work_item& work) {
    const auto& servers = detail::servers_for(source, work.model);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        return server->state == config::server_state::active && routing::may_get(*server, work) &&
               std::find(work.avoid.begin(), work.avoid.end(), server->id) == work.avoid.end();
    });
}

void enqueue(scheduler& target, work_item work, int failed_dispatches, time_point now) {
    if (!work.avoid.empty() && !has_alternative(target, work)) {
        work.avoid.clear(); // a server that has failed once is better than none
    }
    auto& pool = pool_of(target, work.model);
    pool.queue.push({.work = work,
                     .cost_seconds = detail::service_seconds(target, work),
                     .failed_dispatches = failed_dispatches,
                     .queued_at = now});
    target.queued_model.emplace(work.id, work.model);
}

void release_slot(scheduler& target, const running_item& item) {
    if (!item.has_first_token) {
        release_prefix(target, item);
    }
    const auto found = target.servers.find(item.server);
    if (found == target.servers.end()) {
        return;
    }
    auto& server = found->second;
    server.in_flight -= std::min(server.in_flight, 1U);
    if (!item.has_first_token) {
        server.pending_prefill -=
            std::min<std::uint64_t>(server.pending_prefill, item.computed.value);
    }
}

/// Sheds queued requests until their number is within the bound.
void enforce_bound(scheduler& target, time_point now, std::vector<effect>& effects) {
    while (queued_count(target) > target.options.max_queued) {
        detail::shed_first_candidate(target, now, effects);
    }
}

// One overload of `handle` for each event; those about servers are in server_events.cpp.

using detail::handle;

void handle(scheduler& target, const arrived& input, time_point now, std::vector<effect>& effects) {
    const auto& work = input.work;
    if (target.queued_model.contains(work.id) || target.running.contains(work.id)) {
        return;
    }
    if (exceeds_limit(target, work)) {
        effects.emplace_back(refuse{
            .id = work.id, .why = reason::workspace_limit, .retry_after = std::chrono::seconds{1}});
        return;
    }
    if (!detail::has_server(target, work)) {
        effects.emplace_back(refuse{
            .id = work.id, .why = reason::no_server, .retry_after = std::chrono::seconds{2}});
        return;
    }
    if (const auto until = detail::backoff_until(target, work, now)) {
        effects.emplace_back(
            refuse{.id = work.id, .why = reason::overloaded, .retry_after = *until - now});
        return;
    }
    if (const auto quarantine = find_quarantine(target, work, now)) {
        target.suspects.record_refusal(quarantine->part);
        effects.emplace_back(refuse{
            .id = work.id, .why = reason::quarantined, .retry_after = quarantine->until - now});
        return;
    }
    if (detail::waits_too_long_for_trial(target, work, now)) {
        effects.emplace_back(refuse{.id = work.id,
                                    .why = reason::overloaded,
                                    .retry_after = target.options.max_retry_after});
        return;
    }
    ++target.in_system[work.workspace];
    if (is_top_tier(work)) {
        update_peak(pool_of(target, work.model).top_tier, +1,
                    target.options.reserve_decay_per_second, now);
    }
    enqueue(target, work, 0, now);
    if (target.draining) {
        detail::drain_queue(target, now, effects);
        return;
    }
    detail::dispatch_ready(target, now, effects, {.new_request = &work.id});
    enforce_bound(target, now, effects);
    if (target.queued_model.contains(work.id)) {
        detail::bound_wait(target, work.model, now, effects);
    }
    if (target.queued_model.contains(work.id) && now - target.last_shed_check >= shed_interval) {
        detail::shed_infeasible(target, now, effects);
        target.last_shed_check = now;
    }
}

void handle(scheduler& target, const withdrawn& input, time_point now, std::vector<effect>&) {
    if (const auto item = detail::remove_queued(target, input.id)) {
        detail::record_removal(target, item->work, now);
    }
}

void handle(scheduler& target, const dispatch_failed& input, time_point now,
            std::vector<effect>& effects) {
    const auto found = target.running.find(input.id);
    if (found == target.running.end()) {
        return;
    }
    auto item = std::move(found->second);
    target.running.erase(found);
    release_slot(target, item);
    item.work.avoid.push_back(item.server);
    if (const auto server = target.servers.find(item.server); server != target.servers.end()) {
        // A server that accepts no connection is unreachable for the next request as well.
        routing::on_unreachable(server->second.breaker, now);
        target.ejection_stale = true;
        server->second.cache.evict(item.work.blocks);
    }
    const auto attempts = item.failed_dispatches + 1;
    if (attempts >= max_failed_dispatches || !routing::try_retry(target.retries) ||
        !detail::has_server(target, item.work)) {
        detail::record_removal(target, item.work, now);
        effects.emplace_back(refuse{
            .id = input.id, .why = reason::no_server, .retry_after = std::chrono::seconds{2}});
    } else {
        enqueue(target, item.work, attempts, now);
    }
    detail::dispatch_ready(target, now, effects);
    enforce_bound(target, now, effects);
}

void handle(scheduler& target, const grant_refused& input, time_point now,
            std::vector<effect>& effects) {
    const auto found = target.running.find(input.id);
    if (found == target.running.end()) {
        return;
    }
    release_slot(target, found->second);
    if (const auto server = target.servers.find(found->second.server);
        server != target.servers.end()) {
        server->second.breaker.trial_running = false;
        server->second.cache.evict(found->second.work.blocks);
    }
    detail::record_removal(target, found->second.work, now);
    target.running.erase(found);
    detail::dispatch_ready(target, now, effects);
}

void handle(scheduler& target, const first_token& input, time_point now,
            std::vector<effect>& effects) {
    const auto found = target.running.find(input.id);
    if (found == target.running.end() || found->second.has_first_token) {
        return;
    }
    const auto ready_prefix =
        found->second.computes_prefix ? detail::prefix_root(found->second.work) : std::nullopt;
    release_prefix(target, found->second);
    detail::observe_first_token(target, found->second, input, now);
    // A full server takes no request, but requests that waited for the prefix may go to any server.
    const auto at = target.servers.find(found->second.server);
    if (ready_prefix) {
        detail::dispatch_ready(target, now, effects, {.prefix = ready_prefix});
    }
    if (at != target.servers.end() && routing::has_free_slot(at->second, now)) {
        detail::dispatch_ready(target, now, effects, {.server = &at->second});
    }
}

void handle(scheduler& target, const progressed& input, time_point now, std::vector<effect>&) {
    const auto found = target.running.find(input.id);
    if (found != target.running.end() && found->second.has_first_token) {
        detail::observe_tokens(target, found->second, input.generated, now);
    }
}

void handle(scheduler& target, const ended& input, time_point now, std::vector<effect>& effects) {
    const auto found = target.running.find(input.id);
    if (found == target.running.end()) {
        return;
    }
    auto item = std::move(found->second);
    target.running.erase(found);
    release_slot(target, item);
    detail::record_removal(target, item.work, now);
    const auto at = target.servers.find(item.server);
    if (at != target.servers.end()) {
        auto& server = at->second;
        server.breaker.trial_running = false;
        if (input.complete) {
            routing::on_success(server.breaker);
        } else if (input.server_fault) {
            routing::on_failure(server.breaker, now);
            target.ejection_stale = true;
        }
        if (input.complete && server.kind == config::server_kind::service) {
            routing::observe_decode(server.speed, {1}, now - item.started);
        }
    }
    if (input.complete) {
        auto& pool = pool_of(target, item.work.model);
        pool.service_seconds +=
            service_gain * (to_seconds(now - item.started) - pool.service_seconds);
        if (item.cost_seconds > 0.0) {
            pool.cost_seconds += service_gain * (item.cost_seconds - pool.cost_seconds);
        }
    }
    if (input.complete && at != target.servers.end() &&
        at->second.kind == config::server_kind::engine) {
        target.lengths.observe(item.work.profile, item.work.workspace, input.generated);
    }
    detail::record_evidence(target, item, input, now, effects);
    detail::dispatch_ready(target, now, effects,
                           {.server = at == target.servers.end() ? nullptr : &at->second});
}

void handle(scheduler& target, const peer_reported& input, time_point now, std::vector<effect>&) {
    auto& peer = target.peers[input.peer];
    peer.models.clear();
    peer.last_seen = now;
    for (const auto& digest : input.models) {
        peer.models.emplace(digest.model, digest);
    }
}

void handle(scheduler& target, const peer_gone& input, time_point, std::vector<effect>&) {
    target.peers.erase(input.peer);
}

void handle(scheduler& target, const drain_requested&, time_point now,
            std::vector<effect>& effects) {
    target.draining = true;
    detail::drain_queue(target, now, effects);
}

void handle(scheduler& target, const adopted& input, time_point now, std::vector<effect>&) {
    const auto known =
        target.queued_model.contains(input.work.id) || target.running.contains(input.work.id);
    const auto found = target.servers.find(input.server);
    if (known || found == target.servers.end()) {
        return;
    }
    ++target.in_system[input.work.workspace];
    if (is_top_tier(input.work)) {
        update_peak(pool_of(target, input.work.model).top_tier, +1,
                    target.options.reserve_decay_per_second, now);
    }
    if (input.just_started) {
        static_cast<void>(pool_of(target, input.work.model));
        const auto predicted = routing::predict(found->second, input.work,
                                                detail::predicted_output(target, input.work));
        detail::record_start(target, {.work = input.work}, found->second, predicted, now);
        return;
    }
    ++found->second.in_flight;
    // Speeds are not estimated from a request whose start was not observed.
    running_item running{.work = input.work, .server = input.server, .started = now};
    running.has_first_token = true;
    running.first_token_at = now;
    running.observed_at = now;
    target.running.emplace(input.work.id, std::move(running));
}

void handle(scheduler& target, const ticked&, time_point now, std::vector<effect>& effects) {
    detail::dispatch_ready(target, now, effects);
    detail::refuse_late(target, now, effects);
    detail::offload(target, now, effects);
    detail::shed_infeasible(target, now, effects);
}

} // namespace

void step(scheduler& target, const event& input, time_point now, std::vector<effect>& effects) {
    std::visit([&](const auto& specific) { handle(target, specific, now, effects); }, input);
}

std::optional<prompt_judgement> find_quarantine(const scheduler& source, const work_item& work,
                                                time_point now) {
    auto judgement = source.suspects.judge(work.prompt_parts, now);
    if (judgement.verdict == prompt_verdict::quarantined) {
        return judgement;
    }
    // Without coordination, each of the schedulers that share the servers would try one request.
    if (judgement.was_quarantined && source.options.slots_share > 0.0) {
        judgement.until = now + source.options.max_retry_after;
        return judgement;
    }
    return std::nullopt;
}

std::size_t queued_count(const scheduler& source) {
    return source.queued_model.size();
}

} // namespace tarragonspar::dispatch
