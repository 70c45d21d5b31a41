#include "tarragonspar/dispatch/detail/server_events.hpp"

#include <algorithm>
#include <cmath>

#include "tarragonspar/dispatch/detail/placing.hpp"
#include "tarragonspar/dispatch/detail/shedding.hpp"

namespace tarragonspar::dispatch::detail {

bool has_server(const scheduler& source, const work_item& work) {
    const auto& servers = servers_for(source, work.model);
    return std::any_of(servers.begin(), servers.end(), [&](const auto* server) {
        return server->state == config::server_state::active && routing::may_get(*server, work);
    });
}

std::optional<time_point> backoff_until(const scheduler& source, const work_item& work,
                                        time_point now) {
    if (source.backoffs.empty()) {
        return std::nullopt;
    }
    std::optional<time_point> first;
    for (const auto* server : servers_for(source, work.model)) {
        if (server->state != config::server_state::active || !routing::may_get(*server, work)) {
            continue;
        }
        const auto found = source.backoffs.find({server->id, work.id.issuer});
        if (found == source.backoffs.end() || found->second <= now) {
            return std::nullopt;
        }
        first = std::min(first.value_or(found->second), found->second);
    }
    return first;
}

namespace {

/// Refuses queued requests that no server offers to serve any longer.
void refuse_unservable(scheduler& target, time_point now, std::vector<effect>& effects) {
    std::vector<request_id> unservable;
    for (const auto& [id, model] : target.queued_model) {
        if (!has_server(target, target.pools.at(model).queue.find(id)->work)) {
            unservable.push_back(id);
        }
    }
    for (const auto& id : unservable) {
        const auto item = remove_queued(target, id);
        record_removal(target, item->work, now);
        effects.emplace_back(
            refuse{.id = id, .why = reason::no_server, .retry_after = std::chrono::seconds{1}});
    }
}

/// Requests with one suspected part that may wait for the one that runs. They take places among the
/// candidates that are considered for a free slot.
constexpr std::size_t max_waiting_for_trial = 3;

/// Whether two requests share a prompt part.
bool share_part(const work_item& one, std::uint64_t part) {
    return std::find(one.prompt_parts.begin(), one.prompt_parts.end(), part) !=
           one.prompt_parts.end();
}

} // namespace

bool must_wait_for_trial(const scheduler& source, const work_item& work, time_point now) {
    if (source.suspects.empty()) {
        return false;
    }
    const auto judgement = source.suspects.judge(work.prompt_parts, now);
    return judgement.verdict == prompt_verdict::on_trial &&
           std::any_of(source.running.begin(), source.running.end(), [&](const auto& item) {
               return share_part(item.second.work, judgement.part);
           });
}

bool waits_too_long_for_trial(const scheduler& source, const work_item& work, time_point now) {
    if (!must_wait_for_trial(source, work, now)) {
        return false;
    }
    const auto part = source.suspects.judge(work.prompt_parts, now).part;
    const auto waiting = std::count_if(
        source.queued_model.begin(), source.queued_model.end(), [&](const auto& item) {
            return share_part(source.pools.at(item.second).queue.find(item.first)->work, part);
        });
    return static_cast<std::size_t>(waiting) >= max_waiting_for_trial;
}

void refuse_quarantined(scheduler& target, time_point now, std::vector<effect>& effects) {
    if (target.suspects.quarantined(now) == 0) {
        return;
    }
    std::vector<std::pair<request_id, duration>> refused;
    for (const auto& [id, model] : target.queued_model) {
        const auto& work = target.pools.at(model).queue.find(id)->work;
        if (const auto quarantine = find_quarantine(target, work, now)) {
            target.suspects.record_refusal(quarantine->part);
            refused.emplace_back(id, quarantine->until - now);
        }
    }
    for (const auto& [id, retry_delay] : refused) {
        const auto item = remove_queued(target, id);
        record_removal(target, item->work, now);
        effects.emplace_back(
            refuse{.id = id, .why = reason::quarantined, .retry_after = retry_delay});
    }
}

void record_evidence(scheduler& target, const running_item& item, const ended& input,
                     time_point now, std::vector<effect>& effects) {
    const auto& work = item.work;
    // A complete answer to a prompt has tokens; plain services have none.
    if (input.complete && (input.generated.value > 0 || work.prompt.value == 0)) {
        target.suspects.record_completion(item.server, work.model, work.prompt_parts, item.started,
                                          now);
        return;
    }
    const auto at = target.servers.find(item.server);
    const auto is_leaving =
        at != target.servers.end() && at->second.state != config::server_state::active;
    if (!input.server_lost || is_leaving) {
        return; // a draining server ends by plan
    }
    target.suspects.record_loss({.server = item.server,
                                 .fate = input.fate,
                                 .service = work.model,
                                 .request = work.id,
                                 .parts = work.prompt_parts,
                                 .has_prompt = work.prompt.value > 0,
                                 .started = item.started,
                                 .at = now},
                                now);
    refuse_quarantined(target, now, effects);
}

void handle(scheduler& target, const suspicions_received& input, time_point now,
            std::vector<effect>& effects) {
    target.suspects.merge(input.report, now);
    refuse_quarantined(target, now, effects);
}

void handle(scheduler& target, const reported& input, time_point now, std::vector<effect>&) {
    const auto found = target.servers.find(input.server);
    if (found == target.servers.end() || input.report.made_at < found->second.report.made_at) {
        return;
    }
    found->second.report = input.report;
    routing::on_reported_waiting(found->second.in_flight_window, input.report.waiting,
                                 now - input.report.made_at, now);
}

void handle(scheduler& target, const cache_changed& input, time_point, std::vector<effect>&) {
    const auto found = target.servers.find(input.server);
    if (found == target.servers.end() || !found->second.cache.accept_event(input.sequence)) {
        return;
    }
    found->second.cache.insert(input.stored);
    found->second.cache.evict(input.evicted);
}

namespace {

/// Whether two start times, 0 where they are not known, are those of different runs of a server.
bool has_restarted(std::uint64_t known, std::uint64_t listed) {
    return known != 0 && listed != 0 && known != listed;
}

/// Records the servers that a new list shows to have ended other than by plan.
void record_ends(scheduler& target, const std::vector<config::server>& listed, time_point now) {
    std::map<server_id, std::uint64_t> starts;
    for (const auto& server : listed) {
        starts.emplace(server.id, server.started_at_ms);
    }
    for (const auto& [id, server] : target.servers) {
        const auto found = starts.find(id);
        const auto has_ended =
            found == starts.end() || has_restarted(server.started_at_ms, found->second);
        if (has_ended && server.state == config::server_state::active) {
            target.suspects.record_end(
                {.server = id, .offers = server.offers, .at = now, .from_list = true}, now);
        }
    }
}

} // namespace

void handle(scheduler& target, const ownership_changed& input, time_point now,
            std::vector<effect>& effects) {
    record_ends(target, input.owned, now);
    std::map<server_id, routing::server_model> next;
    for (auto description : input.owned) {
        const auto known = target.servers.find(description.id);
        const auto listed_slots = std::max(1U, description.slots);
        if (target.options.server_share > 0.0) {
            const auto own = std::ceil(listed_slots * target.options.server_share);
            description.slots = std::clamp(static_cast<std::uint32_t>(own), 1U, listed_slots);
        }
        auto model = routing::make_server_model(description);
        model.listed_slots = listed_slots;
        if (known != target.servers.end()) {
            auto kept = std::move(known->second);
            if (has_restarted(kept.started_at_ms, model.started_at_ms)) {
                // Its cache is empty; failures and speeds before the restart tell nothing about it.
                kept.cache = std::move(model.cache);
                kept.breaker = {};
                kept.speed = {};
                kept.slowness = 1.0;
            }
            kept.started_at_ms = model.started_at_ms;
            kept.software = model.software;
            kept.state = model.state;
            kept.offers = std::move(model.offers);
            kept.failure_domain = model.failure_domain;
            kept.hardware_class = std::move(model.hardware_class);
            kept.slots_are_exact = model.slots_are_exact;
            kept.listed_slots = model.listed_slots;
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
    for (const auto& limit : input.limits) {
        target.limits.emplace(workspace_id{hash_name(limit.workspace)}, limit.max_in_system);
    }
    refuse_unservable(target, now, effects);
    refuse_quarantined(target, now, effects);
    dispatch_ready(target, now, effects);
}

void handle(scheduler& target, const server_draining& input, time_point now,
            std::vector<effect>& effects) {
    const auto found = target.servers.find(input.server);
    if (found == target.servers.end()) {
        return;
    }
    found->second.state = config::server_state::draining;
    refuse_unservable(target, now, effects);
}

void handle(scheduler& target, const server_backoff& input, time_point now,
            std::vector<effect>& effects) {
    std::erase_if(target.backoffs, [&](const auto& item) { return item.second <= now; });
    target.backoffs.insert_or_assign({input.server, input.dispatcher}, input.until);
    std::vector<std::pair<request_id, duration>> refused;
    for (const auto& [id, model] : target.queued_model) {
        if (id.issuer != input.dispatcher) {
            continue;
        }
        const auto until = backoff_until(target, target.pools.at(model).queue.find(id)->work, now);
        if (until) {
            refused.emplace_back(id, *until - now);
        }
    }
    for (const auto& [id, retry_delay] : refused) {
        const auto item = remove_queued(target, id);
        record_removal(target, item->work, now);
        effects.emplace_back(
            refuse{.id = id, .why = reason::overloaded, .retry_after = retry_delay});
    }
}

} // namespace tarragonspar::dispatch::detail
