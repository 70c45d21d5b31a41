#pragma once

#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "tarragonspar/admission/tier_queue.hpp"
#include "tarragonspar/dispatch/events.hpp"
#include "tarragonspar/routing/estimates.hpp"

namespace tarragonspar::dispatch {

/// @brief Tunable parts of an owner's decisions.
struct scheduler_options {
    std::size_t max_queued{4096}; ///< requests waiting in one instance
    admission::queue_options queue;
    double reserve_decay_per_second{0.05}; ///< how fast the observed top-tier peak is forgotten
    double max_reserve_share{0.1};         ///< part of the slots that low tiers can't fill
    double length_quantile{0.75};          ///< of the answer's length, for feasibility
    double optimistic_quantile{0.05};      ///< of its length, for what could be reached at best
    bool refuse_infeasible{true};          ///< refuse what can't finish in time before dispatch
    /// Predicted time to serve all that waits for a model, above which the newest request of the
    /// least urgent tier is refused; 0: not bounded.
    double max_wait_seconds{0.0};
    /// The same as a part of that request's own time from arrival to latency objective, where it
    /// has one; 0: as above. What would wait longer is late, and is as late when it comes back.
    double max_wait_share{0.0};
    /// Part of a request's time from arrival to latency objective for which it still waits past the
    /// objective; what can't be served then is refused, to come back later. 0: it waits until its
    /// deadline.
    double late_patience{0.0};
    /// Part of its remaining time after which a request refused for lack of room should come back;
    /// 0: as long as the queue takes to drain.
    double return_share{0.0};
    duration min_retry_after{std::chrono::seconds{1}};
    duration max_retry_after{std::chrono::seconds{60}};
    /// Part by which a predicted time may be raised at random in the choice of a server; for desks
    /// beside others, which would all choose the one that is fastest for all.
    double choice_noise{0.0};
    /// Part of all slots of a model that is this desk's, which it may exceed by the spread of a
    /// load of that size; for desks that share the servers with others without a word. 0: all.
    double slots_share{0.0};
    /// The same for the slots of each server.
    double server_share{0.0};
    bool transfer_to_peers{true};
    duration transfer_wait{std::chrono::milliseconds{150}}; ///< expected wait worth a transfer
};

/// @brief A request that was given to a server.
struct running_item {
    work_item work;
    server_id server;
    time_point started;
    time_point first_token_at{};
    duration predicted_first_token{};
    token_count predicted_output;
    token_count computed;
    double cost_seconds{};       ///< what the queue predicted for it; 0: it never waited here
    token_count observed_tokens; ///< tokens already used for the decode estimate
    time_point observed_at{};
    bool window_was_full{false};
    bool has_first_token{false};
    bool holds_prefix{false}; ///< others with an equal prefix wait for this one's prefill
    int failed_dispatches{};
};

/// @brief Most top-tier requests seen side by side, forgotten slowly.
struct peak_demand {
    double peak{};
    std::uint32_t present{};
    time_point updated{};
};

/// @brief Waiting requests for one model or service.
struct model_pool {
    admission::tier_queue queue;
    peak_demand top_tier;
    double service_seconds{2.0}; ///< mean time that a request keeps a slot busy
    double cost_seconds{2.0};    ///< mean of what the queue predicted for the same requests
};

/// @brief The servers that offer one model, by pointers into `scheduler::servers`; so it is moved
/// with them and never copied.
struct server_refs {
    server_refs() = default;
    server_refs(const server_refs&) = delete;
    server_refs& operator=(const server_refs&) = delete;
    server_refs(server_refs&&) = default;
    server_refs& operator=(server_refs&&) = default;
    ~server_refs() = default;
    std::vector<routing::server_model*> list;
};

/// @brief A peer's last digest, corrected by what was sent to it since.
struct peer_state {
    std::unordered_map<model_id, routing::model_digest> models;
    time_point heard{};
};

/// @brief Decisions of an owner: which request goes to which of its servers, and when.
///
/// Plain state; `step` is the only way to change it. The state holds no clock, thread or socket.
struct scheduler {
    scheduler_options options;
    std::map<server_id, routing::server_model> servers;
    std::map<model_id, server_refs> offering; ///< `servers` by what they offer
    std::map<model_id, model_pool> pools;
    std::map<request_id, running_item> running; ///< ordered, so that an issuer's can be listed
    std::map<request_id, model_id> queued_model;
    std::unordered_map<workspace_id, std::uint32_t> in_system;
    std::unordered_map<workspace_id, std::uint32_t> limits;
    std::map<instance_id, peer_state> peers;
    /// Until when a server wants nothing from a holder's requests.
    std::map<std::pair<server_id, instance_id>, time_point> pauses;
    std::unordered_map<std::string, double> class_speed; ///< seconds per token by hardware class
    std::unordered_set<block_hash> prefixes_underway;    ///< computed now, and worth waiting for
    routing::length_estimator lengths;
    routing::retry_budget retries;
    time_point ejection_checked{};
    time_point shed_checked{};
    bool ejection_stale{true}; ///< a server has failed since the last look
    bool draining{false};
    std::uint64_t placements_tried{}; ///< looks at all servers for one waiting request
};

/// @brief Applies an event and appends what is to be done to `effects`.
/// @par Complexity  linear in the owned servers and logarithmic in the queued requests; `ticked`
/// is linear in the requests of the least urgent waiting tier
/// @par Errors  none; an event about an unknown request is ignored, so events may be repeated
void step(scheduler& target, const event& what, time_point now, std::vector<effect>& effects);

/// @brief Digest of the work on each model, for peers.
[[nodiscard]] std::vector<routing::model_digest> make_digest(const scheduler& source,
                                                             time_point now);

/// @brief Requests that wait in all pools.
[[nodiscard]] std::size_t queued_count(const scheduler& source);

} // namespace tarragonspar::dispatch
