#include "world.hpp"

#include <algorithm>

namespace tarragonspar::bench {

namespace {

/// Pause between two load reports of an engine.
constexpr duration report_interval = std::chrono::milliseconds{250};

} // namespace

world::world(const scenario& what, policy& how) : scenario_(what), policy_(how) {
    for (const auto& engine : what.engines) {
        engines_.push_back({.model = emulator::engine(engine.options)});
    }
    for (const auto& request : what.requests) {
        by_id_.emplace(request.work.id, &request);
        push(request.work.arrival, event_kind::arrival, 0, request.work.id);
        push(request.work.deadline, event_kind::deadline, 0, request.work.id);
    }
    for (std::size_t i = 0; i < what.incidents.size(); ++i) {
        push(what.incidents[i].at, event_kind::incident, i);
    }
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        push(time_point{report_interval * (i + 1) / engines_.size()}, event_kind::report, i);
    }
    open_ = what.requests.size();
}

void world::push(time_point at, event_kind kind, std::uint64_t subject, request_id id,
                 std::uint64_t detail) {
    events_.push({.at = at,
                  .order = ++order_,
                  .kind = kind,
                  .subject = subject,
                  .request = id,
                  .detail = detail});
}

run_result world::run() {
    policy_.on_start(*this);
    while (open_ > 0 && !events_.empty()) {
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

void world::handle(const event& what) {
    switch (what.kind) {
    case event_kind::arrival: {
        const auto& request = *by_id_.at(what.request);
        ++tier_of(request).offered;
        policy_.on_arrival(*this, request);
        break;
    }
    case event_kind::engine_receives:
        receive(what);
        break;
    case event_kind::engine_step:
        if (engines_[what.subject].step_scheduled == what.at) {
            step_engine(what.subject);
        }
        break;
    case event_kind::deadline:
        on_deadline(what.request);
        break;
    case event_kind::report: {
        const auto index = what.subject;
        if (what.detail == 0) {
            const auto number = ++report_number_;
            reports_[{index, number}] = {.running = engines_[index].model.running(),
                                         .waiting = engines_[index].model.waiting(),
                                         .made_at = now_};
            push(now_ + scenario_.report_lag, event_kind::report, index, {}, number);
            push(now_ + report_interval, event_kind::report, index);
        } else {
            const auto found = reports_.find({index, what.detail});
            if (engines_[index].alive) {
                policy_.on_report(*this, index, found->second);
            }
            reports_.erase(found);
        }
        break;
    }
    case event_kind::cache_event: {
        const auto found = cache_changes_.find({what.subject, what.detail});
        policy_.on_cache_event(*this, what.subject, what.detail, found->second);
        cache_changes_.erase(found);
        break;
    }
    case event_kind::incident:
        on_incident(scenario_.incidents[what.subject]);
        break;
    case event_kind::timer:
        policy_.on_timer(*this, what.subject);
        break;
    }
}

tier_result& world::tier_of(const trial_request& request) {
    return result_.tiers[request.work.urgency.value];
}

void world::set_timer(duration after, std::uint64_t tag) {
    push(now_ + after, event_kind::timer, tag);
}

bool world::connected(std::size_t domain_a, std::size_t domain_b) const {
    return domain_a == domain_b || (!parted_.contains(domain_a) && !parted_.contains(domain_b));
}

void world::dispatch(const trial_request& request, std::size_t engine, std::size_t from) {
    ++engines_[engine].in_flight;
    push(now_ + scenario_.hop, event_kind::engine_receives, engine, request.work.id, from);
}

void world::receive(const event& what) {
    const auto& request = *by_id_.at(what.request);
    auto& engine = engines_[what.subject];
    const auto from = scenario_.instance_domain[what.detail];
    auto& own_fate = fates_[what.request];
    const auto reachable = engine.alive && connected(from, scenario_.engines[what.subject].domain);
    if (!reachable || own_fate.settled) {
        --engine.in_flight;
        policy_.on_dispatch_failed(*this, request, what.subject);
        return;
    }
    own_fate.dispatched = true;
    own_fate.engine = what.subject;
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
    schedule_step(what.subject);
}

void world::schedule_step(std::size_t index) {
    const auto next = engines_[index].model.next_step();
    if (next && engines_[index].step_scheduled != *next) {
        engines_[index].step_scheduled = *next;
        push(*next, event_kind::engine_step, index);
    }
}

void world::step_engine(std::size_t index) {
    auto& engine = engines_[index];
    if (!engine.model.next_step() || *engine.model.next_step() > now_) {
        schedule_step(index);
        return;
    }
    std::vector<emulator::progress> progress;
    engine.model.run_step(now_, progress);
    for (const auto& item : progress) {
        take_progress(index, item);
    }
    take_cache_change(index);
    schedule_step(index);
}

void world::take_progress(std::size_t index, const emulator::progress& what) {
    const auto& request = *by_id_.at(what.id);
    auto& own_fate = fates_[what.id];
    if (what.kind == emulator::progress_kind::first_token) {
        own_fate.first_token = now_;
        result_.ttft_seconds.push_back(to_seconds(now_ - request.work.arrival));
        policy_.on_first_token(*this, request, index, what.cached);
        return;
    }
    if (what.kind == emulator::progress_kind::token) {
        policy_.on_token(*this, request, index, what.generated);
        return;
    }
    --engines_[index].in_flight;
    if (!own_fate.settled) {
        own_fate.settled = true;
        --open_;
        ++tier_of(request).in_time;
        if (what.generated.value > 1) {
            result_.tbt_seconds.push_back(to_seconds(now_ - own_fate.first_token) /
                                          (what.generated.value - 1));
        }
    }
    policy_.on_end(*this, request, index, true);
}

void world::take_cache_change(std::size_t index) {
    auto change = engines_[index].model.take_cache_change();
    if (change.stored.empty() && change.evicted.empty()) {
        return;
    }
    const auto sequence = ++engines_[index].cache_sequence;
    const auto every = scenario_.drop_cache_event_every;
    if (every != 0 && sequence % every == 0) {
        return;
    }
    cache_changes_[{index, sequence}] = std::move(change);
    push(now_ + scenario_.cache_event_lag, event_kind::cache_event, index, {}, sequence);
}

void world::refuse(const trial_request& request, refusal why) {
    auto& own_fate = fates_[request.work.id];
    if (own_fate.settled) {
        return;
    }
    own_fate.settled = true;
    --open_;
    if (why == refusal::shed) {
        ++tier_of(request).shed;
    } else {
        ++tier_of(request).expired;
    }
}

void world::on_deadline(const request_id& id) {
    auto& own_fate = fates_[id];
    if (own_fate.settled) {
        return;
    }
    const auto& request = *by_id_.at(id);
    own_fate.settled = true;
    --open_;
    if (!own_fate.dispatched) {
        ++tier_of(request).expired;
        policy_.on_end(*this, request, scenario_.engines.size(), false);
        return;
    }
    ++tier_of(request).late;
    if (engines_[own_fate.engine].model.cancel(id)) {
        --engines_[own_fate.engine].in_flight;
        policy_.on_end(*this, request, own_fate.engine, false);
    }
}

void world::kill_engine(std::size_t index) {
    auto& engine = engines_[index];
    engine.alive = false;
    engine.model.crash();
    std::vector<const trial_request*> cut;
    for (const auto& request : scenario_.requests) {
        const auto found = fates_.find(request.work.id);
        if (found != fates_.end() && !found->second.settled && found->second.dispatched &&
            found->second.engine == index) {
            cut.push_back(&request);
        }
    }
    for (const auto* request : cut) {
        fates_[request->work.id].settled = true;
        --open_;
        --engine.in_flight;
        ++tier_of(*request).lost;
        policy_.on_end(*this, *request, index, false);
    }
}

void world::on_incident(const incident& what) {
    switch (what.kind) {
    case incident_kind::engine_dies:
        kill_engine(what.subject);
        break;
    case incident_kind::engine_returns:
        engines_[what.subject].alive = true;
        break;
    case incident_kind::engine_slows:
        engines_[what.subject].model.set_slowness(what.factor);
        break;
    case incident_kind::domain_parts:
        parted_.insert(what.subject);
        break;
    case incident_kind::domain_heals:
        parted_.erase(what.subject);
        break;
    }
}

} // namespace tarragonspar::bench
