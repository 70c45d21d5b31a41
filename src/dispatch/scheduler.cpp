#include "tarragonspar/dispatch/scheduler.hpp"

#include <algorithm>
#include <cmath>

#include "tarragonspar/dispatch/detail/shedding.hpp"

namespace tarragonspar::dispatch {

namespace {

/// Weight of a new sample in a hardware class's speed.
constexpr double class_gain = 0.05;
/// Decode samples needed before a server is compared with its class.
constexpr std::uint32_t min_class_samples = 5;
/// Weight of a new sample in the mean service time.
constexpr double service_gain = 0.05;
/// Tokens that make one decode sample.
constexpr std::uint32_t decode_sample_tokens = 8;
/// Waiting requests that are looked at for one free slot.
constexpr std::size_t max_lookahead = 12;
/// Prompt tokens to compute from which on an equal prefix is waited for.
constexpr std::uint32_t min_awaited_prefill = 512;
/// Blocks that tell one prefix from another at most.
constexpr std::size_t root_blocks = 8;

/// Pause between two looks at how many servers are ejected: short against their pauses.
constexpr duration ejection_check_interval = std::chrono::milliseconds{20};
/// Pause between two looks, on arrivals, at who can't be answered in time: each is linear in the
/// queue, and some milliseconds count as at once.
constexpr duration shed_interval = std::chrono::milliseconds{20};

/// Dispatch attempts of one request that may fail before the first byte.
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

/// The block that stands for a request's prefix, if its prompt is long enough to have one.
std::optional<block_hash> prefix_root(const work_item& work) {
    if (work.blocks.size() < root_blocks) {
        return std::nullopt;
    }
    return work.blocks[root_blocks - 1];
}

void forget_underway(scheduler& target, const running_item& item) {
    if (!item.holds_prefix) {
        return;
    }
    const auto root = prefix_root(item.work);
    target.prefixes_underway.erase(*root);
}

bool is_top(const work_item& work) {
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

void note_left(scheduler& target, const work_item& work, time_point now) {
    const auto found = target.in_system.find(work.workspace);
    if (found != target.in_system.end() && --found->second == 0) {
        target.in_system.erase(found);
    }
    if (is_top(work)) {
        update_peak(pool_of(target, work.model).top_tier, -1,
                    target.options.reserve_decay_per_second, now);
    }
}

/// Whether any owned server could ever serve the model.
bool has_server(const scheduler& source, model_id model) {
    const auto& servers = detail::servers_for(source, model);
    return std::any_of(servers.begin(), servers.end(), [](const auto* server) {
        return server->state == config::server_state::active;
    });
}

bool over_limit(const scheduler& source, const work_item& work) {
    const auto limit = source.limits.find(work.workspace);
    if (limit == source.limits.end()) {
        return false;
    }
    const auto present = source.in_system.find(work.workspace);
    return present != source.in_system.end() && present->second >= limit->second;
}

/// Whether some server that a request need not avoid could serve it.
bool has_alternative(const scheduler& source, const work_item& work) {
    const auto& servers = detail::servers_for(source, work.model);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        return server->state == config::server_state::active &&
               std::find(work.avoid.begin(), work.avoid.end(), server->id) == work.avoid.end();
    });
}

void enqueue(scheduler& target, work_item work, int failed_dispatches) {
    if (!work.avoid.empty() && !has_alternative(target, work)) {
        work.avoid.clear(); // a server that failed once is better than none
    }
    auto& pool = pool_of(target, work.model);
    pool.queue.push({.work = work,
                     .cost_seconds = detail::service_seconds(target, work),
                     .failed_dispatches = failed_dispatches});
    target.queued_model.emplace(work.id, work.model);
}

/// Free slots that tiers below the top one must leave alone.
std::uint32_t reserve_of(const scheduler& source, const model_pool& pool, model_id model) {
    const auto slots = detail::total_slots(source, model);
    const auto limit = static_cast<std::uint32_t>(slots * source.options.max_reserve_share);
    const auto peak = static_cast<std::uint32_t>(std::ceil(pool.top_tier.peak));
    const auto wanted = peak - std::min(peak, pool.top_tier.present);
    return std::min(limit, wanted);
}

std::uint32_t free_slots(const scheduler& source, model_id model, time_point now) {
    std::uint32_t count = 0;
    for (const auto* server : detail::servers_for(source, model)) {
        if (routing::has_room(*server, now)) {
            count += routing::usable_window(*server) - server->in_flight;
        }
    }
    return count;
}

/// The least urgent tier that may be dispatched for a model now.
std::optional<tier> dispatchable(const scheduler& source, const model_pool& pool, model_id model,
                                 time_point now) {
    const auto free = free_slots(source, model, now);
    if (free == 0) {
        return std::nullopt;
    }
    return free > reserve_of(source, pool, model) ? tier{tier_count - 1} : tier{0};
}

token_count predicted_output(const scheduler& source, const work_item& work) {
    if (work.expected_output.value > 0) {
        return std::min(work.expected_output, work.max_output);
    }
    return source.lengths.predict(work.profile, work.workspace, work.max_output,
                                  source.options.length_quantile);
}

/// Whether an equal prefix is being computed at this moment, so that waiting for it is cheaper
/// than computing it a second time.
bool prefix_is_underway(const scheduler& source, const work_item& work) {
    const auto root = prefix_root(work);
    return root && source.prefixes_underway.contains(*root);
}

/// Whether a server, full or not, would finish a request in time.
bool some_server_finishes(const scheduler& source, const work_item& work, token_count output,
                          duration left, time_point now) {
    const auto& servers = detail::servers_for(source, work.model);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        return server->state == config::server_state::active &&
               routing::allows(server->breaker, now) && routing::is_learned(*server) &&
               routing::predict(*server, work, output).finish <= left;
    });
}

/// Whether a request would miss its latency objective on the server that is free, and would meet it
/// on a faster one that is full now. Answers long prompts beside engines of unlike speed.
bool is_better_waited(const scheduler& source, const work_item& work, duration first_token,
                      time_point now) {
    if (work.objective == time_point{} || now + first_token <= work.objective) {
        return false;
    }
    const auto service = source.pools.at(work.model).service_seconds;
    const auto& servers = detail::servers_for(source, work.model);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        if (server->state != config::server_state::active || !routing::is_learned(*server) ||
            !routing::allows(server->breaker, now) || routing::has_room(*server, now)) {
            return false;
        }
        const auto wait = from_seconds(service / routing::usable_window(*server));
        return now + wait + routing::predict(*server, work, {}).first_token <= work.objective;
    });
}

/// Factor that makes desks which know nothing of each other choose different servers.
double choice_factor(const scheduler& source, const work_item& work, server_id server) {
    if (source.options.choice_noise <= 0.0) {
        return 1.0;
    }
    const auto draw = hash_pair(hash_pair(work.id.issued_in.value, work.id.sequence), server.value);
    constexpr double range = 4294967296.0;
    return 1.0 + source.options.choice_noise * static_cast<double>(draw >> 32U) / range;
}

/// The server with room that would finish a request first; null too when a full one with more of
/// the prompt in its cache would still finish sooner.
routing::server_model* best_server(scheduler& target, const work_item& work, time_point now,
                                   routing::prediction& best) {
    const auto output = predicted_output(target, work);
    const auto left = work.deadline - now;
    const auto service = target.pools.at(work.model).service_seconds;
    routing::server_model* chosen = nullptr;
    double best_cost = 0.0;
    std::optional<duration> best_after_wait;
    for (auto* candidate : detail::servers_for(target, work.model)) {
        auto& server = *candidate;
        if (std::find(work.avoid.begin(), work.avoid.end(), server.id) != work.avoid.end()) {
            continue;
        }
        if (!routing::has_room(server, now)) {
            if (server.cache.match(work.blocks) > 0 && routing::allows(server.breaker, now) &&
                server.state == config::server_state::active) {
                const auto wait = from_seconds(service / routing::usable_window(server));
                const auto finish = wait + routing::predict(server, work, output).finish;
                best_after_wait = std::min(best_after_wait.value_or(finish), finish);
            }
            continue;
        }
        if (!work.idempotent && routing::is_on_trial(server.breaker) && !server.keep_in_use &&
            target.servers.size() > 1) {
            continue;
        }
        const auto predicted = routing::predict(server, work, output);
        if (predicted.finish > left && routing::is_learned(server) &&
            some_server_finishes(target, work, output, left, now)) {
            continue; // waits for a faster server rather than run out of time on a slow one
        }
        const auto cost = to_seconds(predicted.finish) * choice_factor(target, work, server.id);
        if (chosen == nullptr || cost < best_cost) {
            chosen = &server;
            best = predicted;
            best_cost = cost;
        }
    }
    if (chosen == nullptr || (best_after_wait && *best_after_wait < best.finish)) {
        return nullptr;
    }
    if (is_better_waited(target, work, best.first_token, now)) {
        return nullptr;
    }
    if (!target.options.refuse_infeasible || !routing::is_learned(*chosen)) {
        return chosen;
    }
    // Most answers are shorter than the cautious prediction; what can only miss is kept back.
    const auto shortest = target.lengths.predict(work.profile, work.workspace, work.max_output,
                                                 target.options.optimistic_quantile);
    const auto too_late = routing::predict(*chosen, work, shortest).finish > left;
    return too_late ? nullptr : chosen;
}

void note_started(scheduler& target, const admission::queued_item& item,
                  routing::server_model& server, const routing::prediction& predicted,
                  time_point now) {
    const auto& work = item.work;
    running_item running{.work = work,
                         .server = server.id,
                         .started = now,
                         .predicted_first_token = predicted.first_token,
                         .predicted_output = predicted_output(target, work),
                         .computed = predicted.computed,
                         .observed_tokens = {},
                         .failed_dispatches = item.failed_dispatches};
    ++server.in_flight;
    running.window_was_full = server.in_flight >= routing::usable_window(server);
    server.pending_prefill += predicted.computed.value;
    server.last_dispatch = now;
    server.breaker.trial_running = routing::is_on_trial(server.breaker);
    server.cache.insert(work.blocks);
    if (predicted.computed.value >= min_awaited_prefill) {
        if (const auto root = prefix_root(work)) {
            running.holds_prefix = target.prefixes_underway.insert(*root).second;
        }
    }
    target.running.emplace(work.id, std::move(running));
    routing::on_first_attempt(target.retries);
}

void start(scheduler& target, const admission::queued_item& item, routing::server_model& server,
           const routing::prediction& predicted, time_point now, std::vector<effect>& effects) {
    note_started(target, item, server, predicted, now);
    effects.emplace_back(start_dispatch{.id = item.work.id, .server = server.id});
}

/// What has changed since all that waits was last looked at. With ninety servers and a long queue,
/// looking at all of it after each change took most of a core.
struct change {
    const request_id* newcomer{nullptr};          ///< only this request is new
    const routing::server_model* server{nullptr}; ///< only this server has room that it had not
    std::optional<block_hash> prefix;             ///< only this prefix has become ready
};

/// Whether a waiting request could go to the one server that has changed. What would be late there
/// is looked at with the next tick, among all servers.
bool may_take(const scheduler& source, const routing::server_model& server, const work_item& work,
              time_point now) {
    if (!routing::offers(server, work.model) || !routing::has_room(server, now)) {
        return false;
    }
    const auto predicted = routing::predict(server, work, predicted_output(source, work));
    return work.objective == time_point{} || now > work.objective ||
           now + predicted.first_token <= work.objective;
}

/// Dispatches the best waiting request of one model if a server has room for it.
bool dispatch_one(scheduler& target, model_id model, time_point now, std::vector<effect>& effects,
                  const change& since) {
    auto& pool = target.pools.at(model);
    const auto allowed = dispatchable(target, pool, model, now);
    if (!allowed) {
        return false;
    }
    for (const auto* candidate : pool.queue.candidates(*allowed, max_lookahead, now)) {
        if (since.newcomer != nullptr && candidate->work.id != *since.newcomer) {
            continue;
        }
        if (since.prefix && prefix_root(candidate->work) != since.prefix) {
            continue;
        }
        if (since.server != nullptr && !may_take(target, *since.server, candidate->work, now)) {
            continue;
        }
        if (prefix_is_underway(target, candidate->work)) {
            continue;
        }
        routing::prediction predicted;
        ++target.placements_tried;
        auto* server = best_server(target, candidate->work, now, predicted);
        if (server == nullptr) {
            continue;
        }
        const auto item = pool.queue.take(candidate->work.id);
        target.queued_model.erase(item->work.id);
        start(target, *item, *server, predicted, now, effects);
        return true;
    }
    return false;
}

/// The model whose next dispatchable request is most urgent, among those not yet exhausted.
std::optional<model_id> most_urgent_model(const scheduler& source,
                                          const std::vector<model_id>& exhausted, time_point now) {
    const admission::queued_item* best = nullptr;
    for (const auto& [model, pool] : source.pools) {
        if (pool.queue.empty() ||
            std::find(exhausted.begin(), exhausted.end(), model) != exhausted.end()) {
            continue;
        }
        const auto allowed = dispatchable(source, pool, model, now);
        if (!allowed) {
            continue;
        }
        const auto* head = pool.queue.peek(*allowed);
        if (head == nullptr) {
            continue;
        }
        if (best == nullptr || std::pair(head->work.urgency, head->work.deadline) <
                                   std::pair(best->work.urgency, best->work.deadline)) {
            best = head;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->work.model};
}

/// Ejects servers only while most of their service is left: when half or more fail, the fault is
/// likely not theirs alone, and the rest could not bear the load.
void bound_ejection(scheduler& target, time_point now) {
    if (!target.ejection_stale && now - target.ejection_checked < ejection_check_interval) {
        return;
    }
    target.ejection_stale = false;
    target.ejection_checked = now;
    struct counts {
        std::size_t all{};
        std::size_t open{};
    };
    std::map<model_id, counts> by_model;
    for (const auto& [id, server] : target.servers) {
        if (server.state != config::server_state::active) {
            continue;
        }
        for (const auto model : server.offers) {
            auto& count = by_model[model];
            ++count.all;
            count.open += routing::allows(server.breaker, now) ? 0 : 1;
        }
    }
    for (auto& [id, server] : target.servers) {
        server.keep_in_use =
            std::any_of(server.offers.begin(), server.offers.end(), [&](model_id model) {
                const auto& count = by_model[model];
                return count.open * 2 >= count.all && count.open > 0;
            });
    }
}

void dispatch_ready(scheduler& target, time_point now, std::vector<effect>& effects,
                    const change& since = {}) {
    bound_ejection(target, now);
    detail::expire(target, now, effects);
    std::vector<model_id> exhausted;
    while (const auto model = most_urgent_model(target, exhausted, now)) {
        if (!dispatch_one(target, *model, now, effects, since)) {
            exhausted.push_back(*model);
        }
    }
}

void release_slot(scheduler& target, const running_item& item) {
    if (!item.has_first_token) {
        forget_underway(target, item);
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

void compare_with_class(scheduler& target, routing::server_model& server) {
    if (server.speed.decode_samples < min_class_samples) {
        return;
    }
    const auto own = server.speed.decode_seconds_per_token;
    auto& expected = target.class_speed.try_emplace(server.hardware_class, own).first->second;
    // Fast servers define a class: a slow one must not drag the expectation along quickly.
    expected += (own < expected ? class_gain : class_gain / 50.0) * (own - expected);
    server.slowness = own / expected;
}

void observe_tokens(scheduler& target, running_item& item, token_count generated, time_point now) {
    const auto found = target.servers.find(item.server);
    if (found == target.servers.end() ||
        generated.value < item.observed_tokens.value + decode_sample_tokens) {
        return;
    }
    auto& server = found->second;
    const token_count fresh{generated.value - item.observed_tokens.value};
    const auto elapsed = now - item.observed_at;
    routing::observe_decode(server.speed, fresh, elapsed);
    routing::on_decode_interval(server.in_flight_window, elapsed / fresh.value, server.in_flight,
                                now);
    compare_with_class(target, server);
    item.observed_tokens = generated;
    item.observed_at = now;
}

/// Sheds until the waiting requests are within their bound.
void enforce_bound(scheduler& target, time_point now, std::vector<effect>& effects) {
    while (queued_count(target) > target.options.max_queued) {
        detail::shed_least_worthy(target, now, effects);
    }
}

// One overload of `handle` for each event.

void handle(scheduler& target, const arrived& what, time_point now, std::vector<effect>& effects) {
    const auto& work = what.work;
    if (target.queued_model.contains(work.id) || target.running.contains(work.id)) {
        return;
    }
    if (over_limit(target, work)) {
        effects.emplace_back(refuse{
            .id = work.id, .why = reason::workspace_limit, .retry_after = std::chrono::seconds{1}});
        return;
    }
    if (!has_server(target, work.model)) {
        effects.emplace_back(refuse{
            .id = work.id, .why = reason::no_server, .retry_after = std::chrono::seconds{2}});
        return;
    }
    ++target.in_system[work.workspace];
    if (is_top(work)) {
        update_peak(pool_of(target, work.model).top_tier, +1,
                    target.options.reserve_decay_per_second, now);
    }
    enqueue(target, work, 0);
    if (target.draining) {
        detail::drain_queue(target, now, effects);
        return;
    }
    dispatch_ready(target, now, effects, {.newcomer = &work.id});
    enforce_bound(target, now, effects);
    if (target.queued_model.contains(work.id)) {
        detail::bound_wait(target, work.model, now, effects);
    }
    if (target.queued_model.contains(work.id) && now - target.shed_checked >= shed_interval) {
        detail::shed_infeasible(target, now, effects);
        target.shed_checked = now;
    }
}

void handle(scheduler& target, const withdrawn& what, time_point now, std::vector<effect>&) {
    if (const auto item = detail::remove_queued(target, what.id)) {
        note_left(target, item->work, now);
    }
}

void handle(scheduler& target, const dispatch_failed& what, time_point now,
            std::vector<effect>& effects) {
    const auto found = target.running.find(what.id);
    if (found == target.running.end()) {
        return;
    }
    auto item = std::move(found->second);
    target.running.erase(found);
    release_slot(target, item);
    item.work.avoid.push_back(item.server);
    if (const auto server = target.servers.find(item.server); server != target.servers.end()) {
        // A server that takes no connection is out of reach for the next request as well.
        routing::on_unreachable(server->second.breaker, now);
        target.ejection_stale = true;
        server->second.cache.evict(item.work.blocks);
    }
    const auto attempts = item.failed_dispatches + 1;
    if (attempts >= max_failed_dispatches || !routing::try_retry(target.retries) ||
        !has_server(target, item.work.model)) {
        note_left(target, item.work, now);
        effects.emplace_back(refuse{
            .id = what.id, .why = reason::no_server, .retry_after = std::chrono::seconds{2}});
    } else {
        enqueue(target, item.work, attempts);
    }
    dispatch_ready(target, now, effects);
    enforce_bound(target, now, effects);
}

void handle(scheduler& target, const grant_refused& what, time_point now,
            std::vector<effect>& effects) {
    const auto found = target.running.find(what.id);
    if (found == target.running.end()) {
        return;
    }
    release_slot(target, found->second);
    if (const auto server = target.servers.find(found->second.server);
        server != target.servers.end()) {
        server->second.breaker.trial_running = false;
        server->second.cache.evict(found->second.work.blocks);
    }
    note_left(target, found->second.work, now);
    target.running.erase(found);
    dispatch_ready(target, now, effects);
}

void learn_from_first_token(scheduler& target, running_item& item, const first_token& what,
                            time_point now);

void handle(scheduler& target, const first_token& what, time_point now,
            std::vector<effect>& effects) {
    const auto found = target.running.find(what.id);
    if (found == target.running.end() || found->second.has_first_token) {
        return;
    }
    const auto ready_prefix =
        found->second.holds_prefix ? prefix_root(found->second.work) : std::nullopt;
    forget_underway(target, found->second);
    learn_from_first_token(target, found->second, what, now);
    // Nothing can go to a full server, but what waited for its prefix may go to any.
    const auto at = target.servers.find(found->second.server);
    if (ready_prefix) {
        dispatch_ready(target, now, effects, {.prefix = ready_prefix});
    }
    if (at != target.servers.end() && routing::has_room(at->second, now)) {
        dispatch_ready(target, now, effects, {.server = &at->second});
    }
}

void learn_from_first_token(scheduler& target, running_item& item, const first_token& what,
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
    if (what.cached) {
        const auto cached = std::min(what.cached->value, item.work.prompt.value);
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

void handle(scheduler& target, const progressed& what, time_point now, std::vector<effect>&) {
    const auto found = target.running.find(what.id);
    if (found != target.running.end() && found->second.has_first_token) {
        observe_tokens(target, found->second, what.generated, now);
    }
}

void handle(scheduler& target, const ended& what, time_point now, std::vector<effect>& effects) {
    const auto found = target.running.find(what.id);
    if (found == target.running.end()) {
        return;
    }
    auto item = std::move(found->second);
    target.running.erase(found);
    release_slot(target, item);
    note_left(target, item.work, now);
    const auto at = target.servers.find(item.server);
    if (at != target.servers.end()) {
        auto& server = at->second;
        server.breaker.trial_running = false;
        if (what.whole) {
            routing::on_success(server.breaker);
        } else if (what.server_fault) {
            routing::on_failure(server.breaker, now);
            target.ejection_stale = true;
        }
        if (what.whole && server.kind == config::server_kind::service) {
            routing::observe_decode(server.speed, {1}, now - item.started);
        }
    }
    if (what.whole) {
        auto& pool = pool_of(target, item.work.model);
        pool.service_seconds +=
            service_gain * (to_seconds(now - item.started) - pool.service_seconds);
    }
    if (what.whole && at != target.servers.end() &&
        at->second.kind == config::server_kind::engine) {
        target.lengths.observe(item.work.profile, item.work.workspace, what.generated);
    }
    dispatch_ready(target, now, effects,
                   {.server = at == target.servers.end() ? nullptr : &at->second});
}

void handle(scheduler& target, const reported& what, time_point now, std::vector<effect>&) {
    const auto found = target.servers.find(what.server);
    if (found == target.servers.end() || what.report.made_at < found->second.report.made_at) {
        return;
    }
    found->second.report = what.report;
    routing::on_reported_waiting(found->second.in_flight_window, what.report.waiting,
                                 now - what.report.made_at, now);
}

void handle(scheduler& target, const cache_changed& what, time_point, std::vector<effect>&) {
    const auto found = target.servers.find(what.server);
    if (found == target.servers.end() || !found->second.cache.accept_event(what.sequence)) {
        return;
    }
    found->second.cache.insert(what.stored);
    found->second.cache.evict(what.evicted);
}

void handle(scheduler& target, const ownership_changed& what, time_point now,
            std::vector<effect>& effects) {
    std::map<server_id, routing::server_model> next;
    for (const auto& description : what.owned) {
        const auto known = target.servers.find(description.id);
        auto model = routing::make_server_model(description);
        if (known != target.servers.end()) {
            auto kept = std::move(known->second);
            kept.state = model.state;
            kept.offers = std::move(model.offers);
            kept.hardware_class = std::move(model.hardware_class);
            if (description.slots_are_exact) {
                kept.in_flight_window = model.in_flight_window;
            }
            model = std::move(kept);
        }
        next.emplace(description.id, std::move(model));
    }
    target.servers = std::move(next);
    target.offering.clear();
    for (auto& [id, server] : target.servers) {
        for (const auto model : server.offers) {
            target.offering[model].list.push_back(&server);
        }
    }
    target.limits.clear();
    for (const auto& limit : what.limits) {
        target.limits.emplace(workspace_id{hash_name(limit.workspace)}, limit.max_in_system);
    }
    std::vector<request_id> stranded;
    for (const auto& [id, model] : target.queued_model) {
        if (!has_server(target, model)) {
            stranded.push_back(id);
        }
    }
    std::sort(stranded.begin(), stranded.end());
    for (const auto& id : stranded) {
        const auto item = detail::remove_queued(target, id);
        note_left(target, item->work, now);
        effects.emplace_back(
            refuse{.id = id, .why = reason::no_server, .retry_after = std::chrono::seconds{1}});
    }
    dispatch_ready(target, now, effects);
}

void handle(scheduler& target, const peer_reported& what, time_point now, std::vector<effect>&) {
    auto& peer = target.peers[what.peer];
    peer.models.clear();
    peer.heard = now;
    for (const auto& digest : what.models) {
        peer.models.emplace(digest.model, digest);
    }
}

void handle(scheduler& target, const peer_gone& what, time_point, std::vector<effect>&) {
    target.peers.erase(what.peer);
}

void handle(scheduler& target, const drain_requested&, time_point now,
            std::vector<effect>& effects) {
    target.draining = true;
    detail::drain_queue(target, now, effects);
}

void handle(scheduler& target, const adopted& what, time_point now, std::vector<effect>&) {
    const auto known =
        target.queued_model.contains(what.work.id) || target.running.contains(what.work.id);
    const auto found = target.servers.find(what.server);
    if (known || found == target.servers.end()) {
        return;
    }
    ++target.in_system[what.work.workspace];
    if (is_top(what.work)) {
        update_peak(pool_of(target, what.work.model).top_tier, +1,
                    target.options.reserve_decay_per_second, now);
    }
    if (what.just_begun) {
        static_cast<void>(pool_of(target, what.work.model));
        const auto predicted =
            routing::predict(found->second, what.work, predicted_output(target, what.work));
        note_started(target, {.work = what.work}, found->second, predicted, now);
        return;
    }
    ++found->second.in_flight;
    // Nothing is learned from a request whose beginning was not seen.
    running_item running{.work = what.work, .server = what.server, .started = now};
    running.has_first_token = true;
    running.first_token_at = now;
    running.observed_at = now;
    target.running.emplace(what.work.id, std::move(running));
}

void handle(scheduler& target, const ticked&, time_point now, std::vector<effect>& effects) {
    dispatch_ready(target, now, effects);
    detail::give_up_late(target, now, effects);
    detail::offload(target, now, effects);
    detail::shed_infeasible(target, now, effects);
}

} // namespace

void step(scheduler& target, const event& what, time_point now, std::vector<effect>& effects) {
    std::visit([&](const auto& specific) { handle(target, specific, now, effects); }, what);
}

std::size_t queued_count(const scheduler& source) {
    return source.queued_model.size();
}

std::vector<routing::model_digest> make_digest(const scheduler& source, time_point now) {
    std::map<model_id, routing::model_digest> digests;
    if (source.draining) {
        return {};
    }
    for (const auto& [id, server] : source.servers) {
        const auto usable =
            server.state == config::server_state::active && routing::allows(server.breaker, now);
        if (!usable) {
            continue;
        }
        const auto window = routing::usable_window(server);
        for (const auto model : server.offers) {
            auto& digest = digests[model];
            digest.model = model;
            digest.slots += window;
            digest.free_slots += window - std::min(window, server.in_flight);
            digest.prefill_tokens_per_second =
                std::max(digest.prefill_tokens_per_second,
                         static_cast<float>(server.speed.prefill_tokens_per_second));
        }
    }
    for (auto& [model, digest] : digests) {
        const auto pool = source.pools.find(model);
        if (pool == source.pools.end()) {
            continue;
        }
        digest.queued = static_cast<std::uint32_t>(pool->second.queue.size());
        digest.queued_seconds = static_cast<float>(pool->second.queue.work_ahead({tier_count - 1}));
        digest.lowest_kept = pool->second.queue.lowest_tier();
        digest.service_seconds = static_cast<float>(pool->second.service_seconds);
    }
    std::vector<routing::model_digest> out;
    out.reserve(digests.size());
    for (const auto& [model, digest] : digests) {
        out.push_back(digest);
    }
    return out;
}

} // namespace tarragonspar::dispatch
