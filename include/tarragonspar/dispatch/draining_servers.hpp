#pragma once

#include <map>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::dispatch {

/// @brief Servers that announced in an answer that they are draining.
///
/// The platform's server list lags behind these announcements, and another instance may still send
/// an older list. A draining server therefore becomes usable again only after a restart: the list
/// gives a different start time for it, or, where start times are not known, the list has shown it
/// as draining or omitted it in between.
class draining_servers {
public:
    /// @brief Adds a server.
    /// @return false when the server was known to be draining already
    bool add(server_id server, time_point now);

    /// @brief Whether a server is draining.
    [[nodiscard]] bool contains(server_id server) const {
        return draining_.contains(server);
    }

    /// @brief Marks the draining servers in a new list, and erases those that have restarted.
    /// @par Complexity  linear in the listed servers
    void apply(std::vector<config::server>& listed);

private:
    struct draining_server {
        time_point recorded_at{};
        std::uint64_t started_at_ms{}; ///< from the list before it was added; 0: not known
        bool seen_draining{false};     ///< the list has shown it as draining or omitted it since
    };

    void evict_oldest();

    std::map<server_id, draining_server> draining_;
    std::map<server_id, std::uint64_t> listed_starts_; ///< start times in the last list
};

} // namespace tarragonspar::dispatch
