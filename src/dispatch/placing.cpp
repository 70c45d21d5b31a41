// Which waiting request goes to which server, and when.

#include "tarragonspar/dispatch/detail/placing.hpp"

#include <algorithm>
#include <cmath>

#include "tarragonspar/dispatch/detail/shedding.hpp"

namespace tarragonspar::dispatch::detail {

namespace {

/// Waiting requests that are looked at for one free slot.
constexpr std::size_t max_lookahead = 12;
/// Prompt tokens to compute from which on an equal prefix is waited for.
constexpr std::uint32_t min_awaited_prefill = 512;
/// Blocks that tell one prefix from another at most.
constexpr std::size_t root_blocks = 8;

/// Part of a request's time to its latency objective that it may wait for a cache: the prefill that
/// is saved is seldom more.
constexpr double hold_out_share = 0.25;
/// How much sooner a server of another failure domain has to finish a request to be taken: bytes
/// between failure domains cost, and a link between them may be cut while the answer is under way.
constexpr double far_server_factor = 1.3;

/// Standard deviations of its load above which a desk that shares servers fills no more of them:
/// with many desks each has a few slots, and its load varies by as much.
constexpr double shared_spread = 1.5;

/// Pause between two looks at how many servers are ejected: short against their pauses.
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
                         .cost_seconds = item.cost_seconds,
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

namespace {

/// Free slots that tiers below the top one must leave alone.
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
        if (routing::has_room(*server, now)) {
            free += routing::usable_window(*server) - server->in_flight;
        }
    }
    if (source.options.slots_share <= 0.0) {
        return free;
    }
    const auto mean = all * source.options.slots_share;
    const auto own = static_cast<std::uint32_t>(std::ceil(mean + shared_spread * std::sqrt(mean)));
    return std::min(free, own - std::min(own, taken));
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

/// Whether a request has waited so little that it may be kept back for a cache although some server
/// has room. Without this bound, what waits for a full server or for an equal prompt's prefill was
/// passed by others until it was late.
bool may_hold_out(const work_item& work, time_point now) {
    if (work.objective == time_point{}) {
        return true;
    }
    const auto allowed = to_seconds(work.objective - work.arrival) * hold_out_share;
    return now - work.arrival < from_seconds(allowed);
}

/// Whether an equal prefix is being computed at this moment, so that waiting for it is cheaper
/// than computing it a second time.
bool prefix_is_underway(const scheduler& source, const work_item& work, time_point now) {
    if (!may_hold_out(work, now)) {
        return false;
    }
    const auto root = prefix_root(work);
    return root && source.prefixes_underway.contains(*root);
}

/// Whether a server, full or not, would finish a request in time.
bool some_server_finishes(const scheduler& source, const work_item& work, token_count output,
                          duration left, time_point now) {
    const auto& servers = servers_for(source, work.model);
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
    const auto& servers = servers_for(source, work.model);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        if (server->state != config::server_state::active || !routing::is_learned(*server) ||
            !routing::allows(server->breaker, now) || routing::has_room(*server, now)) {
            return false;
        }
        const auto wait = from_seconds(service / routing::usable_window(*server));
        return now + wait + routing::predict(*server, work, {}).first_token <= work.objective;
    });
}

/// Whether a server asked the holder of a request for a pause.
bool is_paused(const scheduler& source, server_id server, instance_id holder, time_point now) {
    if (source.pauses.empty()) {
        return false;
    }
    const auto found = source.pauses.find({server, holder});
    return found != source.pauses.end() && now < found->second;
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

/// Factor that keeps a request in the failure domain of the instance that dispatches it, unless a
/// server elsewhere is clearly faster. Answers prices on bytes between failure domains.
double distance_factor(const work_item& work, const routing::server_model& server) {
    const auto is_near = work.origin_domain == server.failure_domain;
    const auto is_known =
        work.origin_domain != domain_name_id{} && server.failure_domain != domain_name_id{};
    return is_known && !is_near ? far_server_factor : 1.0;
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
    for (auto* candidate : servers_for(target, work.model)) {
        auto& server = *candidate;
        if (std::find(work.avoid.begin(), work.avoid.end(), server.id) != work.avoid.end() ||
            is_paused(target, server.id, work.id.issuer, now)) {
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
    if (best_after_wait && *best_after_wait < best.finish && may_hold_out(work, now)) {
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

void start(scheduler& target, const admission::queued_item& item, routing::server_model& server,
           const routing::prediction& predicted, time_point now, std::vector<effect>& effects) {
    note_started(target, item, server, predicted, now);
    effects.emplace_back(start_dispatch{.id = item.work.id, .server = server.id});
}

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
        if (prefix_is_underway(target, candidate->work, now)) {
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

} // namespace

void dispatch_ready(scheduler& target, time_point now, std::vector<effect>& effects,
                    const change& since) {
    bound_ejection(target, now);
    expire(target, now, effects);
    std::vector<model_id> exhausted;
    while (const auto model = most_urgent_model(target, exhausted, now)) {
        if (!dispatch_one(target, *model, now, effects, since)) {
            exhausted.push_back(*model);
        }
    }
}

} // namespace tarragonspar::dispatch::detail
