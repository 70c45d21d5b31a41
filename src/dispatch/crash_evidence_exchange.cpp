// Exchange of evidence about prompt parts between instances.

#include <algorithm>

#include "tarragonspar/dispatch/crash_suspects.hpp"
#include "tarragonspar/dispatch/detail/crash_counts.hpp"

namespace tarragonspar::dispatch {

using namespace detail;

namespace {

/// Adds the servers that another instance knows to have ended without the part.
void merge_unrelated_ends(suspected_part& target, const suspected_part& told) {
    auto& known = target.unrelated_ends;
    for (const auto server : told.unrelated_ends) {
        if (std::find(known.begin(), known.end(), server) == known.end() &&
            known.size() < max_unrelated_ends) {
            known.push_back(server);
        }
    }
}

/// Takes over a longer quarantine, unless it began before quarantines of the part were lifted.
void merge_quarantine(suspected_part& target, const suspected_part& told) {
    target.lifted_at = std::max(target.lifted_at, told.lifted_at);
    const auto is_void = [&](time_point since) {
        return target.lifted_at != time_point{} && since <= target.lifted_at;
    };
    if (is_void(target.quarantined_since)) {
        target.quarantined_until = std::min(target.quarantined_until, target.lifted_at);
    }
    if (told.quarantines < target.quarantines) {
        return;
    }
    // The refusals of an earlier quarantine tell nothing about the present one.
    target.refusals = told.quarantines > target.quarantines
                          ? told.refusals
                          : std::max(target.refusals, told.refusals);
    target.quarantines = told.quarantines;
    if (!is_void(told.quarantined_since) && told.quarantined_until > target.quarantined_until) {
        target.quarantined_until = told.quarantined_until;
        target.quarantined_since = told.quarantined_since;
    }
}

} // namespace

void crash_suspects::merge(const suspicion_report& from, time_point now) {
    for (const auto& item : from.cleared) {
        const auto found = suspects_.find(item.part);
        if (found != suspects_.end() && item.at >= last_crash(found->second.crashes)) {
            clear(item.part, now);
        }
    }
    for (const auto& told : from.suspects) {
        const auto last = last_crash(told.crashes);
        if (told.crashes.empty() ||
            now - std::max(last, told.quarantined_until) > suspicion_lifetime) {
            continue;
        }
        const auto done = completed_.find(told.part);
        if (done != completed_.end() && done->second >= last) {
            add_cleared(told.part, done->second); // the sender does not know it
            continue;
        }
        merge_suspect(told, now);
    }
    evict_weakest();
}

void crash_suspects::merge_suspect(const suspected_part& told, time_point now) {
    const auto is_unknown = !suspects_.contains(told.part);
    auto& suspect = find_or_add(told.part, told.companions);
    if (is_unknown) {
        suspect.service = told.service;
        suspect.is_own = told.is_own;
        suspect.answered_before = was_answered(told.part, now);
    }
    suspect.is_own = suspect.is_own && told.is_own;
    suspect.answered_before = suspect.answered_before || told.answered_before;
    suspect.others_answered = suspect.others_answered || told.others_answered;
    std::erase_if(suspect.companions,
                  [&](std::uint64_t other) { return was_answered(other, now); });
    const auto before = is_unknown ? 0 : count_separate(suspect.crashes);
    for (const auto& crash : told.crashes) {
        add_crash(suspect.crashes, crash, crash.at - same_crash);
    }
    suspect.known_crashes = std::max(suspect.known_crashes, told.known_crashes);
    report_if_new(suspect, before);
    merge_unrelated_ends(suspect, told);
    const auto is_new = told.quarantines > suspect.quarantines;
    merge_quarantine(suspect, told);
    if (is_new && suspect.quarantined_until > now) {
        changes_.push_back({.what = suspicion_change::kind::quarantined,
                            .part = told.part,
                            .crashes = count_separate(suspect.crashes),
                            .until = suspect.quarantined_until});
    }
    update_quarantine(suspect, now);
}

} // namespace tarragonspar::dispatch
