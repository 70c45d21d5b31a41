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

/// @brief Counts of one tier.
struct tier_result {
    std::uint64_t offered{};
    std::uint64_t in_time{};
    std::uint64_t late{};    ///< dispatched, but its caller left at the deadline
    std::uint64_t shed{};    ///< refused before dispatch
    std::uint64_t expired{}; ///< never dispatched; its time ran out
    std::uint64_t lost{};    ///< cut off by the loss of its engine
};

/// @brief Result of one run.
struct run_result {
    std::map<int, tier_result> tiers;
    std::uint64_t prefill_tokens{};
    std::uint64_t wasted_prefill_tokens{};
    std::uint64_t prefix_hit_tokens{};
    std::uint64_t oracle_hit_tokens{}; ///< hits had each request gone where most of it was cached
    std::uint64_t tier_inversions{};
    std::vector<double> ttft_seconds;
    std::vector<double> tbt_seconds;
};

/// What became of a request that a policy refused.
enum class refusal : std::uint8_t { shed, expired };

class world;

/// @brief A way to assign requests to engines.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    policy(policy&&) = delete;
    policy& operator=(policy&&) = delete;
    virtual ~policy() = default;

    virtual void on_start(world& in) = 0;
    virtual void on_arrival(world& in, const trial_request& request) = 0;
    virtual void on_first_token(world& in, const trial_request& request, std::size_t engine,
                                token_count cached) = 0;
    virtual void on_token(world& in, const trial_request& request, std::size_t engine,
                          token_count generated) = 0;
    /// The request left its engine; `whole` if it was answered.
    virtual void on_end(world& in, const trial_request& request, std::size_t engine,
                        bool whole) = 0;
    virtual void on_report(world& in, std::size_t engine, const routing::load_report& report) = 0;
    virtual void on_cache_event(world& in, std::size_t engine, std::uint64_t sequence,
                                const emulator::cache_change& change) = 0;
    /// The connection to an engine was refused.
    virtual void on_dispatch_failed(world& in, const trial_request& request,
                                    std::size_t engine) = 0;
    virtual void on_timer(world& in, std::uint64_t tag) = 0;
};

/// @brief Virtual time, the engines, and what the policies may do.
class world {
public:
    world(const scenario& what, policy& how);

    /// @brief Runs until every request has met its fate.
    [[nodiscard]] run_result run();

    // For policies.

    [[nodiscard]] time_point now() const noexcept {
        return now_;
    }
    [[nodiscard]] const scenario& setting() const noexcept {
        return scenario_;
    }
    [[nodiscard]] const trial_request& request(const request_id& id) const {
        return *by_id_.at(id);
    }

    /// @brief Sends a request to an engine; it arrives a hop later.
    /// @param from  the instance that sends, for partitions
    void dispatch(const trial_request& request, std::size_t engine, std::size_t from);

    /// @brief Tells the caller that its request will not run.
    void refuse(const trial_request& request, refusal why);

    /// @brief Reports that a request was shed while a less urgent one was kept.
    void note_inversion() {
        ++result_.tier_inversions;
    }

    /// @brief Calls the policy's `on_timer` later.
    void set_timer(duration after, std::uint64_t tag);

    /// @brief Whether two failure domains reach each other now.
    [[nodiscard]] bool connected(std::size_t domain_a, std::size_t domain_b) const;

    /// @brief The true state of an engine, for schedules with perfect knowledge.
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
        std::uint64_t detail{};
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
    struct fate {
        bool settled{false};
        bool dispatched{false};
        std::size_t engine{};
        time_point first_token{};
    };

    void push(time_point at, event_kind kind, std::uint64_t subject, request_id id = {},
              std::uint64_t detail = 0);
    void handle(const event& what);
    void receive(const event& what);
    void step_engine(std::size_t index);
    void schedule_step(std::size_t index);
    void on_deadline(const request_id& id);
    void on_incident(const incident& what);
    void kill_engine(std::size_t index);
    void take_progress(std::size_t index, const emulator::progress& what);
    void take_cache_change(std::size_t index);
    tier_result& tier_of(const trial_request& request);

    const scenario& scenario_;
    policy& policy_;
    time_point now_{};
    std::uint64_t order_{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<engine_state> engines_;
    std::unordered_map<request_id, const trial_request*> by_id_;
    std::unordered_map<request_id, fate> fates_;
    std::map<std::pair<std::size_t, std::uint64_t>, emulator::cache_change> cache_changes_;
    std::map<std::pair<std::size_t, std::uint64_t>, routing::load_report> reports_;
    std::set<std::size_t> parted_;
    std::size_t open_{0};
    std::uint64_t report_number_{0};
    run_result result_;
};

} // namespace tarragonspar::bench
