#pragma once

#include <map>
#include <optional>
#include <vector>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::dispatch {

/// @brief What a server last said about the rate of requests that it accepts.
struct limit_statement {
    server_id server;
    std::optional<double> per_second; ///< from all instances together; nothing: no limit any more
    time_point at{};
};

/// @brief The rates that servers named, and what may still be sent to each of them.
///
/// A server names its limit in its answers for as long as it needs it. Every request that is
/// granted counts, whatever becomes of it. Even the lowest limit lets a request through now and
/// then, since only an answer can tell that the limit has ended. Plain state without a clock.
class request_limits {
public:
    /// @brief Records what an answer to one of this instance's own requests said.
    /// @param sent  when the request was sent; an answer to an earlier request does not end a limit
    /// @return whether the limit is another one than before
    bool record_answer(server_id server, std::optional<double> per_second, time_point sent,
                       time_point now);

    /// @brief Records what another instance was told; an older statement is ignored.
    /// @return whether the limit is another one than before
    bool merge(const limit_statement& told, time_point now);

    /// @brief Whether one more request may be sent to a server now.
    /// @param share  share of each limit that this instance may use
    [[nodiscard]] bool allows(server_id server, double share, time_point now) const;

    /// @brief Counts a request that is sent to a server.
    void take(server_id server, double share, time_point now);

    /// @brief Returns the limit of a server, if it has one.
    [[nodiscard]] std::optional<double> find(server_id server) const;

    /// @brief Returns the statements, for other instances.
    /// @param own_only  without those that other instances were told
    [[nodiscard]] std::vector<limit_statement> statements(bool own_only) const;

    /// @brief Forgets old statements about servers that are no longer listed or no longer limited.
    template <class IsListed>
    void forget(const IsListed& is_listed, time_point now) {
        std::erase_if(limits_, [&](const auto& item) {
            const auto is_current = item.second.per_second && is_listed(item.first);
            return !is_current && now - item.second.at > retention;
        });
    }

private:
    /// Time for which the end of a limit is remembered, so that older statements don't revive it.
    static constexpr duration retention = std::chrono::seconds{60};

    struct limited_server {
        std::optional<double> per_second;
        time_point at{};    ///< of the newest statement
        bool own{false};    ///< it came in an answer to this instance
        double available{}; ///< requests that may be sent
        time_point available_at{};
    };

    [[nodiscard]] static double available(const limited_server& of, double share, time_point now);

    std::map<server_id, limited_server> limits_;
};

} // namespace tarragonspar::dispatch
