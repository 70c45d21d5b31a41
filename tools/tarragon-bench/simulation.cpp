#include "simulation.hpp"

#include <algorithm>

namespace tarragonspar::bench {

namespace {

/// Interval between two load reports of an engine.
constexpr duration report_interval = std::chrono::milliseconds{250};

} // namespace

simulation::simulation(const scenario& definition, policy& tested_policy)
    : scenario_(definition), policy_(tested_policy) {
    for (const auto& engine : definition.engines) {
        engines_.push_back({.model = emulator::engine(engine.options)});
    }
    for (const auto& request : definition.requests) {
        by_id_.emplace(request.work.id, &request);
        push(request.work.arrival, event_kind::arrival, 0, request.work.id);
        push(request.work.deadline, event_kind::deadline, 0, request.work.id);
    }
    for (std::size_t i = 0; i < definition.incidents.size(); ++i) {
        push(definition.incidents[i].at, event_kind::incident, i);
    }
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        push(time_point{report_interval * (i + 1) / engines_.size()}, event_kind::report, i);
    }
    open_requests_ = definition.requests.size();
}

void simulation::push(time_point at, event_kind kind, std::uint64_t subject, request_id id,
                      std::uint64_t detail) {
    events_.push({.at = at,
                  .order = ++event_order_,
                  .kind = kind,
                  .subject = subject,
                  .request = id,
                  .detail = detail});
}

run_result simulation::run() {
    policy_.on_start(*this);
    while (open_requests_ > 0 && !events_.empty()) {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        handle(next);
    }
    for (const auto& engine : engines_) {
        const auto& totals = engine.model.totals();
        result_.prefill_tokens += totals.computed_prefill;
        result_.wasted_prefill_tokens += totals.wasted_prefill;
        result_.prefix_hit_tokens += totals.cached_prefill;
    }
    return std::move(result_);
}

void simulation::handle(const event& next) {
    switch (next.kind) {
    case event_kind::arrival: {
        const auto& request = *by_id_.at(next.request);
        ++tier_of(request).offered;
        policy_.on_arrival(*this, request);
        break;
    }
    case event_kind::engine_receives:
        receive(next);
        break;
    case event_kind::engine_step:
        // A step that has been rescheduled since is skipped.
        if (engines_[next.subject].step_scheduled == next.at) {
            step_engine(next.subject);
        }
        break;
    case event_kind::deadline:
        on_deadline(next.request);
        break;
    case event_kind::report: {
        const auto index = next.subject;
        // Detail 0 creates a report; any other number delivers the report with that number.
        if (next.detail == 0) {
            const auto number = ++report_number_;
            reports_[{index, number}] = {.running = engines_[index].model.running(),
                                         .waiting = engines_[index].model.waiting(),
                                         .made_at = now_};
            push(now_ + scenario_.report_lag, event_kind::report, index, {}, number);
            push(now_ + report_interval, event_kind::report, index);
        } else {
            const auto found = reports_.find({index, next.detail});
            if (engines_[index].alive) {
                policy_.on_report(*this, index, found->second);
            }
            reports_.erase(found);
        }
        break;
    }
    case event_kind::cache_event: {
        const auto found = cache_changes_.find({next.subject, next.detail});
        policy_.on_cache_event(*this, next.subject, next.detail, found->second);
        cache_changes_.erase(found);
        break;
    }
    case event_kind::incident:
        on_incident(scenario_.incidents[next.subject]);
        break;
    case event_kind::timer:
        policy_.on_timer(*this, next.subject);
        break;
    }
}

tier_result& simulation::tier_of(const simulated_request& request) {
    return result_.tiers[request.work.urgency.value];
}

void simulation::set_timer(duration after, std::uint64_t tag) {
    push(now_ + after, event_kind::timer, tag);
}

bool simulation::connected(std::size_t domain_a, std::size_t domain_b) const {
    return domain_a == domain_b ||
           (!partitioned_domains_.contains(domain_a) && !partitioned_domains_.contains(domain_b));
}

void simulation::dispatch(const simulated_request& request, std::size_t engine, std::size_t from) {
    ++engines_[engine].in_flight;
    push(now_ + scenario_.hop_delay, event_kind::engine_receives, engine, request.work.id, from);
}

void simulation::receive(const event& submission) {
    const auto& request = *by_id_.at(submission.request);
    auto& engine = engines_[submission.subject];
    const auto from = scenario_.instance_domain[submission.detail];
    auto& state = request_states_[submission.request];
    const auto reachable =
        engine.alive && connected(from, scenario_.engines[submission.subject].domain);
    if (!reachable || state.has_outcome) {
        --engine.in_flight;
        policy_.on_dispatch_failed(*this, request, submission.subject);
        return;
    }
    state.dispatched = true;
    state.engine = submission.subject;
    std::size_t best = 0;
    for (const auto& other : engines_) {
        best = std::max(best, other.alive ? other.model.cached_blocks(request.work.blocks) : 0);
    }
    result_.oracle_hit_tokens += best * block_tokens;
    engine.model.submit({.id = request.work.id,
                         .prompt = request.work.prompt,
                         .output = request.output,
                         .blocks = request.work.blocks},
                        now_);
    schedule_step(submission.subject);
}

void simulation::schedule_step(std::size_t index) {
    const auto next = engines_[index].model.next_step();
    if (next && engines_[index].step_scheduled != *next) {
        engines_[index].step_scheduled = *next;
        push(*next, event_kind::engine_step, index);
    }
}

void simulation::step_engine(std::size_t index) {
    auto& engine = engines_[index];
    if (!engine.model.next_step() || *engine.model.next_step() > now_) {
        schedule_step(index);
        return;
    }
    std::vector<emulator::progress> progress;
    engine.model.run_step(now_, progress);
    for (const auto& item : progress) {
        handle_progress(index, item);
    }
    publish_cache_change(index);
    schedule_step(index);
}

void simulation::handle_progress(std::size_t index, const emulator::progress& update) {
    const auto& request = *by_id_.at(update.id);
    auto& state = request_states_[update.id];
    if (update.kind == emulator::progress_kind::first_token) {
        state.first_token = now_;
        result_.ttft_seconds.push_back(to_seconds(now_ - request.work.arrival));
        policy_.on_first_token(*this, request, index, update.cached);
        return;
    }
    if (update.kind == emulator::progress_kind::token) {
        policy_.on_token(*this, request, index, update.generated);
        return;
    }
    --engines_[index].in_flight;
    if (!state.has_outcome) {
        state.has_outcome = true;
        --open_requests_;
        ++tier_of(request).in_time;
        if (update.generated.value > 1) {
            result_.tbt_seconds.push_back(to_seconds(now_ - state.first_token) /
                                          (update.generated.value - 1));
        }
    }
    policy_.on_end(*this, request, index, true);
}

void simulation::publish_cache_change(std::size_t index) {
    auto change = engines_[index].model.drain_cache_changes();
    if (change.stored.empty() && change.evicted.empty()) {
        return;
    }
    const auto sequence = ++engines_[index].cache_sequence;
    const auto drop_interval = scenario_.drop_cache_event_every;
    if (drop_interval != 0 && sequence % drop_interval == 0) {
        return;
    }
    cache_changes_[{index, sequence}] = std::move(change);
    push(now_ + scenario_.cache_event_lag, event_kind::cache_event, index, {}, sequence);
}

void simulation::refuse(const simulated_request& request, refusal why) {
    auto& state = request_states_[request.work.id];
    if (state.has_outcome) {
        return;
    }
    state.has_outcome = true;
    --open_requests_;
    if (why == refusal::shed) {
        ++tier_of(request).shed;
    } else {
        ++tier_of(request).expired;
    }
}

void simulation::on_deadline(const request_id& id) {
    auto& state = request_states_[id];
    if (state.has_outcome) {
        return;
    }
    const auto& request = *by_id_.at(id);
    state.has_outcome = true;
    --open_requests_;
    if (!state.dispatched) {
        ++tier_of(request).expired;
        policy_.on_end(*this, request, scenario_.engines.size(), false);
        return;
    }
    ++tier_of(request).late;
    if (engines_[state.engine].model.cancel(id)) {
        --engines_[state.engine].in_flight;
        policy_.on_end(*this, request, state.engine, false);
    }
}

void simulation::fail_engine(std::size_t index) {
    auto& engine = engines_[index];
    engine.alive = false;
    engine.model.crash();
    std::vector<const simulated_request*> interrupted;
    for (const auto& request : scenario_.requests) {
        const auto found = request_states_.find(request.work.id);
        if (found != request_states_.end() && !found->second.has_outcome &&
            found->second.dispatched && found->second.engine == index) {
            interrupted.push_back(&request);
        }
    }
    for (const auto* request : interrupted) {
        request_states_[request->work.id].has_outcome = true;
        --open_requests_;
        --engine.in_flight;
        ++tier_of(*request).lost;
        policy_.on_end(*this, *request, index, false);
    }
}

void simulation::on_incident(const incident& item) {
    switch (item.kind) {
    case incident_kind::engine_failure:
        fail_engine(item.subject);
        break;
    case incident_kind::engine_recovery:
        engines_[item.subject].alive = true;
        break;
    case incident_kind::engine_slowdown:
        engines_[item.subject].model.set_slowness(item.factor);
        break;
    case incident_kind::domain_partition:
        partitioned_domains_.insert(item.subject);
        break;
    case incident_kind::domain_reconnection:
        partitioned_domains_.erase(item.subject);
        break;
    }
}

} // namespace tarragonspar::bench
