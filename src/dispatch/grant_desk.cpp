#include "tarragonspar/dispatch/grant_desk.hpp"

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

void append_decisions(grant_desk& target, const std::vector<effect>& effects,
                      std::vector<decision>& out) {
    for (const auto& item : effects) {
        if (const auto* start = std::get_if<start_dispatch>(&item)) {
            const auto& server = target.servers.at(start->server);
            out.push_back({.id = start->id,
                           .what = grant{.server = server.id,
                                         .server_name = server.name,
                                         .address = server.address}});
        } else if (const auto* refused = std::get_if<refuse>(&item)) {
            out.push_back(
                {.id = refused->id,
                 .what = refusal{.why = refused->why, .retry_after = refused->retry_after}});
        }
    }
}

void apply_event(grant_desk& target, const event& input, time_point now,
                 std::vector<decision>& out) {
    std::vector<effect> effects;
    step(target.decisions, input, now, effects);
    append_decisions(target, effects, out);
}

void release_requests(grant_desk& target, const std::vector<request_id>& ids, time_point now,
                      std::vector<decision>& out) {
    for (const auto& id : ids) {
        if (target.decisions.running.contains(id)) {
            apply_event(target, ended{.id = id, .whole = false, .server_fault = false}, now, out);
        } else {
            apply_event(target, withdrawn{.id = id}, now, out);
        }
    }
}

/// Appends the ids of a dispatcher's requests in a map that is ordered by request id.
template <class Map>
void append_requests_of(const Map& requests, instance_id holder, std::vector<request_id>& out) {
    auto at = requests.lower_bound(request_id{.issuer = holder});
    for (; at != requests.end() && at->first.issuer == holder; ++at) {
        out.push_back(at->first);
    }
}

/// Returns the running and queued requests of a dispatcher.
std::vector<request_id> requests_of(const grant_desk& source, instance_id holder) {
    std::vector<request_id> ids;
    append_requests_of(source.decisions.running, holder, ids);
    append_requests_of(source.decisions.queued_model, holder, ids);
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

admission::quota_wish make_quota_request(const work_item& work) {
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

void set_servers(grant_desk& target, const std::vector<config::server>& servers, time_point now,
                 std::vector<decision>& out) {
    auto listed = servers;
    target.leaving.apply(listed);
    target.servers.clear();
    for (const auto& server : listed) {
        target.servers.emplace(server.id, server);
    }
    apply_event(target, ownership_changed{.owned = std::move(listed), .limits = {}}, now, out);
}

bool note(grant_desk& target, const server_notice& notice, time_point now,
          std::vector<decision>& out) {
    if (notice.pause) {
        const auto until = now + std::min(*notice.pause, max_server_backoff);
        apply_event(
            target,
            server_backoff{.server = notice.server, .holder = notice.holder, .until = until}, now,
            out);
        return true;
    }
    if (!target.leaving.add(notice.server, now)) {
        return false;
    }
    if (const auto found = target.servers.find(notice.server); found != target.servers.end()) {
        found->second.state = config::server_state::draining;
        apply_event(target, server_leaves{.server = notice.server}, now, out);
    }
    return true;
}

std::optional<server_notice> find_notice(const grant_desk& source, server_id server,
                                         instance_id holder, time_point now) {
    if (source.leaving.contains(server)) {
        return server_notice{.server = server, .holder = holder, .pause = std::nullopt};
    }
    const auto found = source.decisions.pauses.find({server, holder});
    if (found != source.decisions.pauses.end() && found->second > now) {
        return server_notice{.server = server, .holder = holder, .pause = found->second - now};
    }
    return std::nullopt;
}

void ask(grant_desk& target, const work_item& work, earlier_grant earlier, time_point now,
         std::vector<decision>& out) {
    if (earlier == earlier_grant::not_connected) {
        if (target.decisions.running.contains(work.id)) {
            apply_event(target, dispatch_failed{.id = work.id}, now, out);
            return;
        }
    } else if (earlier == earlier_grant::server_failed) {
        apply_event(target, ended{.id = work.id, .whole = false, .server_fault = true}, now, out);
    } else if (earlier == earlier_grant::unused) {
        apply_event(target, grant_refused{.id = work.id}, now, out);
    } else if (const auto wait = admission::take(target.quotas, make_quota_request(work), now);
               wait > duration{}) {
        out.push_back(
            {.id = work.id, .what = refusal{.why = reason::workspace_limit, .retry_after = wait}});
        return;
    }
    std::vector<decision> made;
    apply_event(target, arrived{.work = work}, now, made);
    for (const auto& item : made) {
        if (item.id == work.id && std::holds_alternative<refusal>(item.what)) {
            admission::give_back(target.quotas, work.workspace, work.quota_units);
        }
    }
    out.insert(out.end(), made.begin(), made.end());
}

void note(grant_desk& target, const grant_news& news, time_point now, std::vector<decision>& out) {
    switch (news.kind) {
    case grant_news::what::withdrawn:
        release_requests(target, {news.id}, now, out);
        return;
    case grant_news::what::first_token:
        apply_event(target, first_token{.id = news.id, .cached = std::nullopt}, now, out);
        return;
    case grant_news::what::done:
        apply_event(target, progressed{.id = news.id, .generated = news.generated}, now, out);
        apply_event(target, ended{.id = news.id, .whole = true, .generated = news.generated}, now,
                    out);
        return;
    case grant_news::what::failed:
        apply_event(target, ended{.id = news.id, .whole = false, .server_fault = news.server_fault},
                    now, out);
        return;
    }
}

void note_elsewhere(grant_desk& target, const work_item& work, server_id server, time_point now) {
    std::vector<decision> none;
    apply_event(target, adopted{.work = work, .server = server, .just_started = true}, now, none);
}

void reconcile(grant_desk& target, const holder_report& report, time_point now,
               std::vector<decision>& out) {
    auto& holder = target.holders[report.holder];
    const auto restarted = holder.started_as != report.started_as;
    holder.started_as = report.started_as;
    holder.heard = now;
    target.last_contact[report.holder] = now;
    holder.used = report.used;
    holder.up_for = report.up_for;
    std::set<std::uint64_t> open(report.waiting.begin(), report.waiting.end());
    for (const auto& item : report.running) {
        open.insert(item.work.id.sequence);
    }
    if (restarted) {
        holder.missing.clear();
        holder.reported.clear();
    }
    std::map<std::uint64_t, time_point> missing;
    const auto has_ended = [&](const request_id& id) {
        if (id.issued_in != report.started_as) {
            return true;
        }
        if (open.contains(id.sequence)) {
            return false;
        }
        if (holder.reported.contains(id.sequence)) {
            return true; // it ended while no leader was known, so its end was not reported
        }
        const auto known = holder.missing.find(id.sequence);
        const auto since = known == holder.missing.end() ? now : known->second;
        if (now - since > missing_grant_timeout) {
            return true;
        }
        missing.emplace(id.sequence, since);
        return false;
    };
    auto ended_requests = requests_of(target, report.holder);
    std::erase_if(ended_requests, std::not_fn(has_ended));
    holder.missing = std::move(missing);
    holder.reported = std::move(open);
    release_requests(target, ended_requests, now, out);
    for (const auto& item : report.running) {
        apply_event(target, adopted{.work = item.work, .server = item.server}, now, out);
    }
}

void resume_quotas(grant_desk& target, duration window, std::size_t expected, time_point now) {
    admission::workspace_usage used;
    std::array<double, std::tuple_size_v<admission::usage_slices>> covering_dispatchers{};
    for (const auto& [id, holder] : target.holders) {
        for (std::size_t slice = 0; slice < covering_dispatchers.size(); ++slice) {
            const auto begin = window * (slice + 1) / covering_dispatchers.size();
            covering_dispatchers.at(slice) += holder.up_for >= begin ? 1.0 : 0.0;
        }
        for (const auto& [workspace, slices] : holder.used) {
            auto& sums = used[workspace];
            std::transform(sums.begin(), sums.end(), slices.begin(), sums.begin(), std::plus<>());
        }
    }
    const auto dispatcher_count = static_cast<double>(std::max(target.holders.size(), expected));
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

void tick(grant_desk& target, time_point now, std::vector<decision>& out) {
    std::vector<instance_id> expired;
    for (const auto& [id, holder] : target.holders) {
        if (now - holder.heard > dispatcher_timeout) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        target.holders.erase(id);
        release_requests(target, requests_of(target, id), now, out);
    }
    apply_event(target, ticked{}, now, out);
}

double holder_share(grant_desk& source, time_point now) {
    std::erase_if(source.last_contact,
                  [&](const auto& item) { return now - item.second > dispatcher_retention; });
    const auto live =
        std::count_if(source.last_contact.begin(), source.last_contact.end(),
                      [&](const auto& item) { return now - item.second <= self_grant_timeout; });
    return source.last_contact.empty() || live == 0
               ? 1.0
               : static_cast<double>(live) / static_cast<double>(source.last_contact.size());
}

std::vector<instance_id> heard_holders(const grant_desk& source, time_point now) {
    std::vector<instance_id> live;
    for (const auto& [id, holder] : source.holders) {
        if (now - holder.heard <= dispatcher_timeout) {
            live.push_back(id);
        }
    }
    return live;
}

} // namespace tarragonspar::dispatch
