#pragma once

#include <functional>
#include <map>
#include <vector>

#include "tarragonspar/dispatch/server_loss.hpp"

namespace tarragonspar::dispatch {

struct suspected_part;

/// @brief Recent requests, losses of connections and ends of servers: what `crash_suspects` needs
/// to tell a request that crashes servers from servers that end for another reason.
///
/// Bounded in size and age. Plain state without a clock. Not thread-safe.
class loss_history {
public:
    /// @brief Records that a request was granted.
    void record_request(model_id service, const std::vector<std::uint64_t>& parts, time_point now);

    /// @brief Records a loss, whatever became of the server.
    void record_loss(const server_loss& loss, time_point now);

    /// @brief Records the end of a server.
    /// @return the recent losses on it that were not known to be due to its end
    std::vector<server_loss> record_end(const server_end& end, time_point now);

    /// @brief Records that a server answered a request that was granted at `started`.
    /// @return whether there were earlier losses on it with an unknown fate; they count as lost
    /// connections now
    bool record_answer(server_id server, time_point started);

    /// @brief Whether the same request was lost before, so that this loss is one of its repeat.
    [[nodiscard]] bool has_earlier_loss(const server_loss& loss) const;

    /// @brief Whether a part is in more than half of a service's recent requests, so that most
    /// requests on a lost server have it whatever ended the server.
    [[nodiscard]] bool is_common(model_id service, std::uint64_t part, time_point now) const;

    /// @brief Returns the servers of a service that ended at about the time of a crash, although
    /// they had run neither a request with the part nor one with another suspected part.
    /// @param since  from when on all requests are known
    /// @param is_suspected  whether the request of a loss may be the cause of its server's end
    [[nodiscard]] std::vector<server_id>
    ends_without(const suspected_part& suspect, time_point crash, time_point since,
                 const std::function<bool(const server_loss&)>& is_suspected) const;

private:
    struct granted_request {
        std::vector<std::uint64_t> parts;
        time_point at{};
    };

    void forget_old(time_point now);

    std::vector<server_loss> losses_;
    std::vector<server_end> ends_;
    std::map<model_id, std::vector<granted_request>> requests_;
};

} // namespace tarragonspar::dispatch
