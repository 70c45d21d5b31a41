#pragma once

#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "tarragonspar/admission/tier_queue.hpp"
#include "tarragonspar/dispatch/events.hpp"
#include "tarragonspar/dispatch/request_limits.hpp"
#include "tarragonspar/routing/estimates.hpp"

namespace tarragonspar::dispatch {

/// @brief Options of an owner's scheduling decisions.
struct scheduler_options {
    std::size_t max_queued{4096}; ///< bound on the requests queued in one instance
    admission::queue_options queue;
    double reserve_decay_per_second{0.05}; ///< decay rate of the observed top-tier peak
    double max_reserve_share{0.1};         ///< share of the slots that lower tiers must leave free
    double length_quantile{0.75};          ///< of the answer length, for feasibility checks
    double optimistic_quantile{0.05};      ///< of the answer length, for the best case
    bool refuse_infeasible{true}; ///< refuse requests that can't finish before their deadline
    /// Predicted time to serve all queued requests of a model above which the request that is due
    /// last in the least urgent tier and rank is refused; 0: not bounded.
    double max_wait_seconds{0.0};
    /// The same bound as a share of that request's time from arrival to latency objective, where it
    /// has one; 0: `max_wait_seconds` applies. A request that would wait longer misses its
    /// objective anyway, and a retry would not miss it by more.
    double max_wait_share{0.0};
    /// Share of a request's time from arrival to latency objective for which it stays queued past
    /// the objective; after that it is refused, to be retried later. 0: it waits until its
    /// deadline.
    double late_tolerance{0.0};
    /// Share of its remaining time after which a request refused for lack of capacity should be
    /// retried; 0: the time that the queue takes to drain.
    double retry_share{0.0};
    duration min_retry_after{std::chrono::seconds{1}};
    duration max_retry_after{std::chrono::seconds{60}};
    /// Share by which a predicted time may be raised at random in the choice of a server. For grant
    /// schedulers that run beside others: without it all would choose the same fastest server.
    double choice_noise{0.0};
    /// Share of all slots of a model that this grant scheduler may use, plus 1.5 standard
    /// deviations of a load of that size. For grant schedulers that share the servers with others
    /// without coordination. 0: all slots.
    double slots_share{0.0};
    /// The same share for the slots of each server, without the addition. 0: all slots.
    double server_share{0.0};
    /// Share of the rates that servers name which this grant scheduler may use.
    double request_limit_share{1.0};
    bool transfer_to_peers{true};
    /// Expected wait that justifies a transfer.
    duration transfer_wait{std::chrono::milliseconds{150}};
};

/// @brief A request that was dispatched to a server.
struct running_item {
    work_item work;
    server_id server;
    time_point started;
    time_point first_token_at{};
    duration predicted_first_token{};
    token_count predicted_output;
    token_count computed;
    double cost_seconds{};       ///< predicted while it was queued; 0: it was never queued here
    token_count observed_tokens; ///< tokens already included in the decode estimate
    time_point observed_at{};
    bool window_was_full{false};
    bool has_first_token{false};
    bool computes_prefix{false}; ///< requests with an equal prefix wait for this prefill
    int failed_dispatches{};
};

/// @brief Peak number of concurrent top-tier requests; decays exponentially.
struct peak_demand {
    double peak{};
    std::uint32_t present{};
    time_point updated{};
};

/// @brief Queue of one model or service, with its mean service times.
struct model_pool {
    admission::tier_queue queue;
    peak_demand top_tier;
    double service_seconds{2.0}; ///< mean time that a request occupies a slot
    double cost_seconds{2.0};    ///< mean of the times predicted for the same requests
};

/// @brief The servers that offer one model, as pointers into `scheduler::servers`. Moved together
/// with that map and never copied, so that the pointers stay valid.
struct server_refs {
    server_refs() = default;
    server_refs(const server_refs&) = delete;
    server_refs& operator=(const server_refs&) = delete;
    server_refs(server_refs&&) = default;
    server_refs& operator=(server_refs&&) = default;
    ~server_refs() = default;
    std::vector<routing::server_model*> list;
};

/// @brief A peer's last digest, adjusted for the requests transferred to it since.
struct peer_state {
    std::unordered_map<model_id, routing::model_digest> models;
    time_point last_seen{};
};

/// @brief Scheduler of an owner: decides which request goes to which of its servers, and when.
///
/// Plain state that only `step` changes. It holds no clock, thread or socket.
struct scheduler {
    scheduler_options options;
    std::map<server_id, routing::server_model> servers;
    std::map<model_id, server_refs> offering; ///< `servers` by offered model
    std::map<model_id, model_pool> pools;
    std::map<request_id, running_item> running; ///< ordered, so that an issuer's form a range
    std::map<request_id, model_id> queued_model;
    std::unordered_map<workspace_id, std::uint32_t> in_system;
    std::unordered_map<workspace_id, std::uint32_t> limits;
    std::map<instance_id, peer_state> peers;
    /// Time until which a server asked a dispatcher to back off.
    std::map<std::pair<server_id, instance_id>, time_point> backoffs;
    request_limits limits_named; ///< rates of requests that servers named
    crash_suspects suspects;     ///< prompt parts under which servers were lost
    std::unordered_map<std::string, double> class_speed; ///< seconds per token by hardware class
    std::unordered_set<block_hash> in_flight_prefixes; ///< being computed; equal ones wait for them
    routing::length_estimator lengths;
    routing::retry_budget retries;
    time_point last_ejection_check{};
    time_point last_shed_check{};
    bool ejection_stale{true}; ///< a server has failed since the last check
    bool draining{false};
    std::uint64_t placements_tried{}; ///< searches over all servers for one queued request
};

/// @brief Applies an event and appends the resulting actions to `effects`.
/// @par Complexity  linear in the owned servers and logarithmic in the queued requests; `ticked`
/// is linear in the requests of the least urgent waiting tier
/// @par Errors  none; an event about an unknown request is ignored, so events may be delivered more
/// than once
void step(scheduler& target, const event& input, time_point now, std::vector<effect>& effects);

/// @brief Returns a digest of capacity and load per model, for peers. Empty while draining.
[[nodiscard]] std::vector<routing::model_digest> make_digest(const scheduler& source,
                                                             time_point now);

/// @brief Returns the quarantine that forbids to send a request to any server, if there is one.
[[nodiscard]] std::optional<prompt_judgement>
find_quarantine(const scheduler& source, const work_item& work, time_point now);

/// @brief Returns the number of queued requests in all pools.
[[nodiscard]] std::size_t queued_count(const scheduler& source);

} // namespace tarragonspar::dispatch
