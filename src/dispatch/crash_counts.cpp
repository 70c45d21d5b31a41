#include "tarragonspar/dispatch/detail/crash_counts.hpp"

#include <algorithm>

namespace tarragonspar::dispatch::detail {

namespace {

/// Crashes closer together count as one: the loss of a rack takes several servers at once, and with
/// them requests that have a sound part in common.
constexpr duration separate_crashes = std::chrono::milliseconds{200};
/// Newest crashes that are kept of a part.
constexpr std::size_t max_crashes = 6;

} // namespace

std::size_t count_separate(const std::vector<server_crash>& crashes, bool with_unconfirmed) {
    std::size_t count = 0;
    time_point last{};
    for (const auto& crash : crashes) {
        if (!crash.confirmed && !with_unconfirmed) {
            continue;
        }
        if (count == 0 || crash.follows || crash.at - last >= separate_crashes) {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

void add_crash(std::vector<server_crash>& target, const server_crash& crash, time_point since) {
    const auto known = std::find_if(target.begin(), target.end(), [&](const server_crash& other) {
        return other.server == crash.server && other.at > since && other.at < crash.at + same_crash;
    });
    if (known != target.end()) {
        known->confirmed = known->confirmed || crash.confirmed;
        known->follows = known->follows || crash.follows;
        return;
    }
    const auto later = std::find_if(target.begin(), target.end(),
                                    [&](const auto& other) { return other.at > crash.at; });
    target.insert(later, crash);
    if (target.size() > max_crashes) {
        target.erase(target.begin());
    }
}

time_point last_crash(const std::vector<server_crash>& crashes) {
    return crashes.empty() ? time_point{} : crashes.back().at;
}

} // namespace tarragonspar::dispatch::detail
