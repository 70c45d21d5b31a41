#include "tarragonspar/dispatch/crash_suspects.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tarragonspar::dispatch {

namespace {

/// Separate crashes after which a part is quarantined. Users tolerate five; two are left for
/// requests that were sent before the first crash was known.
constexpr std::size_t crashes_to_quarantine = 3;
/// Crashes closer together count as one: the loss of a rack takes several servers at once, and with
/// them requests that have a sound part in common.
constexpr duration separate_crashes = std::chrono::milliseconds{200};
/// Crashes of one server in the evidence of others that are closer together are one: it takes
/// seconds to start again, and the ages in messages are inexact.
constexpr duration same_crash = std::chrono::seconds{3};
/// Newest crashes that are kept of a part.
constexpr std::size_t max_crashes = 6;
/// First quarantine, about the time in which an operator reacts, and the factor of each further
/// one. Three trials then take 21 minutes.
constexpr duration first_quarantine = std::chrono::minutes{1};
constexpr std::uint32_t quarantine_factor = 4;
constexpr duration max_quarantine = std::chrono::hours{4};
/// Time without a crash after which a suspicion ends, counted from the end of a quarantine.
constexpr duration suspicion_lifetime = std::chrono::minutes{10};
/// Time for which a complete answer speaks for its parts. Servers may be changed meanwhile.
constexpr duration clearance_lifetime = std::chrono::minutes{10};
/// Bounds on what is kept: a report of all suspects takes a few kilobytes; completed parts cover
/// minutes of traffic of a leader, as each request completes a part of its own.
constexpr std::size_t max_suspects = 32;
constexpr std::size_t max_completed = 32'768;
constexpr std::size_t max_cleared = 64;
constexpr std::size_t max_companions = 8;
constexpr std::size_t max_changes = 64;

std::size_t count_separate(const std::vector<server_crash>& crashes) {
    std::size_t count = 0;
    time_point last{};
    for (const auto& crash : crashes) {
        if (count == 0 || crash.follows || crash.at - last >= separate_crashes) {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

/// Adds a crash in order of time unless it is known.
/// @param since  a crash of the same server that was noticed later than this is the same one
void add_crash(std::vector<server_crash>& target, const server_crash& crash, time_point since) {
    const auto known = std::any_of(target.begin(), target.end(), [&](const server_crash& other) {
        return other.server == crash.server && other.at > since && other.at < crash.at + same_crash;
    });
    if (known) {
        return;
    }
    const auto later = std::find_if(target.begin(), target.end(),
                                    [&](const auto& other) { return other.at > crash.at; });
    target.insert(later, crash);
    if (target.size() > max_crashes) {
        target.erase(target.begin());
    }
}

time_point last_crash(const suspected_part& of) {
    return of.crashes.empty() ? time_point{} : of.crashes.back().at;
}

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

} // namespace

bool crash_suspects::is_cleared(std::uint64_t part, time_point now) const {
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

void crash_suspects::report_new(const suspected_part& suspect, bool is_new) {
    if (is_new) {
        changes_.push_back({.what = suspicion_change::kind::suspected,
                            .part = suspect.part,
                            .crashes = count_separate(suspect.crashes)});
    }
}

void crash_suspects::update_quarantine(suspected_part& target, time_point now) {
    const auto last = last_crash(target);
    const auto crashes = count_separate(target.crashes);
    if (crashes < crashes_to_quarantine ||
        (target.quarantines > 0 && last < target.quarantined_until)) {
        return;
    }
    duration length = first_quarantine;
    for (std::uint32_t i = 0; i < target.quarantines && length < max_quarantine; ++i) {
        length *= quarantine_factor;
    }
    ++target.quarantines;
    target.quarantined_until = last + std::min(length, max_quarantine);
    if (target.quarantined_until > now) {
        changes_.push_back({.what = suspicion_change::kind::quarantined,
                            .part = target.part,
                            .crashes = crashes,
                            .until = target.quarantined_until});
    }
}

void crash_suspects::record_crash(server_id server, const std::vector<std::uint64_t>& parts,
                                  time_point started, time_point now) {
    forget_old(now);
    std::vector<std::uint64_t> unproven;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(unproven),
                 [&](std::uint64_t part) { return !is_cleared(part, now); });
    for (const auto part : unproven) {
        const auto is_new = !suspects_.contains(part);
        auto& suspect = find_or_add(part, unproven);
        // Repeats of one request are separate crashes of it, however fast they are; of the parts
        // that it shares with others they tell nothing new.
        const auto follows = part == parts.back() && !suspect.crashes.empty() &&
                             started >= suspect.crashes.back().at;
        add_crash(suspect.crashes, {.server = server, .at = now, .follows = follows}, started);
        report_new(suspect, is_new);
        update_quarantine(suspect, now);
    }
    evict_weakest();
}

void crash_suspects::record_completion(const std::vector<std::uint64_t>& parts, time_point now) {
    for (const auto part : parts) {
        clear(part, now);
    }
    bound_size(completed_, max_completed);
}

bool crash_suspects::clear(std::uint64_t part, time_point now) {
    completed_.insert_or_assign(part, now);
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
        return false;
    }
    changes_.push_back({.what = suspicion_change::kind::cleared,
                        .part = part,
                        .crashes = count_separate(found->second.crashes)});
    suspects_.erase(found);
    add_cleared(part, now);
    for (auto& [other, suspect] : suspects_) {
        std::erase(suspect.companions, part);
    }
    return true;
}

void crash_suspects::add_cleared(std::uint64_t part, time_point now) {
    cleared_.insert_or_assign(part, now);
    bound_size(cleared_, max_cleared);
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
        if (decides && suspect.quarantined_until > now) {
            if (worst.verdict != prompt_verdict::quarantined ||
                suspect.quarantined_until > worst.until) {
                worst = {.verdict = prompt_verdict::quarantined,
                         .part = part,
                         .until = suspect.quarantined_until};
            }
        } else if (worst.verdict == prompt_verdict::clear) {
            worst = {.verdict = prompt_verdict::on_trial,
                     .part = part,
                     .was_quarantined = suspect.quarantines > 0};
        }
    }
    return worst;
}

suspicion_report crash_suspects::report(time_point now) {
    forget_old(now);
    suspicion_report out;
    for (const auto& [part, suspect] : suspects_) {
        out.suspects.push_back(suspect);
    }
    for (const auto& [part, at] : cleared_) {
        out.cleared.push_back(part);
    }
    return out;
}

void crash_suspects::merge(const suspicion_report& from, time_point now) {
    for (const auto part : from.cleared) {
        if (suspects_.contains(part)) {
            clear(part, now);
        }
    }
    for (const auto& told : from.suspects) {
        if (told.crashes.empty() ||
            now - std::max(last_crash(told), told.quarantined_until) > suspicion_lifetime) {
            continue;
        }
        if (is_cleared(told.part, now)) {
            add_cleared(told.part, now); // the sender does not know it
            continue;
        }
        const auto was_unknown = !suspects_.contains(told.part);
        auto& suspect = find_or_add(told.part, told.companions);
        std::erase_if(suspect.companions,
                      [&](std::uint64_t other) { return is_cleared(other, now); });
        for (const auto& crash : told.crashes) {
            add_crash(suspect.crashes, crash, crash.at - same_crash);
        }
        report_new(suspect, was_unknown);
        const auto is_longer = told.quarantined_until > suspect.quarantined_until;
        const auto is_new = told.quarantines > suspect.quarantines;
        suspect.quarantines = std::max(suspect.quarantines, told.quarantines);
        if (is_longer) {
            suspect.quarantined_until = told.quarantined_until;
        }
        if (is_new && suspect.quarantined_until > now) {
            changes_.push_back({.what = suspicion_change::kind::quarantined,
                                .part = told.part,
                                .crashes = count_separate(suspect.crashes),
                                .until = suspect.quarantined_until});
        }
        update_quarantine(suspect, now);
    }
    evict_weakest();
}

std::vector<suspicion_change> crash_suspects::take_changes() {
    return std::exchange(changes_, {});
}

std::size_t crash_suspects::quarantined(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(suspects_.begin(), suspects_.end(),
                      [&](const auto& item) { return item.second.quarantined_until > now; }));
}

void crash_suspects::forget_old(time_point now) {
    std::erase_if(suspects_, [&](const auto& item) {
        const auto& suspect = item.second;
        return now - std::max(last_crash(suspect), suspect.quarantined_until) > suspicion_lifetime;
    });
    std::erase_if(cleared_,
                  [&](const auto& item) { return now - item.second > clearance_lifetime; });
}

void crash_suspects::evict_weakest() {
    if (changes_.size() > max_changes) {
        changes_.erase(changes_.begin(), changes_.end() - static_cast<std::ptrdiff_t>(max_changes));
    }
    while (suspects_.size() > max_suspects) {
        const auto weakest =
            std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
                return std::pair(count_separate(a.second.crashes), last_crash(a.second)) <
                       std::pair(count_separate(b.second.crashes), last_crash(b.second));
            });
        suspects_.erase(weakest);
    }
}

} // namespace tarragonspar::dispatch
