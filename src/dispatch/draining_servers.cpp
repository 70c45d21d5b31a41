#include "tarragonspar/dispatch/draining_servers.hpp"

#include <algorithm>

namespace tarragonspar::dispatch {

namespace {

/// Maximum number of remembered draining servers. Several times the number of servers in the
/// largest deployment, so that a server whose entry is evicted has long disappeared from the list.
constexpr std::size_t max_draining_servers = 4096;

} // namespace

bool draining_servers::add(server_id server, time_point now) {
    const auto start = listed_starts_.find(server);
    const auto [found, inserted] = draining_.try_emplace(
        server,
        draining_server{.recorded_at = now,
                        .started_at_ms = start == listed_starts_.end() ? 0 : start->second});
    if (inserted && draining_.size() > max_draining_servers) {
        evict_oldest();
    }
    return inserted;
}

void draining_servers::apply(std::vector<config::server>& listed) {
    listed_starts_.clear();
    for (const auto& server : listed) {
        listed_starts_.emplace(server.id, server.started_at_ms);
    }
    for (auto& [id, known] : draining_) {
        known.seen_draining = known.seen_draining || !listed_starts_.contains(id);
    }
    for (auto& server : listed) {
        const auto found = draining_.find(server.id);
        if (found == draining_.end()) {
            continue;
        }
        auto& known = found->second;
        if (server.state != config::server_state::active) {
            known.seen_draining = true;
            continue;
        }
        const auto both_known = known.started_at_ms != 0 && server.started_at_ms != 0;
        const auto restarted =
            both_known ? server.started_at_ms != known.started_at_ms : known.seen_draining;
        if (restarted) {
            draining_.erase(found);
        } else {
            server.state = config::server_state::draining;
        }
    }
}

void draining_servers::evict_oldest() {
    const auto oldest =
        std::min_element(draining_.begin(), draining_.end(), [](const auto& a, const auto& b) {
            return a.second.recorded_at < b.second.recorded_at;
        });
    draining_.erase(oldest);
}

} // namespace tarragonspar::dispatch
