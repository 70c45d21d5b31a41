// Placement of queued requests on servers.

#include "tarragonspar/dispatch/detail/placing.hpp"

#include <algorithm>
#include <cmath>

#include "tarragonspar/dispatch/detail/server_events.hpp"
#include "tarragonspar/dispatch/detail/shedding.hpp"

namespace tarragonspar::dispatch::detail {

namespace {

/// Queued requests that are considered for one free slot.
constexpr std::size_t max_lookahead = 12;
/// Minimum number of prompt tokens to compute for which requests with an equal prefix wait.
constexpr std::uint32_t min_awaited_prefill = 512;
/// Number of leading blocks that identify a prefix.
constexpr std::size_t root_blocks = 8;

/// Share of a request's time to its latency objective that it may wait for a server with a cached
/// prefix: the prefill that is saved is seldom longer.
constexpr double cache_wait_share = 0.25;
/// Cost factor of a server in another failure domain: it is chosen only if it would finish the
/// request that much sooner. Traffic between failure domains is charged, and a link between them
/// may fail while the answer is in flight.
constexpr double remote_domain_factor = 1.3;

/// Standard deviations of its load by which a grant scheduler that shares servers may exceed its
/// share of slots. With many grant schedulers each has a few slots, and its load varies by as much.
constexpr double shared_load_deviations = 1.5;

/// Interval between two checks of how many servers are ejected; short compared with the ejections.
constexpr duration ejection_check_interval = std::chrono::milliseconds{20};

} // namespace

std::optional<block_hash> prefix_root(const work_item& work) {
    if (work.blocks.size() < root_blocks) {
        return std::nullopt;
    }
    return work.blocks[root_blocks - 1];
}

token_count predicted_output(const scheduler& source, const work_item& work) {
    if (work.expected_output.value > 0) {
        return std::min(work.expected_output, work.max_output);
    }
    return source.lengths.predict(work.profile, work.workspace, work.max_output,
                                  source.options.length_quantile);
}

void record_start(scheduler& target, const admission::queued_item& item,
                  routing::server_model& server, const routing::prediction& predicted,
                  time_point now) {
    const auto& work = item.work;
    running_item running{.work = work,
                         .server = server.id,
                         .started = now,
                         .predicted_first_token = predicted.first_token,
                         .predicted_output = predicted_output(target, work),
                         .computed = predicted.computed,
                         .cost_seconds = item.cost_seconds,
                         .observed_tokens = {},
                         .failed_dispatches = item.failed_dispatches};
    ++server.in_flight;
    running.window_was_full = server.in_flight >= routing::usable_window(server);
    server.pending_prefill += predicted.computed.value;
    server.last_dispatch = now;
    server.breaker.trial_running = routing::is_half_open(server.breaker);
    server.cache.insert(work.blocks);
    target.suspects.record_request(work.model, work.prompt_parts, now);
    target.limits_named.take(server.id, target.options.request_limit_share, now);
    if (predicted.computed.value >= min_awaited_prefill) {
        if (const auto root = prefix_root(work)) {
            running.computes_prefix = target.in_flight_prefixes.insert(*root).second;
        }
    }
    target.running.emplace(work.id, std::move(running));
    routing::on_first_attempt(target.retries);
}

namespace {

/// Whether a server that named a request limit may get one more request.
bool is_within_limit(const scheduler& source, server_id server, time_point now) {
    return source.limits_named.allows(server, source.options.request_limit_share, now);
}

/// Free slots that tiers below the top one must leave free.
std::uint32_t reserve_of(const scheduler& source, const model_pool& pool, model_id model) {
    const auto slots = total_slots(source, model);
    const auto limit = static_cast<std::uint32_t>(slots * source.options.max_reserve_share);
    const auto peak = static_cast<std::uint32_t>(std::ceil(pool.top_tier.peak));
    const auto wanted = peak - std::min(peak, pool.top_tier.present);
    return std::min(limit, wanted);
}

std::uint32_t free_slots(const scheduler& source, model_id model, time_point now) {
    std::uint32_t free = 0;
    std::uint32_t taken = 0;
    std::uint32_t all = 0;
    for (const auto* server : servers_for(source, model)) {
        taken += server->in_flight;
        all += server->listed_slots;
        if (routing::has_free_slot(*server, now) && is_within_limit(source, server->id, now)) {
            free += routing::usable_window(*server) - server->in_flight;
        }
    }
    if (source.options.slots_share <= 0.0) {
        return free;
    }
    const auto mean = all * source.options.slots_share;
    const auto own =
        static_cast<std::uint32_t>(std::ceil(mean + shared_load_deviations * std::sqrt(mean)));
    return std::min(free, own - std::min(own, taken));
}

/// Returns the least urgent tier that may currently be dispatched for a model.
std::optional<tier> dispatchable(const scheduler& source, const model_pool& pool, model_id model,
                                 time_point now) {
    const auto free = free_slots(source, model, now);
    if (free == 0) {
        return std::nullopt;
    }
    return free > reserve_of(source, pool, model) ? tier{tier_count - 1} : tier{0};
}

/// Whether a request has waited so briefly that it may wait for a cached prefix although some
/// server has capacity. Without this bound, requests that waited for a full server or for the
/// prefill of an equal prompt were overtaken by others until they were late.
bool may_wait_for_cache(const work_item& work, time_point now) {
    if (work.objective == time_point{}) {
        return true;
    }
    const auto allowed = to_seconds(work.objective - work.arrival) * cache_wait_share;
    return now - work.arrival < from_seconds(allowed);
}

/// Whether an equal prefix is being computed, so that waiting for it is cheaper than computing it a
/// second time.
bool is_prefix_in_flight(const scheduler& source, const work_item& work, time_point now) {
    if (!may_wait_for_cache(work, now)) {
        return false;
    }
    const auto root = prefix_root(work);
    return root && source.in_flight_prefixes.contains(*root);
}

/// Whether some server, full or not, would finish a request before its deadline.
bool any_server_meets_deadline(const scheduler& source, const work_item& work, token_count output,
                               duration left, time_point now) {
    const auto& servers = servers_for(source, work.model);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        return server->state == config::server_state::active && routing::may_get(*server, work) &&
               routing::allows(server->breaker, now) && routing::has_speed_estimate(*server) &&
               routing::predict(*server, work, output).finish <= left;
    });
}

/// Whether a request would miss its latency objective on the free server, but meet it on a faster
/// one that is currently full. Matters for long prompts on engines of different speeds.
bool is_better_to_wait(const scheduler& source, const work_item& work, duration first_token,
                       time_point now) {
    if (work.objective == time_point{} || now + first_token <= work.objective) {
        return false;
    }
    const auto service = source.pools.at(work.model).service_seconds;
    const auto& servers = servers_for(source, work.model);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        if (server->state != config::server_state::active || !routing::may_get(*server, work) ||
            !routing::has_speed_estimate(*server) || !routing::allows(server->breaker, now) ||
            routing::has_free_slot(*server, now)) {
            return false;
        }
        const auto wait = from_seconds(service / routing::usable_window(*server));
        return now + wait + routing::predict(*server, work, {}).first_token <= work.objective;
    });
}

/// Whether a server asked the dispatcher of a request to back off.
bool is_backing_off(const scheduler& source, server_id server, instance_id dispatcher,
                    time_point now) {
    if (source.backoffs.empty()) {
        return false;
    }
    const auto found = source.backoffs.find({server, dispatcher});
    return found != source.backoffs.end() && now < found->second;
}

/// Whether a request that must not run twice has a server that did not fail repeatedly. That server
/// may be full: the request then waits for it.
bool has_healthy_server(const scheduler& source, const work_item& work, time_point now) {
    const auto& servers = servers_for(source, work.model);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        return server->state == config::server_state::active && routing::may_get(*server, work) &&
               !routing::is_half_open(server->breaker) &&
               !is_backing_off(source, server->id, work.id.issuer, now) &&
               std::find(work.avoid.begin(), work.avoid.end(), server->id) == work.avoid.end();
    });
}

/// Random cost factor that makes grant schedulers without coordination choose different servers.
double choice_factor(const scheduler& source, const work_item& work, server_id server) {
    if (source.options.choice_noise <= 0.0) {
        return 1.0;
    }
    const auto draw = hash_pair(hash_pair(work.id.issued_in.value, work.id.sequence), server.value);
    constexpr double range = 4294967296.0;
    return 1.0 + source.options.choice_noise * static_cast<double>(draw >> 32U) / range;
}

/// Cost factor that keeps a request in the failure domain of the instance that dispatches it,
/// unless a server elsewhere is clearly faster. Avoids charges for traffic between failure domains.
double distance_factor(const work_item& work, const routing::server_model& server) {
    const auto same_domain = work.origin_domain == server.failure_domain;
    const auto both_known =
        work.origin_domain != domain_name_id{} && server.failure_domain != domain_name_id{};
    return both_known && !same_domain ? remote_domain_factor : 1.0;
}

/// Returns the server with capacity that would finish a request first. Returns null when there is
/// none, or when waiting for another server is better: a full one with more of the prompt in its
/// cache would still finish sooner, or only a faster one would meet the latency objective or the
/// deadline.
routing::server_model* best_server(scheduler& target, const work_item& work, time_point now,
                                   routing::prediction& best) {
    const auto output = predicted_output(target, work);
    const auto left = work.deadline - now;
    const auto service = target.pools.at(work.model).service_seconds;
    routing::server_model* chosen = nullptr;
    double best_cost = 0.0;
    std::optional<duration> best_after_wait;
    for (auto* candidate : servers_for(target, work.model)) {
        auto& server = *candidate;
        if (!routing::may_get(server, work) ||
            std::find(work.avoid.begin(), work.avoid.end(), server.id) != work.avoid.end() ||
            is_backing_off(target, server.id, work.id.issuer, now) ||
            !is_within_limit(target, server.id, now)) {
            continue;
        }
        if (!routing::has_free_slot(server, now)) {
            if (server.cache.match(work.blocks) > 0 && routing::allows(server.breaker, now) &&
                server.state == config::server_state::active) {
                const auto wait = from_seconds(service / routing::usable_window(server));
                const auto finish = wait + routing::predict(server, work, output).finish;
                best_after_wait = std::min(best_after_wait.value_or(finish), finish);
            }
            continue;
        }
        // A trial may fail after the request has run, so a request that must not run twice is used
        // for one only if the service has no other server for it.
        if (!work.idempotent && routing::is_half_open(server.breaker) &&
            !server.exempt_from_ejection && has_healthy_server(target, work, now)) {
            continue;
        }
        const auto predicted = routing::predict(server, work, output);
        if (predicted.finish > left && routing::has_speed_estimate(server) &&
            any_server_meets_deadline(target, work, output, left, now)) {
            continue; // waits for a faster server rather than miss the deadline on a slow one
        }
        const auto cost = to_seconds(predicted.finish) * choice_factor(target, work, server.id) *
                          distance_factor(work, server);
        if (chosen == nullptr || cost < best_cost) {
            chosen = &server;
            best = predicted;
            best_cost = cost;
        }
    }
    if (chosen == nullptr) {
        return nullptr;
    }
    if (best_after_wait && *best_after_wait < best.finish && may_wait_for_cache(work, now)) {
        return nullptr;
    }
    if (is_better_to_wait(target, work, best.first_token, now)) {
        return nullptr;
    }
    if (!target.options.refuse_infeasible || continues(work) ||
        !routing::has_speed_estimate(*chosen) || routing::is_estimate_unverified(*chosen, now)) {
        return chosen;
    }
    // Most answers are shorter than the cautious prediction, so a request is held back only if even
    // the best case misses the deadline.
    const auto shortest = target.lengths.predict(work.profile, work.workspace, work.max_output,
                                                 target.options.optimistic_quantile);
    const auto too_late = routing::predict(*chosen, work, shortest).finish > left;
    return too_late ? nullptr : chosen;
}

void start(scheduler& target, const admission::queued_item& item, routing::server_model& server,
           const routing::prediction& predicted, time_point now, std::vector<effect>& effects) {
    record_start(target, item, server, predicted, now);
    effects.emplace_back(start_dispatch{.id = item.work.id, .server = server.id});
}

/// Whether a queued request could go to the one server that has changed. A request that would be
/// late there is considered for all servers at the next tick.
bool may_serve(const scheduler& source, const routing::server_model& server, const work_item& work,
               time_point now) {
    if (!routing::offers(server, work.model) || !routing::may_get(server, work) ||
        !routing::has_free_slot(server, now)) {
        return false;
    }
    const auto predicted = routing::predict(server, work, predicted_output(source, work));
    return work.objective == time_point{} || now > work.objective ||
           now + predicted.first_token <= work.objective;
}

/// Dispatches the best queued request of one model if a server has capacity for it.
bool dispatch_one(scheduler& target, model_id model, time_point now, std::vector<effect>& effects,
                  const change& changed) {
    auto& pool = target.pools.at(model);
    const auto allowed = dispatchable(target, pool, model, now);
    if (!allowed) {
        return false;
    }
    for (const auto* candidate : pool.queue.candidates(*allowed, max_lookahead, now)) {
        if (changed.new_request != nullptr && candidate->work.id != *changed.new_request) {
            continue;
        }
        if (changed.prefix && prefix_root(candidate->work) != changed.prefix) {
            continue;
        }
        if (changed.server != nullptr &&
            !may_serve(target, *changed.server, candidate->work, now)) {
            continue;
        }
        if (is_prefix_in_flight(target, candidate->work, now) ||
            must_wait_for_trial(target, candidate->work, now)) {
            continue;
        }
        routing::prediction predicted;
        ++target.placements_tried;
        auto* server = best_server(target, candidate->work, now, predicted);
        if (server == nullptr) {
            continue;
        }
        const auto item = pool.queue.dequeue(candidate->work.id);
        target.queued_model.erase(item->work.id);
        start(target, *item, *server, predicted, now, effects);
        return true;
    }
    return false;
}

/// Returns the model whose next dispatchable request is most urgent, among those not exhausted.
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

/// Allows ejection only while more than half of a model's servers remain. When half or more fail,
/// the cause is probably not the servers alone, and the rest could not carry the load.
void bound_ejection(scheduler& target, time_point now) {
    if (!target.ejection_stale && now - target.last_ejection_check < ejection_check_interval) {
        return;
    }
    target.ejection_stale = false;
    target.last_ejection_check = now;
    struct counts {
        std::size_t all{};
        std::size_t open{};
    };
    std::map<model_id, counts> by_model;
    for (auto& [id, server] : target.servers) {
        routing::expire_failures(server.breaker, now);
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
        server.exempt_from_ejection =
            std::any_of(server.offers.begin(), server.offers.end(), [&](model_id model) {
                const auto& count = by_model[model];
                return count.open * 2 >= count.all && count.open > 0;
            });
    }
}

} // namespace

void dispatch_ready(scheduler& target, time_point now, std::vector<effect>& effects,
                    const change& changed) {
    bound_ejection(target, now);
    expire(target, now, effects);
    std::vector<model_id> exhausted;
    while (const auto model = most_urgent_model(target, exhausted, now)) {
        if (!dispatch_one(target, *model, now, effects, changed)) {
            exhausted.push_back(*model);
        }
    }
}

} // namespace tarragonspar::dispatch::detail
