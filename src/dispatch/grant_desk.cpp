#include "tarragonspar/dispatch/grant_desk.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <set>

namespace tarragonspar::dispatch {

namespace {

/// Silence after which a holder's requests no longer count against servers. Above a short freeze
/// or cut, so that its running requests are not forgotten while they still take slots.
constexpr duration silent_holder = std::chrono::seconds{4};
/// Silence after which a holder may grant for itself: it does so after about half a second.
constexpr duration separate_holder = std::chrono::milliseconds{900};
/// Time for which a silent holder may still be there, cut off; longer cuts are repaired by people.
constexpr duration remembered_holder = std::chrono::seconds{20};
/// Time for which a grant may be missing from its holder's reports: a report may have been on its
/// way when the grant was given.
constexpr duration missing_grant = std::chrono::milliseconds{1'500};

void take_effects(grant_desk& target, const std::vector<effect>& effects,
                  std::vector<decision>& out) {
    for (const auto& item : effects) {
        if (const auto* start = std::get_if<start_dispatch>(&item)) {
            const auto& server = target.servers.at(start->server);
            out.push_back({.id = start->id,
                           .what = grant{.server = server.id,
                                         .server_name = server.name,
                                         .address = server.address}});
        } else if (const auto* no = std::get_if<refuse>(&item)) {
            out.push_back(
                {.id = no->id, .what = refusal{.why = no->why, .retry_after = no->retry_after}});
        }
    }
}

void send(grant_desk& target, const event& what, time_point now, std::vector<decision>& out) {
    std::vector<effect> effects;
    step(target.decisions, what, now, effects);
    take_effects(target, effects, out);
}

void forget(grant_desk& target, const std::vector<request_id>& ids, time_point now,
            std::vector<decision>& out) {
    for (const auto& id : ids) {
        if (target.decisions.running.contains(id)) {
            send(target, ended{.id = id, .whole = false, .server_fault = false}, now, out);
        } else {
            send(target, withdrawn{.id = id}, now, out);
        }
    }
}

/// Appends a holder's requests in a map that is ordered by ids.
template <class Map>
void append_of(const Map& requests, instance_id holder, std::vector<request_id>& out) {
    auto at = requests.lower_bound(request_id{.issuer = holder});
    for (; at != requests.end() && at->first.issuer == holder; ++at) {
        out.push_back(at->first);
    }
}

/// Requests of a holder, running and waiting.
std::vector<request_id> requests_of(const grant_desk& source, instance_id holder) {
    std::vector<request_id> ids;
    append_of(source.decisions.running, holder, ids);
    append_of(source.decisions.queued_model, holder, ids);
    return ids;
}

/// Longest pause of a server that is honoured. A wrong number would otherwise take the server away
/// for good; after a minute one request asks again and is told the rest.
constexpr duration max_server_pause = std::chrono::seconds{60};

/// Wait that is still worth it: about the latency objectives of the first users. What would wait
/// longer is late anyway, and is as late when it comes back. Measured between 0.8 and 2 s.
constexpr double max_wait_seconds = 1.2;
/// The same in parts of a request's own objective, where it has one.
constexpr double max_wait_share = 1.2;
/// Part of the objective past which a request is given up: most of another queue's worth.
constexpr double late_patience = 0.75;
/// Callers come back if told to within a third of their time; less, for the spread that is added.
constexpr double return_share = 0.2;
/// Callers come back only if that leaves them time, which a third of a short deadline does.
constexpr duration min_retry_after = std::chrono::milliseconds{250};
constexpr duration max_retry_after = std::chrono::milliseconds{1'000};

admission::quota_wish quota_wish_of(const work_item& work) {
    constexpr double range = 18446744073709551616.0; // 2 to the 64th
    const auto draw = hash_pair(work.id.issued_in.value, work.id.sequence);
    return {.workspace = work.workspace,
            .rank = work.rank,
            .units = work.quota_units,
            .draw = static_cast<double>(draw >> 1U) / (range / 2.0),
            // Without a prompt it costs next to nothing beside prompts; turned away by its rank, it
            // would make room for nobody.
            .competes = work.prompt.value > 0};
}

} // namespace

scheduler_options desk_options() {
    scheduler_options options;
    options.max_wait_seconds = max_wait_seconds;
    options.max_wait_share = max_wait_share;
    options.late_patience = late_patience;
    options.return_share = return_share;
    options.min_retry_after = min_retry_after;
    options.max_retry_after = max_retry_after;
    options.transfer_to_peers = false;
    // A slot becomes free every few milliseconds in one queue over all servers, and the most urgent
    // tier gets it first, so no slot needs to be kept for it.
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
    send(target, ownership_changed{.owned = std::move(listed), .limits = {}}, now, out);
}

bool note(grant_desk& target, const server_notice& notice, time_point now,
          std::vector<decision>& out) {
    if (notice.pause) {
        const auto until = now + std::min(*notice.pause, max_server_pause);
        send(target,
             server_paused{.server = notice.server, .holder = notice.holder, .until = until}, now,
             out);
        return true;
    }
    if (!target.leaving.note(notice.server, now)) {
        return false;
    }
    if (const auto found = target.servers.find(notice.server); found != target.servers.end()) {
        found->second.state = config::server_state::draining;
        send(target, server_leaves{.server = notice.server}, now, out);
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
            send(target, dispatch_failed{.id = work.id}, now, out);
            return;
        }
    } else if (earlier == earlier_grant::server_failed) {
        send(target, ended{.id = work.id, .whole = false, .server_fault = true}, now, out);
    } else if (earlier == earlier_grant::unused) {
        send(target, grant_refused{.id = work.id}, now, out);
    } else if (const auto wait = admission::take(target.quotas, quota_wish_of(work), now);
               wait > duration{}) {
        out.push_back(
            {.id = work.id, .what = refusal{.why = reason::workspace_limit, .retry_after = wait}});
        return;
    }
    std::vector<decision> made;
    send(target, arrived{.work = work}, now, made);
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
        forget(target, {news.id}, now, out);
        return;
    case grant_news::what::first_token:
        send(target, first_token{.id = news.id, .cached = std::nullopt}, now, out);
        return;
    case grant_news::what::done:
        send(target, progressed{.id = news.id, .generated = news.generated}, now, out);
        send(target, ended{.id = news.id, .whole = true, .generated = news.generated}, now, out);
        return;
    case grant_news::what::failed:
        send(target, ended{.id = news.id, .whole = false, .server_fault = news.server_fault}, now,
             out);
        return;
    }
}

void note_elsewhere(grant_desk& target, const work_item& work, server_id server, time_point now) {
    std::vector<decision> none;
    send(target, adopted{.work = work, .server = server, .just_begun = true}, now, none);
}

void reconcile(grant_desk& target, const holder_report& report, time_point now,
               std::vector<decision>& out) {
    auto& holder = target.holders[report.holder];
    const auto restarted = holder.started_as != report.started_as;
    holder.started_as = report.started_as;
    holder.heard = now;
    target.last_heard[report.holder] = now;
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
    const auto is_over = [&](const request_id& id) {
        if (id.issued_in != report.started_as) {
            return true;
        }
        if (open.contains(id.sequence)) {
            return false;
        }
        if (holder.reported.contains(id.sequence)) {
            return true; // its end was told to nobody, while no leader was known
        }
        const auto known = holder.missing.find(id.sequence);
        const auto since = known == holder.missing.end() ? now : known->second;
        if (now - since > missing_grant) {
            return true;
        }
        missing.emplace(id.sequence, since);
        return false;
    };
    auto lost = requests_of(target, report.holder);
    std::erase_if(lost, std::not_fn(is_over));
    holder.missing = std::move(missing);
    holder.reported = std::move(open);
    forget(target, lost, now, out);
    for (const auto& item : report.running) {
        send(target, adopted{.work = item.work, .server = item.server}, now, out);
    }
}

void resume_quotas(grant_desk& target, duration window, std::size_t expected, time_point now) {
    admission::workspace_usage used;
    std::array<double, std::tuple_size_v<admission::usage_slices>> telling{};
    for (const auto& [id, holder] : target.holders) {
        for (std::size_t slice = 0; slice < telling.size(); ++slice) {
            const auto begin = window * (slice + 1) / telling.size();
            telling.at(slice) += holder.up_for >= begin ? 1.0 : 0.0;
        }
        for (const auto& [workspace, slices] : holder.used) {
            auto& sums = used[workspace];
            std::transform(sums.begin(), sums.end(), slices.begin(), sums.begin(), std::plus<>());
        }
    }
    const auto holders = static_cast<double>(std::max(target.holders.size(), expected));
    const auto slice_seconds = to_seconds(window) / static_cast<double>(telling.size());
    for (const auto& [workspace, bucket] : target.quotas.buckets) {
        auto& sums = used[workspace];
        const auto all_there_was =
            bucket.limit.burst + bucket.limit.units_per_second * slice_seconds;
        std::size_t slice = 0;
        for (; slice < telling.size() && telling.at(slice) > 0.0; ++slice) {
            sums.at(slice) *= holders / telling.at(slice);
        }
        if (slice < telling.size()) {
            sums.at(slice) = all_there_was; // what was used before that changes nothing
            std::fill(sums.begin() + static_cast<std::ptrdiff_t>(slice) + 1, sums.end(), 0.0);
        }
    }
    admission::resume(target.quotas, used, window, 0.0, now);
}

void tick(grant_desk& target, time_point now, std::vector<decision>& out) {
    std::vector<instance_id> silent;
    for (const auto& [id, holder] : target.holders) {
        if (now - holder.heard > silent_holder) {
            silent.push_back(id);
        }
    }
    for (const auto id : silent) {
        target.holders.erase(id);
        forget(target, requests_of(target, id), now, out);
    }
    send(target, ticked{}, now, out);
}

double holder_share(grant_desk& source, time_point now) {
    std::erase_if(source.last_heard,
                  [&](const auto& item) { return now - item.second > remembered_holder; });
    const auto heard =
        std::count_if(source.last_heard.begin(), source.last_heard.end(),
                      [&](const auto& item) { return now - item.second <= separate_holder; });
    return source.last_heard.empty() || heard == 0
               ? 1.0
               : static_cast<double>(heard) / static_cast<double>(source.last_heard.size());
}

std::vector<instance_id> heard_holders(const grant_desk& source, time_point now) {
    std::vector<instance_id> heard;
    for (const auto& [id, holder] : source.holders) {
        if (now - holder.heard <= silent_holder) {
            heard.push_back(id);
        }
    }
    return heard;
}

} // namespace tarragonspar::dispatch
