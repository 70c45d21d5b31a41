#pragma once

#include <map>
#include <memory>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

#include "scenario.hpp"
#include "tarragonspar/routing/server_model.hpp"

namespace tarragonspar::bench {

/// @brief Request counts of one tier.
struct tier_result {
    std::uint64_t offered{};
    std::uint64_t in_time{};
    std::uint64_t late{};    ///< dispatched, but not complete at the deadline
    std::uint64_t shed{};    ///< refused before dispatch
    std::uint64_t expired{}; ///< never dispatched before the deadline
    std::uint64_t lost{};    ///< interrupted by the failure of its engine
};

/// @brief Result of one run.
struct run_result {
    std::map<int, tier_result> tiers;
    std::uint64_t prefill_tokens{};
    std::uint64_t wasted_prefill_tokens{};
    std::uint64_t prefix_hit_tokens{};
    std::uint64_t oracle_hit_tokens{}; ///< hits if each request had run on the engine with its
                                       ///< longest cached prefix
    std::uint64_t tier_inversions{};
    std::vector<double> ttft_seconds;
    std::vector<double> tbt_seconds;
};

/// Outcome of a request that a policy refuses.
enum class refusal : std::uint8_t { shed, expired };

class simulation;

/// @brief Assigns requests to engines. The simulation calls its member functions as events occur.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    policy(policy&&) = delete;
    policy& operator=(policy&&) = delete;
    virtual ~policy() = default;

    virtual void on_start(simulation& in) = 0;
    virtual void on_arrival(simulation& in, const simulated_request& request) = 0;
    virtual void on_first_token(simulation& in, const simulated_request& request,
                                std::size_t engine, token_count cached) = 0;
    virtual void on_token(simulation& in, const simulated_request& request, std::size_t engine,
                          token_count generated) = 0;
    /// Called when a request has ended; `complete` tells whether it was answered. If its deadline
    /// passed before dispatch, `engine` is the number of engines.
    virtual void on_end(simulation& in, const simulated_request& request, std::size_t engine,
                        bool complete) = 0;
    virtual void on_report(simulation& in, std::size_t engine,
                           const routing::load_report& report) = 0;
    virtual void on_cache_event(simulation& in, std::size_t engine, std::uint64_t sequence,
                                const emulator::cache_change& change) = 0;
    /// Called when a dispatched request could not be submitted: the engine was not reachable, or
    /// the request had ended before.
    virtual void on_dispatch_failed(simulation& in, const simulated_request& request,
                                    std::size_t engine) = 0;
    virtual void on_timer(simulation& in, std::uint64_t tag) = 0;
};

/// @brief Discrete-event simulation of a deployment in virtual time, with the operations that
/// policies may call.
class simulation {
public:
    simulation(const scenario& definition, policy& tested_policy);

    /// @brief Runs until every request has an outcome.
    [[nodiscard]] run_result run();

    // Interface for policies.

    [[nodiscard]] time_point now() const noexcept {
        return now_;
    }
    [[nodiscard]] const scenario& get_scenario() const noexcept {
        return scenario_;
    }
    [[nodiscard]] const simulated_request& request(const request_id& id) const {
        return *by_id_.at(id);
    }

    /// @brief Sends a request to an engine, where it arrives after `hop_delay`.
    /// @param from  sending instance, which decides whether a partition prevents the submission
    void dispatch(const simulated_request& request, std::size_t engine, std::size_t from);

    /// @brief Refuses a request; without effect if it already has an outcome.
    void refuse(const simulated_request& request, refusal why);

    /// @brief Counts a tier inversion: a request was shed while a less urgent one stayed queued.
    void record_inversion() {
        ++result_.tier_inversions;
    }

    /// @brief Schedules a call of the policy's `on_timer` with `tag`.
    void set_timer(duration after, std::uint64_t tag);

    /// @brief Whether two failure domains can currently reach each other.
    [[nodiscard]] bool connected(std::size_t domain_a, std::size_t domain_b) const;

    /// @brief Returns the true state of an engine, for policies with perfect knowledge.
    [[nodiscard]] const emulator::engine& engine(std::size_t index) const {
        return engines_[index].model;
    }
    [[nodiscard]] bool is_alive(std::size_t index) const {
        return engines_[index].alive;
    }
    [[nodiscard]] std::uint32_t in_flight(std::size_t index) const {
        return engines_[index].in_flight;
    }

private:
    enum class event_kind : std::uint8_t {
        arrival,
        engine_receives,
        engine_step,
        deadline,
        report,
        cache_event,
        incident,
        timer
    };
    struct event {
        time_point at;
        std::uint64_t order{};
        event_kind kind{};
        std::uint64_t subject{};
        request_id request;
        std::uint64_t detail{}; ///< number of the report or cache event, or the sending instance
        friend bool operator>(const event& a, const event& b) {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };
    struct engine_state {
        emulator::engine model;
        bool alive{true};
        std::uint32_t in_flight{};
        std::uint64_t cache_sequence{};
        time_point step_scheduled{};
    };
    struct request_state {
        bool has_outcome{false}; ///< whether the outcome has been counted
        bool dispatched{false};
        std::size_t engine{};
        time_point first_token{};
    };

    void push(time_point at, event_kind kind, std::uint64_t subject, request_id id = {},
              std::uint64_t detail = 0);
    void handle(const event& next);
    void receive(const event& submission);
    void step_engine(std::size_t index);
    void schedule_step(std::size_t index);
    void on_deadline(const request_id& id);
    void on_incident(const incident& item);
    void fail_engine(std::size_t index);
    void handle_progress(std::size_t index, const emulator::progress& update);
    void publish_cache_change(std::size_t index);
    tier_result& tier_of(const simulated_request& request);

    const scenario& scenario_;
    policy& policy_;
    time_point now_{};
    std::uint64_t event_order_{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<engine_state> engines_;
    std::unordered_map<request_id, const simulated_request*> by_id_;
    std::unordered_map<request_id, request_state> request_states_;
    std::map<std::pair<std::size_t, std::uint64_t>, emulator::cache_change> cache_changes_;
    std::map<std::pair<std::size_t, std::uint64_t>, routing::load_report> reports_;
    std::set<std::size_t> partitioned_domains_;
    std::size_t open_requests_{0};
    std::uint64_t report_number_{0};
    run_result result_;
};

} // namespace tarragonspar::bench
