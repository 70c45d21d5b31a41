#include "tarragonspar/dispatch/detail/shedding.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonspar::dispatch::detail {

namespace {

/// Quantile of the answer length for the best case.
constexpr double optimistic_quantile = 0.05;
/// Maximum number of transfers of one request between owners.
constexpr std::uint8_t max_transfers = 2;
/// Weight of a saved prefill compared with a wait: it also saves the engine's capacity.
constexpr int affinity_weight = 8;
/// Digests older than this are ignored.
constexpr duration max_digest_age = std::chrono::seconds{2};
/// Maximum number of transfers per tick, so that a peer's digest does not become too inaccurate.
constexpr int max_transfers_per_tick = 16;

/// Removes a request from its queue and all counts, and refuses it. The id is passed by value,
/// since the caller's may belong to the queued item.
void refuse_queued(scheduler& target, request_id id, reason why, time_point now,
                   std::vector<effect>& effects) {
    const auto model = target.queued_model.at(id);
    auto retry_delay = retry_after(target, target.pools.at(model), model);
    if (target.options.retry_share > 0.0 && why == reason::overloaded) {
        // Load beyond the capacity of all servers lasts for seconds; an earlier retry would meet it
        // again.
        const auto& work = target.pools.at(model).queue.find(id)->work;
        retry_delay =
            std::max(target.options.min_retry_after,
                     from_seconds(to_seconds(work.deadline - now) * target.options.retry_share));
    }
    // `withdrawn` also updates the per-workspace and top-tier counts.
    std::vector<effect> none;
    step(target, withdrawn{.id = id}, now, none);
    effects.emplace_back(refuse{.id = id, .why = why, .retry_after = retry_delay});
}

void transfer_queued(scheduler& target, request_id id, instance_id peer, time_point now,
                     std::vector<effect>& effects) {
    std::vector<effect> none;
    step(target, withdrawn{.id = id}, now, none);
    effects.emplace_back(transfer{.id = id, .peer = peer});
}

/// Returns the largest prefill time that a request's cached prefix saves on an owned server.
duration prefill_saved(const scheduler& source, const work_item& work) {
    double best = 0.0;
    for (const auto* server : servers_for(source, work.model)) {
        const auto cached = static_cast<double>(server->cache.match(work.blocks) * block_tokens);
        best = std::max(best, cached / server->speed.prefill_tokens_per_second);
    }
    return from_seconds(best);
}

/// Whether the deadline is too close even for an idle server with a warm cache.
bool is_unattainable(const scheduler& source, const work_item& work, time_point now) {
    if (continues(work)) {
        return false; // predictions are for the whole answer
    }
    const auto output =
        source.lengths.predict(work.profile, work.workspace, work.max_output, optimistic_quantile);
    const auto left = work.deadline - now;
    const auto may_finish = [&](const routing::server_model* server) {
        return routing::may_get(*server, work) &&
               (!routing::has_speed_estimate(*server) ||
                routing::is_estimate_unverified(*server, now) ||
                routing::best_case(*server, work, output) <= left);
    };
    const auto& servers = servers_for(source, work.model);
    return !source.servers.empty() && std::none_of(servers.begin(), servers.end(), may_finish);
}

/// Returns the peer with the most free slots for a model, or one whose queued requests for it are
/// less urgent than `urgency`.
std::optional<instance_id> find_transfer_peer(const scheduler& source, model_id model,
                                              std::optional<tier> urgency, time_point now) {
    std::optional<instance_id> best;
    std::uint32_t best_free = 0;
    for (const auto& [id, peer] : source.peers) {
        if (now - peer.last_seen > max_digest_age) {
            continue;
        }
        const auto found = peer.models.find(model);
        if (found == peer.models.end()) {
            continue;
        }
        const auto& digest = found->second;
        const auto has_less_urgent =
            urgency && digest.lowest_kept && *digest.lowest_kept > *urgency && digest.slots > 0;
        const auto free = digest.queued == 0 ? digest.free_slots : 0;
        if (free == 0 && !has_less_urgent) {
            continue;
        }
        if (!best || free > best_free) {
            best = id;
            best_free = free;
        }
    }
    return best;
}

void record_transfer(scheduler& target, instance_id peer, model_id model) {
    auto& digest = target.peers.at(peer).models.at(model);
    digest.free_slots -= std::min(digest.free_slots, 1U);
    if (digest.free_slots == 0) {
        ++digest.queued;
    }
}

/// Transfers a request if some peer can serve it sooner.
bool try_transfer(scheduler& target, const admission::queued_item& item, bool before_shedding,
                  time_point now, std::vector<effect>& effects) {
    if (!target.options.transfer_to_peers || item.work.transfers >= max_transfers) {
        return false;
    }
    const auto model = item.work.model;
    const auto urgency = before_shedding ? std::optional{item.work.urgency} : std::nullopt;
    const auto peer = find_transfer_peer(target, model, urgency, now);
    if (!peer) {
        return false;
    }
    record_transfer(target, *peer, model);
    transfer_queued(target, item.work.id, *peer, now, effects);
    return true;
}

/// @brief Returns the requests of a pool's least urgent tier to reject so that the others finish in
/// time.
///
/// Visits the tier in order of deadlines. Whenever the work before a deadline exceeds the remaining
/// time, the largest request so far is rejected (the Moore-Hodgson algorithm, which minimises the
/// number of late requests on one machine).
std::vector<request_id> find_infeasible(const scheduler& source, const model_pool& pool,
                                        model_id model, tier lowest, time_point now) {
    const auto slots = static_cast<double>(std::max(1U, total_slots(source, model)));
    double ahead = 0.0;
    for (std::uint8_t level = 0; level < lowest.value; ++level) {
        pool.queue.for_each({level}, [&](const auto& item) { ahead += item.cost_seconds; });
    }
    std::vector<std::pair<double, request_id>> kept;
    std::vector<request_id> rejected;
    pool.queue.for_each(lowest, [&](const admission::queued_item& item) {
        ahead += item.cost_seconds;
        if (!continues(item.work)) {
            kept.emplace_back(item.cost_seconds, item.work.id);
            std::push_heap(kept.begin(), kept.end());
        }
        const auto finish = (ahead - item.cost_seconds) / slots + item.cost_seconds;
        if (kept.empty() || finish <= to_seconds(item.work.deadline - now)) {
            return;
        }
        std::pop_heap(kept.begin(), kept.end());
        ahead -= kept.back().first;
        rejected.push_back(kept.back().second);
        kept.pop_back();
    });
    return rejected;
}

/// Returns the least urgent tier with queued requests in any pool.
std::optional<tier> lowest_waiting(const scheduler& source) {
    std::optional<tier> lowest;
    for (const auto& [model, pool] : source.pools) {
        const auto here = pool.queue.lowest_tier();
        if (here && (!lowest || *here > *lowest)) {
            lowest = here;
        }
    }
    return lowest;
}

} // namespace

const std::vector<routing::server_model*>& servers_for(const scheduler& source, model_id model) {
    static const std::vector<routing::server_model*> none;
    const auto found = source.offering.find(model);
    return found == source.offering.end() ? none : found->second.list;
}

std::uint32_t total_slots(const scheduler& source, model_id model) {
    std::uint32_t slots = 0;
    for (const auto* server : servers_for(source, model)) {
        if (server->state != config::server_state::active) {
            continue;
        }
        auto window = routing::usable_window(*server);
        if (const auto limit = source.limits_named.find(server->id)) {
            // The slots that requests at this rate occupy.
            const auto pool = source.pools.find(model);
            const auto seconds = pool == source.pools.end() ? 1.0 : pool->second.service_seconds;
            const auto occupied = std::ceil(std::min<double>(window, *limit * seconds));
            window = std::max(1U, static_cast<std::uint32_t>(occupied));
        }
        slots += window;
    }
    return slots;
}

double service_seconds(const scheduler& source, const work_item& work) {
    const auto output = source.lengths.predict(work.profile, work.workspace, work.max_output,
                                               source.options.length_quantile);
    double best = 0.0;
    for (const auto* server : servers_for(source, work.model)) {
        const auto seconds = to_seconds(routing::best_case(*server, work, output));
        if (best == 0.0 || seconds < best) {
            best = seconds;
        }
    }
    return best;
}

duration retry_after(const scheduler& source, const model_pool& pool, model_id model) {
    const auto slots = std::max(1U, total_slots(source, model));
    const auto wait = from_seconds(pool.queue.work_ahead({tier_count - 1}) / slots);
    return std::clamp(wait, source.options.min_retry_after, source.options.max_retry_after);
}

std::optional<admission::queued_item> remove_queued(scheduler& target, const request_id& id) {
    const auto found = target.queued_model.find(id);
    if (found == target.queued_model.end()) {
        return std::nullopt;
    }
    auto item = target.pools.at(found->second).queue.erase(id);
    target.queued_model.erase(found);
    return item;
}

void expire(scheduler& target, time_point now, std::vector<effect>& effects) {
    for (auto& [model, pool] : target.pools) {
        while (const auto* first = pool.queue.earliest_deadline()) {
            const auto unattainable =
                first->work.deadline <= now ||
                (target.options.refuse_infeasible && is_unattainable(target, first->work, now));
            if (!unattainable) {
                break;
            }
            refuse_queued(target, first->work.id, reason::deadline_passed, now, effects);
        }
    }
}

namespace {

duration late_tolerance(const scheduler& source, const work_item& work) {
    return from_seconds(to_seconds(work.objective - work.arrival) * source.options.late_tolerance);
}

/// Whether a request has waited longer than its objective tolerates. That of a request that
/// continues was for its first event, so its length counts from the moment at which it was queued.
bool is_late(const scheduler& source, const admission::queued_item& item, time_point now) {
    const auto& work = item.work;
    if (work.objective == time_point{}) {
        return false;
    }
    const auto allowed = work.objective - work.arrival + late_tolerance(source, work);
    return now > (continues(work) ? item.queued_at : work.arrival) + allowed;
}

/// Whether requests of a more urgent tier are late, so that less urgent ones must give way.
bool has_late_above(const scheduler& source, const model_pool& pool, tier lowest, time_point now) {
    bool found = false;
    for (std::uint8_t level = 0; level < lowest.value; ++level) {
        pool.queue.for_each({level}, [&](const admission::queued_item& item) {
            found = found || is_late(source, item, now);
        });
    }
    return found;
}

/// Returns the longest predicted wait with which a request stays queued.
double max_wait(const scheduler& source, const work_item& work) {
    const auto& options = source.options;
    if (options.max_wait_share <= 0.0 || work.objective == time_point{}) {
        return options.max_wait_seconds;
    }
    return to_seconds(work.objective - work.arrival) * options.max_wait_share;
}

/// Returns the predicted time to serve all queued requests of a model. Their costs are predictions
/// for the fastest idle server, so they are scaled by the observed service times.
double predicted_wait(const scheduler& source, const model_pool& pool, model_id model) {
    const auto slots = static_cast<double>(std::max(1U, total_slots(source, model)));
    const auto slowdown = std::max(1.0, pool.service_seconds / std::max(1e-3, pool.cost_seconds));
    return pool.queue.work_ahead({tier_count - 1}) * slowdown / slots;
}

} // namespace

void refuse_late(scheduler& target, time_point now, std::vector<effect>& effects) {
    if (target.options.late_tolerance <= 0.0) {
        return;
    }
    std::vector<request_id> late;
    for (auto& [model, pool] : target.pools) {
        // A more urgent tier is not shed while a less urgent one is queued.
        const auto lowest = pool.queue.lowest_tier();
        if (!lowest) {
            continue;
        }
        const auto crowded = has_late_above(target, pool, *lowest, now);
        pool.queue.for_each(*lowest, [&](const admission::queued_item& item) {
            if (is_late(target, item, now) || (crowded && continues(item.work))) {
                late.push_back(item.work.id);
            }
        });
    }
    for (const auto& id : late) {
        refuse_queued(target, id, reason::overloaded, now, effects);
    }
}

void shed_infeasible(scheduler& target, time_point now, std::vector<effect>& effects) {
    const auto lowest = lowest_waiting(target);
    if (!target.options.refuse_infeasible || !lowest) {
        return;
    }
    // The queues of peers are known only with a delay, so requests are shed on a prediction only in
    // the last tier; others wait until they are dispatched or their deadline can't be met.
    const auto may_shed = lowest->value == tier_count - 1;
    for (auto& [model, pool] : target.pools) {
        if (pool.queue.size(*lowest) == 0) {
            continue;
        }
        for (const auto& id : find_infeasible(target, pool, model, *lowest, now)) {
            const auto* item = pool.queue.find(id);
            if (try_transfer(target, *item, true, now, effects) || !may_shed) {
                continue;
            }
            refuse_queued(target, id, reason::overloaded, now, effects);
        }
    }
}

void offload(scheduler& target, time_point now, std::vector<effect>& effects) {
    if (!target.options.transfer_to_peers || target.peers.empty()) {
        return;
    }
    int moved = 0;
    for (auto& [model, pool] : target.pools) {
        const auto slots = std::max(1U, total_slots(target, model));
        while (moved < max_transfers_per_tick) {
            const auto* head = pool.queue.peek();
            if (head == nullptr) {
                break;
            }
            const auto waited = now - head->work.arrival;
            const auto wait = from_seconds(pool.queue.work_ahead({tier_count - 1}) / slots);
            const auto threshold =
                target.options.transfer_wait + affinity_weight * prefill_saved(target, head->work);
            if (std::max(waited, wait) < threshold) {
                break;
            }
            if (!try_transfer(target, *head, false, now, effects)) {
                break;
            }
            ++moved;
        }
    }
}

void shed_first_candidate(scheduler& target, time_point now, std::vector<effect>& effects) {
    const auto lowest = lowest_waiting(target);
    const admission::queued_item* chosen = nullptr;
    const auto shed_before = [](const admission::queued_item& a, const admission::queued_item& b) {
        return continues(a.work) == continues(b.work) ? a.cost_seconds > b.cost_seconds
                                                      : continues(b.work);
    };
    for (const auto& [model, pool] : target.pools) {
        if (!lowest || pool.queue.size(*lowest) == 0) {
            continue;
        }
        const auto* candidate = pool.queue.first_to_shed(shed_before);
        if (chosen == nullptr || shed_before(*candidate, *chosen)) {
            chosen = candidate;
        }
    }
    if (chosen == nullptr || try_transfer(target, *chosen, true, now, effects)) {
        return;
    }
    refuse_queued(target, chosen->work.id, reason::overloaded, now, effects);
}

void bound_wait(scheduler& target, model_id model, time_point now, std::vector<effect>& effects) {
    if (target.options.max_wait_seconds <= 0.0) {
        return;
    }
    const auto& pool = target.pools.at(model);
    while (pool.queue.size() > 1) {
        const auto* last_new = pool.queue.latest_due_new();
        if (last_new == nullptr ||
            predicted_wait(target, pool, model) <= max_wait(target, last_new->work)) {
            return;
        }
        const auto id = pool.queue.latest_due_of_lowest_tier()->work.id;
        refuse_queued(target, id, reason::overloaded, now, effects);
    }
}

void drain_queue(scheduler& target, time_point now, std::vector<effect>& effects) {
    std::vector<std::pair<request_id, model_id>> waiting(target.queued_model.begin(),
                                                         target.queued_model.end());
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [id, model] : waiting) {
        std::optional<instance_id> recipient;
        for (const auto& [peer_id, peer] : target.peers) {
            const auto found = peer.models.find(model);
            if (found != peer.models.end() && found->second.slots > 0) {
                recipient = peer_id;
                if (found->second.free_slots > 0) {
                    break;
                }
            }
        }
        if (recipient) {
            record_transfer(target, *recipient, model);
            transfer_queued(target, id, *recipient, now, effects);
        } else {
            refuse_queued(target, id, reason::shutting_down, now, effects);
        }
    }
}

} // namespace tarragonspar::dispatch::detail
