#include "tarragonspar/gateway/grant_service.hpp"

#include <string_view>
#include <utility>

#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

using runtime::now;

namespace {

/// Interval between two checks of the waiting requests: short compared with latency objectives of
/// some hundred milliseconds. The timer does not run while no request waits.
constexpr auto tick_interval = std::chrono::milliseconds{25};
/// Lines about prompt parts in a second; the loss of a few servers makes hundreds of parts
/// suspects.
constexpr std::uint32_t max_suspicion_lines = 10;

std::string_view event_name(dispatch::suspicion_change::kind what) {
    using kind = dispatch::suspicion_change::kind;
    switch (what) {
    case kind::suspected:
        return "part_suspected";
    case kind::quarantined:
        return "part_quarantined";
    case kind::lifted:
        return "part_quarantine_lifted";
    case kind::cleared:
        return "part_cleared";
    }
    return "part_cleared";
}

} // namespace

grant_service::grant_service(boost::asio::io_context& context, double choice_noise)
    : timer_(context) {
    scheduler_.decisions.options.choice_noise = choice_noise;
}

void grant_service::set_servers(const std::vector<config::server>& servers) {
    std::vector<dispatch::decision> results;
    dispatch::set_servers(scheduler_, servers, now(), results);
    deliver(results);
}

void grant_service::set_shares(double slots, double server_slots) {
    scheduler_.decisions.options.slots_share = slots;
    scheduler_.decisions.options.server_share = server_slots;
    set_request_limit_share(slots);
    scheduler_.decisions.suspects.set_complete_since(std::nullopt);
}

void grant_service::begin_to_grant_all() {
    scheduler_.decisions.suspects.set_complete_since(now());
}

void grant_service::set_quotas(const config::catalogue& from,
                               const admission::quota_tolerance& tolerance, double share) {
    std::unordered_map<workspace_id, admission::quota_limit> limits;
    for (const auto& item : from.workspaces) {
        if (item.quota.units_per_second > 0.0) {
            auto limit = admission::apply_tolerance(
                {.units_per_second = item.quota.units_per_second, .burst = item.quota.burst},
                tolerance);
            limit.units_per_second *= share;
            limit.burst *= share;
            limits.emplace(workspace_id{hash_name(item.name)}, limit);
        }
    }
    admission::set_limits(scheduler_.quotas, limits, now());
}

void grant_service::ask(const work_item& work, dispatch::previous_grant previous,
                        dispatch::server_fate fate, reply answer) {
    pending_replies_.insert_or_assign(work.id, std::move(answer));
    std::vector<dispatch::decision> results;
    dispatch::ask(scheduler_, work, previous, now(), results, fate);
    deliver(results);
}

void grant_service::record(const dispatch::grant_update& update) {
    if (update.kind == dispatch::grant_update::stage::withdrawn) {
        if (const auto found = pending_replies_.find(update.id); found != pending_replies_.end()) {
            const auto answer = std::move(found->second);
            pending_replies_.erase(found);
            answer(dispatch::refusal{.why = reason::caller_gone, .retry_after = {}});
        }
    }
    std::vector<dispatch::decision> results;
    dispatch::record(scheduler_, update, now(), results);
    deliver(results);
}

bool grant_service::record(const dispatch::server_notice& notice) {
    std::vector<dispatch::decision> results;
    const auto is_new = dispatch::record(scheduler_, notice, now(), results);
    deliver(results);
    return is_new;
}

bool grant_service::record_limit(server_id server, std::optional<double> per_second,
                                 time_point sent) {
    auto& limits = scheduler_.decisions.limits_named;
    const auto changed = limits.record_answer(server, per_second, sent, now());
    if (changed) {
        log_limit({.server = server, .per_second = per_second, .at = now()});
    }
    return changed;
}

void grant_service::record(const std::vector<dispatch::limit_statement>& told) {
    for (const auto& item : told) {
        if (dispatch::record(scheduler_, item, now())) {
            log_limit(item);
        }
    }
}

void grant_service::record_own(const dispatch::stream_origin& origin) {
    scheduler_.streams.record_begin(origin, true, now());
}

void grant_service::record(const std::vector<dispatch::stream_origin>& origins) {
    for (const auto& item : origins) {
        scheduler_.streams.record_begin(item, false, now());
    }
}

void grant_service::log_limit(const dispatch::limit_statement& told) {
    constexpr double per_mille = 1e3;
    auto line = telemetry::log_line(told.per_second ? "server_limit" : "server_limit_ended");
    line.add("server", static_cast<std::int64_t>(told.server.value));
    if (told.per_second) {
        const auto rate = std::min(*told.per_second, 1e9) * per_mille;
        line.add("per_1000_s", static_cast<std::int64_t>(rate));
    }
    telemetry::write(line.add("age_ms", to_milliseconds(now() - told.at)));
}

std::vector<dispatch::limit_statement> grant_service::limits(bool own_only) const {
    return scheduler_.decisions.limits_named.statements(own_only);
}

void grant_service::set_request_limit_share(double share) {
    scheduler_.decisions.options.request_limit_share = share;
}

void grant_service::record(const dispatch::suspicion_report& report) {
    std::vector<dispatch::decision> results;
    dispatch::record(scheduler_, report, now(), results);
    deliver(results);
}

dispatch::suspicion_report grant_service::suspicions() {
    return scheduler_.decisions.suspects.report(now());
}

std::optional<dispatch::prompt_judgement>
grant_service::find_quarantine(const work_item& work) const {
    return dispatch::find_quarantine(scheduler_.decisions, work, now());
}

std::optional<dispatch::server_notice> grant_service::find_notice(server_id server,
                                                                  instance_id dispatcher) const {
    return dispatch::find_notice(scheduler_, server, dispatcher, now());
}

void grant_service::resume_quotas(duration window, std::size_t expected_dispatchers) {
    dispatch::resume_quotas(scheduler_, window, expected_dispatchers, now());
}

void grant_service::resume_quotas(const admission::workspace_usage& used, duration window) {
    admission::resume(scheduler_.quotas, used, window, admission::local_quota_floor, now());
}

void grant_service::reconcile(const dispatch::dispatcher_report& report) {
    std::vector<dispatch::decision> results;
    dispatch::reconcile(scheduler_, report, now(), results);
    deliver(results);
}

void grant_service::record_external_grant(const work_item& work, server_id server) {
    dispatch::record_external_grant(scheduler_, work, server, now());
}

std::vector<grant_service::reply> grant_service::clear_pending() {
    std::vector<reply> uncalled;
    for (auto& [id, answer] : pending_replies_) {
        uncalled.push_back(std::move(answer));
    }
    pending_replies_.clear();
    dispatch::grant_scheduler fresh;
    fresh.decisions.options = scheduler_.decisions.options;
    fresh.quotas = std::move(scheduler_.quotas);
    fresh.known_draining = std::move(scheduler_.known_draining);
    fresh.streams = std::move(scheduler_.streams);
    fresh.decisions.backoffs = std::move(scheduler_.decisions.backoffs);
    fresh.decisions.limits_named = std::move(scheduler_.decisions.limits_named);
    fresh.decisions.suspects = std::move(scheduler_.decisions.suspects);
    scheduler_ = std::move(fresh);
    return uncalled;
}

std::vector<instance_id> grant_service::dispatchers() const {
    return dispatch::live_dispatchers(scheduler_, now());
}

double grant_service::live_dispatcher_share() {
    return dispatch::live_dispatcher_share(scheduler_, now());
}

std::size_t grant_service::queued() const {
    return dispatch::queued_count(scheduler_.decisions);
}

std::vector<dispatch::quarantine_summary> grant_service::quarantines() const {
    return scheduler_.decisions.suspects.quarantines(now());
}

bool grant_service::lift_quarantine(std::uint64_t part) {
    const auto known = scheduler_.decisions.suspects.clear(part, now());
    log_suspicions();
    return known;
}

void grant_service::record_refusal(std::uint64_t part) {
    scheduler_.decisions.suspects.record_refusal(part);
}

std::size_t grant_service::quarantined_parts() const {
    return scheduler_.decisions.suspects.quarantined(now());
}

bool grant_service::may_log_suspicion() {
    if (now() - log_second_ >= std::chrono::seconds{1}) {
        log_second_ = now();
        logged_ = 0;
    }
    return ++logged_ <= max_suspicion_lines;
}

void grant_service::log_suspicions() {
    using kind = dispatch::suspicion_change::kind;
    for (const auto& change : scheduler_.decisions.suspects.take_changes()) {
        if (!may_log_suspicion()) {
            ++suppressed_;
            continue;
        }
        telemetry::write(telemetry::log_line(event_name(change.what))
                             .add("part", to_hex(change.part))
                             .add("crashes", static_cast<std::int64_t>(change.crashes))
                             .add("for_ms", change.what == kind::quarantined
                                                ? to_milliseconds(change.until - now())
                                                : 0)
                             .add("suppressed", std::exchange(suppressed_, 0)));
    }
}

void grant_service::deliver(std::vector<dispatch::decision>& results) {
    log_suspicions();
    for (auto& item : results) {
        const auto found = pending_replies_.find(item.id);
        if (found == pending_replies_.end()) {
            // The dispatcher withdrew the request meanwhile; its slot must be released.
            if (std::holds_alternative<dispatch::grant>(item.result)) {
                std::vector<dispatch::decision> follow_ups;
                dispatch::record(scheduler_,
                                 {.id = item.id, .kind = dispatch::grant_update::stage::failed},
                                 now(), follow_ups);
                deliver(follow_ups);
            }
            continue;
        }
        const auto answer = std::move(found->second);
        pending_replies_.erase(found);
        answer(std::move(item.result));
    }
    schedule_tick();
}

void grant_service::schedule_tick() {
    if (ticking_ || queued() == 0) {
        return;
    }
    ticking_ = true;
    timer_.expires_after(tick_interval);
    timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto held = self.lock();
        if (error || !held) {
            return;
        }
        held->ticking_ = false;
        std::vector<dispatch::decision> results;
        dispatch::tick(held->scheduler_, now(), results);
        held->deliver(results);
    });
}

} // namespace tarragonspar::gateway
