#include "tarragonspar/dispatch/departures.hpp"

#include <algorithm>

namespace tarragonspar::dispatch {

namespace {

/// Remembered departures: several times the servers of the largest deployment, so that a server
/// whose entry is dropped has been gone from the list for long.
constexpr std::size_t max_departures = 4096;

} // namespace

bool departures::note(server_id server, time_point now) {
    const auto start = listed_starts_.find(server);
    const auto [found, fresh] = leaving_.try_emplace(
        server, departure{.noted = now,
                          .started_at_ms = start == listed_starts_.end() ? 0 : start->second});
    if (fresh && leaving_.size() > max_departures) {
        forget_oldest();
    }
    return fresh;
}

void departures::apply(std::vector<config::server>& listed) {
    listed_starts_.clear();
    for (const auto& server : listed) {
        listed_starts_.emplace(server.id, server.started_at_ms);
    }
    for (auto& [id, known] : leaving_) {
        known.seen_leaving = known.seen_leaving || !listed_starts_.contains(id);
    }
    for (auto& server : listed) {
        const auto found = leaving_.find(server.id);
        if (found == leaving_.end()) {
            continue;
        }
        auto& known = found->second;
        if (server.state != config::server_state::active) {
            known.seen_leaving = true;
            continue;
        }
        const auto both_told = known.started_at_ms != 0 && server.started_at_ms != 0;
        const auto started_anew =
            both_told ? server.started_at_ms != known.started_at_ms : known.seen_leaving;
        if (started_anew) {
            leaving_.erase(found);
        } else {
            server.state = config::server_state::draining;
        }
    }
}

void departures::forget_oldest() {
    const auto oldest =
        std::min_element(leaving_.begin(), leaving_.end(), [](const auto& a, const auto& b) {
            return a.second.noted < b.second.noted;
        });
    leaving_.erase(oldest);
}

} // namespace tarragonspar::dispatch
