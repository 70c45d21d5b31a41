#include "tarragonspar/dispatch/crash_suspects.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "tarragonspar/dispatch/detail/crash_counts.hpp"

namespace tarragonspar::dispatch {

using namespace detail;

namespace {

// Users tolerate five crashes.
static_assert(crashes_to_quarantine + max_unrelated_ends == 5);
/// Time after the newest loss for which requests are held back while it is not known whether
/// servers ended: the server list shows it by then.
constexpr duration uncertain_hold = std::chrono::seconds{3};
/// Time after which a loss whose server was not found to have ended is no evidence any more.
constexpr duration uncertain_lifetime = std::chrono::seconds{10};
/// First quarantine, about the time in which an operator reacts, and the factor of each further
/// one. Three trials then take 21 minutes.
constexpr duration first_quarantine = std::chrono::minutes{1};
constexpr std::uint32_t quarantine_factor = 4;
constexpr duration max_quarantine = std::chrono::hours{4};
/// Age of a quarantine and number of refused requests from which on single requests are tried: a
/// part that many callers need and that was quarantined wrongly harms more than another crash.
constexpr duration early_trial_age = std::chrono::seconds{10};
constexpr std::uint32_t early_trial_refusals = 20;
/// Time for which a complete answer speaks for its parts. Servers may be changed meanwhile.
constexpr duration clearance_lifetime = std::chrono::minutes{10};
/// Bounds on what is kept and sent: a report of all suspects takes a few kilobytes; a lost server
/// makes all parts of some dozen requests suspects; completed parts cover minutes of traffic of a
/// leader, as each request completes a part of its own.
constexpr std::size_t max_suspects = 128;
constexpr std::size_t max_reported = 32;
constexpr std::size_t max_completed = 32'768;
constexpr std::size_t max_cleared = 64;
constexpr std::size_t max_companions = 8;
constexpr std::size_t max_changes = 64;

bool contains(const std::vector<std::uint64_t>& parts, std::uint64_t part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/// Erases the oldest entries of a map of times beyond a bound, a quarter at once.
void bound_size(std::unordered_map<std::uint64_t, time_point>& target, std::size_t bound) {
    if (target.size() <= bound) {
        return;
    }
    std::vector<time_point> times;
    times.reserve(target.size());
    for (const auto& [part, at] : target) {
        times.push_back(at);
    }
    const auto cut = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 4);
    std::nth_element(times.begin(), cut, times.end());
    std::erase_if(target, [&](const auto& item) { return item.second <= *cut; });
}

/// Orders suspects by how strong the evidence is.
auto strength(const suspected_part& of) {
    return std::tuple(count_separate(of.crashes), !of.answered_before, last_crash(of.crashes));
}

bool is_open_for_trial(const suspected_part& of, time_point now) {
    return !of.is_own && of.quarantines == 1 && of.refusals >= early_trial_refusals &&
           now - of.quarantined_since >= early_trial_age;
}

/// Returns until when requests with a part are held back because a loss is not explained yet.
time_point held_until(const suspected_part& of) {
    const auto possible = count_separate(of.crashes, true);
    return possible >= crashes_to_quarantine && possible > count_separate(of.crashes)
               ? last_crash(of.crashes) + uncertain_hold
               : time_point{};
}

} // namespace

bool crash_suspects::was_answered(std::uint64_t part, time_point now) const {
    const auto found = completed_.find(part);
    return found != completed_.end() && now - found->second < clearance_lifetime;
}

suspected_part& crash_suspects::find_or_add(std::uint64_t part,
                                            const std::vector<std::uint64_t>& others) {
    const auto [found, is_new] = suspects_.try_emplace(part, suspected_part{.part = part});
    auto& suspect = found->second;
    if (is_new) {
        std::copy_if(others.begin(), others.end(), std::back_inserter(suspect.companions),
                     [&](std::uint64_t other) { return other != part; });
        suspect.companions.resize(std::min(suspect.companions.size(), max_companions));
    } else {
        std::erase_if(suspect.companions,
                      [&](std::uint64_t other) { return !contains(others, other); });
    }
    return suspect;
}

void crash_suspects::report_if_new(const suspected_part& suspect, std::size_t crashes_before) {
    if (crashes_before == 0 && !suspect.answered_before && count_separate(suspect.crashes) > 0) {
        changes_.push_back({.what = suspicion_change::kind::suspected,
                            .part = suspect.part,
                            .crashes = count_separate(suspect.crashes)});
    }
}

void crash_suspects::update_unrelated_ends(suspected_part& target) {
    if (!complete_since_) {
        return;
    }
    const auto is_suspected = [&](const server_loss& loss) {
        const auto found = completed_.find(loss.parts.back());
        return found == completed_.end() || found->second < loss.at;
    };
    for (const auto& crash : target.crashes) {
        for (const auto server :
             history_.ends_without(target, crash.at, *complete_since_, is_suspected)) {
            auto& known = target.unrelated_ends;
            if (std::find(known.begin(), known.end(), server) == known.end() &&
                known.size() < max_unrelated_ends) {
                known.push_back(server);
            }
        }
    }
}

std::optional<std::size_t> crash_suspects::crashes_needed(const suspected_part& of,
                                                          time_point now) const {
    if (of.is_own) {
        return crashes_to_quarantine;
    }
    if (!of.others_answered && history_.is_common(of.service, of.part, now)) {
        return std::nullopt;
    }
    return std::min(crashes_to_quarantine + of.unrelated_ends.size(),
                    crashes_to_quarantine + max_unrelated_ends);
}

void crash_suspects::update_quarantine(suspected_part& target, time_point now) {
    const auto last = last_crash(target.crashes);
    target.known_crashes = std::max(target.known_crashes, count_separate(target.crashes));
    const auto crashes = target.known_crashes;
    if (crashes < crashes_to_quarantine) {
        return;
    }
    update_unrelated_ends(target);
    const auto needed = crashes_needed(target, now);
    if (!needed || crashes < *needed) {
        if (target.quarantined_until > now) {
            target.quarantined_until = now;
            target.lifted_at = now;
            changes_.push_back(
                {.what = suspicion_change::kind::lifted, .part = target.part, .crashes = crashes});
        }
        return;
    }
    const auto was_early_trial =
        is_open_for_trial(target, now) && last >= target.quarantined_since + early_trial_age;
    if (target.quarantines > 0 && last < target.quarantined_until && !was_early_trial) {
        return;
    }
    duration length = first_quarantine;
    for (std::uint32_t i = 0; i < target.quarantines && length < max_quarantine; ++i) {
        length *= quarantine_factor;
    }
    ++target.quarantines;
    target.refusals = 0;
    target.quarantined_since = now;
    target.quarantined_until = last + std::min(length, max_quarantine);
    if (target.quarantined_until > now) {
        changes_.push_back({.what = suspicion_change::kind::quarantined,
                            .part = target.part,
                            .crashes = crashes,
                            .until = target.quarantined_until});
    }
}

void crash_suspects::update_all(time_point now) {
    for (auto& [part, suspect] : suspects_) {
        update_quarantine(suspect, now);
    }
}

void crash_suspects::record_request(model_id service, const std::vector<std::uint64_t>& parts,
                                    time_point now) {
    history_.record_request(service, parts, now);
}

void crash_suspects::record_loss(const server_loss& loss, time_point now) {
    forget_old(now);
    history_.record_loss(loss, now);
    if (loss.fate == server_fate::alive) {
        return;
    }
    add_evidence(loss, now);
    update_all(now);
    evict_weakest();
}

void crash_suspects::record_end(const server_end& end, time_point now) {
    forget_old(now);
    for (auto loss : history_.record_end(end, now)) {
        loss.fate = server_fate::ended;
        add_evidence(loss, now);
    }
    update_all(now);
    evict_weakest();
}

void crash_suspects::add_evidence(const server_loss& loss, time_point now) {
    std::vector<std::uint64_t> unproven;
    std::copy_if(loss.parts.begin(), loss.parts.end(), std::back_inserter(unproven),
                 [&](std::uint64_t part) { return !was_answered(part, now); });
    for (const auto part : loss.parts) {
        if (const auto done = completed_.find(part);
            done != completed_.end() && done->second >= loss.at) {
            continue; // answered completely since the loss
        }
        const auto is_new = !suspects_.contains(part);
        auto& suspect = find_or_add(part, unproven);
        if (is_new) {
            suspect.service = loss.service;
            suspect.answered_before = was_answered(part, now);
            suspect.is_own = loss.has_prompt;
        }
        suspect.is_own = suspect.is_own && loss.has_prompt && part == loss.parts.back();
        // Repeats of one request are separate crashes of it, however fast they are. Of the parts
        // that it shares with others they tell nothing new, nor do requests of other callers that
        // have no prompt of their own.
        const auto is_own = part == loss.parts.back();
        const auto follows = is_own && !suspect.crashes.empty() &&
                             loss.started >= suspect.crashes.back().at &&
                             (loss.has_prompt || history_.has_earlier_loss(loss));
        const auto before = count_separate(suspect.crashes);
        add_crash(suspect.crashes,
                  {.server = loss.server,
                   .at = loss.at,
                   .follows = follows,
                   .confirmed = loss.fate == server_fate::ended},
                  loss.started);
        report_if_new(suspect, before);
    }
}

void crash_suspects::record_completion(server_id server, model_id service,
                                       const std::vector<std::uint64_t>& parts, time_point started,
                                       time_point now) {
    if (history_.record_answer(server, started)) {
        erase_disproved(server, started);
    }
    for (const auto part : parts) {
        clear(part, now);
    }
    for (auto& [part, suspect] : suspects_) {
        suspect.others_answered =
            suspect.others_answered || (suspect.service == service && !contains(parts, part));
    }
    bound_size(completed_, max_completed);
}

void crash_suspects::erase_disproved(server_id server, time_point started) {
    for (auto& [part, suspect] : suspects_) {
        std::erase_if(suspect.crashes, [&](const server_crash& crash) {
            return crash.server == server && !crash.confirmed && crash.at <= started;
        });
    }
    std::erase_if(suspects_, [](const auto& item) { return item.second.crashes.empty(); });
}

bool crash_suspects::clear(std::uint64_t part, time_point now) {
    completed_.insert_or_assign(part, now);
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
        return false;
    }
    if (!found->second.answered_before || found->second.quarantines > 0) {
        changes_.push_back({.what = suspicion_change::kind::cleared,
                            .part = part,
                            .crashes = count_separate(found->second.crashes)});
    }
    suspects_.erase(found);
    add_cleared(part, now);
    for (auto& [other, suspect] : suspects_) {
        std::erase(suspect.companions, part);
    }
    return true;
}

void crash_suspects::add_cleared(std::uint64_t part, time_point at) {
    cleared_.insert_or_assign(part, at);
    bound_size(cleared_, max_cleared);
}

void crash_suspects::record_refusal(std::uint64_t part) {
    if (const auto found = suspects_.find(part); found != suspects_.end()) {
        ++found->second.refusals;
    }
}

prompt_judgement crash_suspects::judge(const std::vector<std::uint64_t>& parts,
                                       time_point now) const {
    prompt_judgement worst;
    if (suspects_.empty()) {
        return worst;
    }
    for (const auto part : parts) {
        const auto found = suspects_.find(part);
        if (found == suspects_.end()) {
            continue;
        }
        const auto& suspect = found->second;
        // A request without one of the companions tells which of them is the cause.
        const auto decides =
            std::all_of(suspect.companions.begin(), suspect.companions.end(),
                        [&](std::uint64_t other) { return contains(parts, other); });
        const auto is_quarantined =
            suspect.quarantined_until > now && !is_open_for_trial(suspect, now);
        const auto until = is_quarantined ? suspect.quarantined_until : held_until(suspect);
        if (decides && until > now) {
            if (worst.verdict != prompt_verdict::quarantined || until > worst.until) {
                worst = {.verdict = prompt_verdict::quarantined, .part = part, .until = until};
            }
        } else if (worst.verdict == prompt_verdict::clear &&
                   (!suspect.answered_before || (decides && suspect.quarantines > 0))) {
            worst = {.verdict = prompt_verdict::on_trial,
                     .part = part,
                     .was_quarantined = suspect.quarantines > 0};
        }
    }
    return worst;
}

suspicion_report crash_suspects::report(time_point now) {
    forget_old(now);
    update_all(now);
    suspicion_report out;
    for (const auto& [part, suspect] : suspects_) {
        out.suspects.push_back(suspect);
    }
    std::sort(out.suspects.begin(), out.suspects.end(),
              [](const auto& a, const auto& b) { return strength(b) < strength(a); });
    out.suspects.resize(std::min(out.suspects.size(), max_reported));
    for (const auto& [part, at] : cleared_) {
        out.cleared.push_back({.part = part, .at = at});
    }
    return out;
}

std::vector<suspicion_change> crash_suspects::take_changes() {
    return std::exchange(changes_, {});
}

std::vector<quarantine_summary> crash_suspects::quarantines(time_point now) const {
    std::vector<quarantine_summary> out;
    for (const auto& [part, suspect] : suspects_) {
        if (suspect.quarantined_until > now) {
            out.push_back({.part = part,
                           .crashes = count_separate(suspect.crashes),
                           .remaining = suspect.quarantined_until - now,
                           .refusals = suspect.refusals});
        }
    }
    return out;
}

std::size_t crash_suspects::quarantined(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(suspects_.begin(), suspects_.end(),
                      [&](const auto& item) { return item.second.quarantined_until > now; }));
}

void crash_suspects::forget_old(time_point now) {
    for (auto& [part, suspect] : suspects_) {
        std::erase_if(suspect.crashes, [&](const server_crash& crash) {
            return !crash.confirmed && now - crash.at > uncertain_lifetime;
        });
    }
    std::erase_if(suspects_, [&](const auto& item) {
        const auto& suspect = item.second;
        return suspect.crashes.empty() ||
               now - std::max(last_crash(suspect.crashes), suspect.quarantined_until) >
                   suspicion_lifetime;
    });
    std::erase_if(cleared_,
                  [&](const auto& item) { return now - item.second > clearance_lifetime; });
}

void crash_suspects::evict_weakest() {
    if (changes_.size() > max_changes) {
        changes_.erase(changes_.begin(), changes_.end() - static_cast<std::ptrdiff_t>(max_changes));
    }
    while (suspects_.size() > max_suspects) {
        suspects_.erase(
            std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
                return strength(a.second) < strength(b.second);
            }));
    }
}

} // namespace tarragonspar::dispatch
