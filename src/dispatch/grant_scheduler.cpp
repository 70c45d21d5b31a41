#include "tarragonspar/dispatch/grant_scheduler.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <set>

namespace tarragonspar::dispatch {

namespace {

/// Time without a report after which a dispatcher's requests no longer occupy server slots. Longer
/// than a short freeze or partition, so that its running requests stay counted while they still
/// take slots.
constexpr duration dispatcher_timeout = std::chrono::seconds{4};
/// Time without a report after which a dispatcher is assumed to grant for itself; dispatchers do so
/// after about half a second without contact.
constexpr duration self_grant_timeout = std::chrono::milliseconds{900};
/// Time for which a dispatcher without contact may still run in a partition. Longer partitions are
/// left to operators.
constexpr duration dispatcher_retention = std::chrono::seconds{20};
/// Time for which a grant may be missing from its dispatcher's reports: a report may have been sent
/// before the grant arrived.
constexpr duration missing_grant_timeout = std::chrono::milliseconds{1'500};

/// The dispatcher may be lost before it reports whose events the caller has got.
void record_origin(grant_scheduler& target, const start_dispatch& start, software_id software,
                   time_point now) {
    const auto& work = target.decisions.running.at(start.id).work;
    if (work.stream != 0 && software != software_id{}) {
        target.streams.record_grant(
            {.stream = work.stream, .software = software, .until = take_up_end(work)}, now);
    }
}

void append_decisions(grant_scheduler& target, const std::vector<effect>& effects, time_point now,
                      std::vector<decision>& out) {
    for (const auto& item : effects) {
        if (const auto* start = std::get_if<start_dispatch>(&item)) {
            const auto& server = target.servers.at(start->server);
            const auto software = config::software_of(server);
            record_origin(target, *start, software, now);
            out.push_back({.id = start->id,
                           .result = grant{.server = server.id,
                                           .server_name = server.name,
                                           .address = server.address,
                                           .software = software}});
        } else if (const auto* refused = std::get_if<refuse>(&item)) {
            out.push_back(
                {.id = refused->id,
                 .result = refusal{.why = refused->why, .retry_after = refused->retry_after}});
        }
    }
}

void apply_event(grant_scheduler& target, const event& input, time_point now,
                 std::vector<decision>& out) {
    std::vector<effect> effects;
    step(target.decisions, input, now, effects);
    append_decisions(target, effects, now, out);
}

void release_requests(grant_scheduler& target, const std::vector<request_id>& ids, time_point now,
                      std::vector<decision>& out) {
    for (const auto& id : ids) {
        if (target.decisions.running.contains(id)) {
            apply_event(target, ended{.id = id, .complete = false, .server_fault = false}, now,
                        out);
        } else {
            apply_event(target, withdrawn{.id = id}, now, out);
        }
    }
}

/// Appends the ids of a dispatcher's requests in a map that is ordered by request id.
template <class Map>
void append_requests_of(const Map& requests, instance_id dispatcher, std::vector<request_id>& out) {
    auto at = requests.lower_bound(request_id{.issuer = dispatcher});
    for (; at != requests.end() && at->first.issuer == dispatcher; ++at) {
        out.push_back(at->first);
    }
}

/// Returns the running and queued requests of a dispatcher.
std::vector<request_id> requests_of(const grant_scheduler& source, instance_id dispatcher) {
    std::vector<request_id> ids;
    append_requests_of(source.decisions.running, dispatcher, ids);
    append_requests_of(source.decisions.queued_model, dispatcher, ids);
    return ids;
}

/// Upper bound on the backoff that a server may ask for. Without it a wrong value would take the
/// server out of use for good; after a minute one request is sent again and gets the remaining
/// backoff in its answer.
constexpr duration max_server_backoff = std::chrono::seconds{60};

/// Longest predicted wait with which a request is queued: about the latency objectives of the first
/// users. A request that would wait longer misses its objective anyway, and a retry would not miss
/// it by more. Values between 0.8 and 2 s were measured.
constexpr double max_wait_seconds = 1.2;
/// The same bound as a share of a request's own objective, where it has one.
constexpr double max_wait_share = 1.2;
/// Share of the objective for which a request stays queued past it: most of another full queue
/// wait.
constexpr double late_tolerance = 0.75;
/// Share of a request's remaining time after which it should be retried. Callers retry only if the
/// delay is within a third of their time; the share is smaller because jitter is added.
constexpr double retry_share = 0.2;
/// Callers retry only if the delay leaves them time: it has to fit into a third of a short
/// deadline.
constexpr duration min_retry_after = std::chrono::milliseconds{250};
constexpr duration max_retry_after = std::chrono::milliseconds{1'000};

/// Time after which a caller may return whose stream no instance knows the software version of: by
/// then another instance may have reported it.
constexpr duration version_retry_after = std::chrono::seconds{1};

admission::quota_request make_quota_request(const work_item& work) {
    constexpr double range = 18446744073709551616.0; // 2 to the 64th
    const auto draw = hash_pair(work.id.issued_in.value, work.id.sequence);
    return {.workspace = work.workspace,
            .rank = work.rank,
            .units = work.quota_units,
            .draw = static_cast<double>(draw >> 1U) / (range / 2.0),
            // A request without a prompt costs next to nothing compared with prompts; refusing it
            // by its rank would free no capacity for others.
            .competes = work.prompt.value > 0};
}

} // namespace

scheduler_options grant_scheduler_options() {
    scheduler_options options;
    options.max_wait_seconds = max_wait_seconds;
    options.max_wait_share = max_wait_share;
    options.late_tolerance = late_tolerance;
    options.retry_share = retry_share;
    options.min_retry_after = min_retry_after;
    options.max_retry_after = max_retry_after;
    options.transfer_to_peers = false;
    // With one queue over all servers, a slot becomes free every few milliseconds and the most
    // urgent tier gets it first, so no slots are reserved for that tier.
    options.max_reserve_share = 0.0;
    return options;
}

void set_servers(grant_scheduler& target, const std::vector<config::server>& servers,
                 time_point now, std::vector<decision>& out) {
    auto listed = servers;
    target.known_draining.apply(listed);
    target.servers.clear();
    for (const auto& server : listed) {
        target.servers.emplace(server.id, server);
    }
    target.streams.record_servers(listed, now);
    target.decisions.limits_named.forget(
        [&](server_id server) { return target.servers.contains(server); }, now);
    apply_event(target, ownership_changed{.owned = std::move(listed), .limits = {}}, now, out);
}

bool record(grant_scheduler& target, const server_notice& notice, time_point now,
            std::vector<decision>& out) {
    if (notice.backoff) {
        const auto until = now + std::min(*notice.backoff, max_server_backoff);
        apply_event(target,
                    server_backoff{
                        .server = notice.server, .dispatcher = notice.dispatcher, .until = until},
                    now, out);
        return true;
    }
    if (!target.known_draining.add(notice.server, now)) {
        return false;
    }
    if (const auto found = target.servers.find(notice.server); found != target.servers.end()) {
        found->second.state = config::server_state::draining;
        apply_event(target, server_draining{.server = notice.server}, now, out);
    }
    return true;
}

bool record(grant_scheduler& target, const limit_statement& told, time_point now) {
    return target.decisions.limits_named.merge(told, now);
}

void record(grant_scheduler& target, const suspicion_report& report, time_point now,
            std::vector<decision>& out) {
    apply_event(target, suspicions_received{.report = report}, now, out);
}

std::optional<server_notice> find_notice(const grant_scheduler& source, server_id server,
                                         instance_id dispatcher, time_point now) {
    if (source.known_draining.contains(server)) {
        return server_notice{.server = server, .dispatcher = dispatcher, .backoff = std::nullopt};
    }
    const auto found = source.decisions.backoffs.find({server, dispatcher});
    if (found != source.decisions.backoffs.end() && found->second > now) {
        return server_notice{
            .server = server, .dispatcher = dispatcher, .backoff = found->second - now};
    }
    return std::nullopt;
}

void ask(grant_scheduler& target, const work_item& work, previous_grant previous, time_point now,
         std::vector<decision>& out, server_fate fate) {
    if (previous == previous_grant::not_connected) {
        if (target.decisions.running.contains(work.id)) {
            apply_event(target, dispatch_failed{.id = work.id}, now, out);
            return;
        }
    } else if (previous == previous_grant::server_failed ||
               previous == previous_grant::server_lost) {
        apply_event(target,
                    ended{.id = work.id,
                          .complete = false,
                          .server_fault = true,
                          .server_lost = previous == previous_grant::server_lost,
                          .fate = fate},
                    now, out);
    } else if (previous == previous_grant::unused) {
        apply_event(target, grant_refused{.id = work.id}, now, out);
    }
    const auto version = target.streams.choose(work, now);
    if (version.source == version_source::unknown) {
        out.push_back({.id = work.id,
                       .result = refusal{.why = reason::version_unknown,
                                         .retry_after = version_retry_after}});
        return;
    }
    if (previous == previous_grant::none && !work.repeated) {
        const auto wait = admission::acquire(target.quotas, make_quota_request(work), now);
        if (wait > duration{}) {
            out.push_back({.id = work.id,
                           .result = refusal{.why = reason::workspace_limit, .retry_after = wait}});
            return;
        }
    }
    auto restricted = work;
    restricted.software = version.software;
    std::vector<decision> made;
    apply_event(target, arrived{.work = std::move(restricted)}, now, made);
    for (const auto& item : made) {
        if (!work.repeated && item.id == work.id && std::holds_alternative<refusal>(item.result)) {
            admission::refund(target.quotas, work.workspace, work.quota_units);
        }
    }
    out.insert(out.end(), made.begin(), made.end());
}

void record(grant_scheduler& target, const grant_update& update, time_point now,
            std::vector<decision>& out) {
    switch (update.kind) {
    case grant_update::stage::withdrawn:
        release_requests(target, {update.id}, now, out);
        return;
    case grant_update::stage::first_token:
        if (update.stream != 0 && update.software != software_id{}) {
            target.streams.record_begin({.stream = update.stream,
                                         .software = update.software,
                                         .until = now + update.take_up_time},
                                        false, now);
        }
        apply_event(target, first_token{.id = update.id, .cached = std::nullopt}, now, out);
        return;
    case grant_update::stage::done:
        apply_event(target, progressed{.id = update.id, .generated = update.generated}, now, out);
        apply_event(target, ended{.id = update.id, .complete = true, .generated = update.generated},
                    now, out);
        return;
    case grant_update::stage::failed:
        apply_event(target,
                    ended{.id = update.id,
                          .complete = false,
                          .server_fault = update.server_fault,
                          .server_lost = update.server_lost,
                          .fate = update.fate},
                    now, out);
        return;
    }
}

void record_external_grant(grant_scheduler& target, const work_item& work, server_id server,
                           time_point now) {
    std::vector<decision> none;
    apply_event(target, adopted{.work = work, .server = server, .just_started = true}, now, none);
}

void reconcile(grant_scheduler& target, const dispatcher_report& report, time_point now,
               std::vector<decision>& out) {
    auto& dispatcher = target.dispatchers[report.dispatcher];
    const auto restarted = dispatcher.started_as != report.started_as;
    dispatcher.started_as = report.started_as;
    dispatcher.last_seen = now;
    target.last_contact[report.dispatcher] = now;
    dispatcher.used = report.used;
    dispatcher.uptime = report.uptime;
    std::set<std::uint64_t> open(report.waiting.begin(), report.waiting.end());
    for (const auto& item : report.running) {
        open.insert(item.work.id.sequence);
    }
    if (restarted) {
        dispatcher.missing.clear();
        dispatcher.reported.clear();
    }
    std::map<std::uint64_t, time_point> missing;
    const auto has_ended = [&](const request_id& id) {
        if (id.issued_in != report.started_as) {
            return true;
        }
        if (open.contains(id.sequence)) {
            return false;
        }
        if (dispatcher.reported.contains(id.sequence)) {
            return true; // it ended while no leader was known, so its end was not reported
        }
        const auto known = dispatcher.missing.find(id.sequence);
        const auto since = known == dispatcher.missing.end() ? now : known->second;
        if (now - since > missing_grant_timeout) {
            return true;
        }
        missing.emplace(id.sequence, since);
        return false;
    };
    auto ended_requests = requests_of(target, report.dispatcher);
    std::erase_if(ended_requests, std::not_fn(has_ended));
    dispatcher.missing = std::move(missing);
    dispatcher.reported = std::move(open);
    release_requests(target, ended_requests, now, out);
    for (const auto& item : report.running) {
        apply_event(target, adopted{.work = item.work, .server = item.server}, now, out);
    }
}

void resume_quotas(grant_scheduler& target, duration window, std::size_t expected, time_point now) {
    admission::workspace_usage used;
    std::array<double, std::tuple_size_v<admission::usage_slices>> covering_dispatchers{};
    for (const auto& [id, dispatcher] : target.dispatchers) {
        for (std::size_t slice = 0; slice < covering_dispatchers.size(); ++slice) {
            const auto begin = window * (slice + 1) / covering_dispatchers.size();
            covering_dispatchers.at(slice) += dispatcher.uptime >= begin ? 1.0 : 0.0;
        }
        for (const auto& [workspace, slices] : dispatcher.used) {
            auto& sums = used[workspace];
            std::transform(sums.begin(), sums.end(), slices.begin(), sums.begin(), std::plus<>());
        }
    }
    const auto dispatcher_count =
        static_cast<double>(std::max(target.dispatchers.size(), expected));
    const auto slice_seconds =
        to_seconds(window) / static_cast<double>(covering_dispatchers.size());
    for (const auto& [workspace, bucket] : target.quotas.buckets) {
        auto& sums = used[workspace];
        const auto all_units = bucket.limit.burst + bucket.limit.units_per_second * slice_seconds;
        std::size_t slice = 0;
        for (; slice < covering_dispatchers.size() && covering_dispatchers.at(slice) > 0.0;
             ++slice) {
            sums.at(slice) *= dispatcher_count / covering_dispatchers.at(slice);
        }
        if (slice < covering_dispatchers.size()) {
            sums.at(slice) = all_units; // usage before that makes no difference
            std::fill(sums.begin() + static_cast<std::ptrdiff_t>(slice) + 1, sums.end(), 0.0);
        }
    }
    admission::resume(target.quotas, used, window, 0.0, now);
}

void tick(grant_scheduler& target, time_point now, std::vector<decision>& out) {
    std::vector<instance_id> expired;
    for (const auto& [id, dispatcher] : target.dispatchers) {
        if (now - dispatcher.last_seen > dispatcher_timeout) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        target.dispatchers.erase(id);
        release_requests(target, requests_of(target, id), now, out);
    }
    apply_event(target, ticked{}, now, out);
}

double live_dispatcher_share(grant_scheduler& source, time_point now) {
    std::erase_if(source.last_contact,
                  [&](const auto& item) { return now - item.second > dispatcher_retention; });
    const auto live =
        std::count_if(source.last_contact.begin(), source.last_contact.end(),
                      [&](const auto& item) { return now - item.second <= self_grant_timeout; });
    return source.last_contact.empty() || live == 0
               ? 1.0
               : static_cast<double>(live) / static_cast<double>(source.last_contact.size());
}

std::vector<instance_id> live_dispatchers(const grant_scheduler& source, time_point now) {
    std::vector<instance_id> live;
    for (const auto& [id, dispatcher] : source.dispatchers) {
        if (now - dispatcher.last_seen <= dispatcher_timeout) {
            live.push_back(id);
        }
    }
    return live;
}

} // namespace tarragonspar::dispatch
