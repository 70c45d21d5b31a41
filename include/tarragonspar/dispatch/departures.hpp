#pragma once

#include <map>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::dispatch {

/// @brief Servers that said in an answer that they are leaving.
///
/// The platform's list lags behind such answers, and another instance may still tell an older list,
/// so a server that left comes back only as a new start: one that the list names with another
/// moment of its start, or one that the list showed as leaving or left out in between.
class departures {
public:
    /// @brief Notes that a server leaves.
    /// @return whether that is news
    bool note(server_id server, time_point now);

    /// @brief Whether a server is leaving.
    [[nodiscard]] bool contains(server_id server) const {
        return leaving_.contains(server);
    }

    /// @brief Marks servers of a fresh list that are leaving, and forgets those that started anew.
    /// @par Complexity  linear in the listed servers
    void apply(std::vector<config::server>& listed);

private:
    struct departure {
        time_point noted{};
        std::uint64_t started_at_ms{}; ///< as the list told it before; 0: not told
        bool seen_leaving{false};      ///< the list has shown the departure since
    };

    void forget_oldest();

    std::map<server_id, departure> leaving_;
    std::map<server_id, std::uint64_t> listed_starts_; ///< by the last list
};

} // namespace tarragonspar::dispatch
