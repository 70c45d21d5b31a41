#pragma once

#include <map>
#include <queue>
#include <random>
#include <vector>

#include "tarragonspar/dispatch/grant_scheduler.hpp"

/// @brief Replays a load through the grant scheduler's decisions, in virtual time.
namespace tarragonspar::testing {

/// @brief A load similar to that of the first users: twelve engines, a third of them several times
/// slower, three kinds of streaming requests, and a burst.
struct replay_options {
    std::uint64_t seed{1};
    double requests_per_second{55.0};
    double burst_factor{2.2};
    double burst_from{4.0};
    double burst_to{8.0};
    double length{14.0}; ///< seconds of arrivals
    bool objectives{true};
    double max_wait_seconds{2.0};
    std::uint32_t engines{12};
    std::uint32_t sessions{0}; ///< number of sessions with a shared prompt prefix; 0: none
};

struct tier_result {
    int arrivals{0};
    int in_objective{0};
    int answered{0};
    int refused{0};
    [[nodiscard]] double share() const {
        return arrivals == 0 ? 1.0 : static_cast<double>(in_objective) / arrivals;
    }
};

/// @brief One run. The time that an engine takes depends on its speed and the request's size.
class grant_scheduler_replay {
public:
    explicit grant_scheduler_replay(const replay_options& options)
        : options_(options), random_(options.seed) {
        scheduler_.decisions.options.max_wait_seconds = options.max_wait_seconds;
        std::vector<config::server> servers;
        for (std::uint32_t i = 1; i <= options.engines; ++i) {
            servers.push_back({.id = {i},
                               .name = "e" + std::to_string(i),
                               .address = "10.0.0.1:1",
                               .offers = {"m"},
                               .hardware_class = "e" + std::to_string(i),
                               .slots = 4,
                               .slots_are_exact = true});
        }
        std::vector<dispatch::decision> made;
        dispatch::set_servers(scheduler_, servers, now_, made);
    }

    std::map<int, tier_result> run() {
        plan_arrivals();
        while (!events_.empty()) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at;
            std::vector<dispatch::decision> made;
            handle(next, made);
            for (std::size_t i = 0; i < made.size(); ++i) {
                apply(made[i]);
            }
        }
        return results_;
    }

    /// @brief Returns the number of searches over all servers per request.
    [[nodiscard]] double placements_per_request() const {
        return static_cast<double>(scheduler_.decisions.placements_tried) /
               static_cast<double>(requests_.size());
    }

private:
    enum class kind : std::uint8_t { arrival, first_token, end, tick };
    struct event {
        time_point at;
        kind type{};
        std::uint64_t request{};
        bool operator<(const event& other) const {
            return at > other.at;
        }
    };
    struct request {
        work_item work;
        double output{};
        bool late{false};
    };

    void plan_arrivals() {
        // Shares, prompt and answer lengths, and objectives as specified by the first users.
        constexpr double mean_prompt[] = {3720.0, 2890.0, 1110.0};
        constexpr double mean_output[] = {120.0, 52.0, 172.0};
        constexpr int objective_ms[] = {1200, 1000, 800};
        constexpr int deadline_ms[] = {12000, 6000, 12000};
        std::discrete_distribution<int> tiers({15.9, 6.4, 15.8});
        double at = 0.0;
        while (at < options_.length) {
            const auto burst = at >= options_.burst_from && at < options_.burst_to;
            const auto rate = options_.requests_per_second * (burst ? options_.burst_factor : 1.0);
            at += std::exponential_distribution<double>(rate)(random_);
            const auto tier_number = tiers(random_);
            std::lognormal_distribution<double> spread(-0.5, 1.0);
            request made;
            auto& work = made.work;
            work.id = {.issuer = {1}, .issued_in = {1}, .sequence = requests_.size() + 1};
            work.urgency = {static_cast<std::uint8_t>(tier_number)};
            work.model = {hash_name("m")};
            work.profile = static_cast<std::uint64_t>(tier_number);
            work.arrival = time_point{} + from_seconds(1.0 + at);
            work.deadline = work.arrival + std::chrono::milliseconds{deadline_ms[tier_number]};
            if (options_.objectives) {
                work.objective =
                    work.arrival + std::chrono::milliseconds{objective_ms[tier_number]};
            }
            work.prompt = {static_cast<std::uint32_t>(mean_prompt[tier_number] * spread(random_)) +
                           1};
            made.output = mean_output[tier_number] * spread(random_) + 1.0;
            work.max_output = {static_cast<std::uint32_t>(made.output) + 1};
            if (options_.sessions > 0) {
                const auto session = random_() % options_.sessions + 1;
                for (std::uint32_t block = 0; block < work.prompt.value / block_tokens; ++block) {
                    work.blocks.push_back({hash_pair(session, block)});
                }
            }
            objectives_[work.id.sequence] =
                work.arrival + std::chrono::milliseconds{objective_ms[tier_number]};
            events_.push({work.arrival, kind::arrival, work.id.sequence});
            requests_.emplace(work.id.sequence, made);
        }
        for (int ms = 0; ms < static_cast<int>((options_.length + 14.0) * 1e3); ms += 25) {
            events_.push({time_point{std::chrono::milliseconds{1'000 + ms}}, kind::tick, 0});
        }
    }

    void handle(const event& input, std::vector<dispatch::decision>& made) {
        if (input.type == kind::tick) {
            dispatch::tick(scheduler_, now_, made);
            return;
        }
        auto& item = requests_.at(input.request);
        const auto id = item.work.id;
        auto& result = results_[item.work.urgency.value];
        switch (input.type) {
        case kind::arrival:
            ++result.arrivals;
            dispatch::ask(scheduler_, item.work, dispatch::previous_grant::none, now_, made);
            return;
        case kind::first_token:
            result.in_objective += now_ <= objectives_.at(input.request) ? 1 : 0;
            dispatch::record(scheduler_,
                             {.id = id, .kind = dispatch::grant_update::stage::first_token}, now_,
                             made);
            return;
        default:
            ++result.answered;
            dispatch::record(scheduler_,
                             {.id = id,
                              .kind = dispatch::grant_update::stage::done,
                              .generated = {static_cast<std::uint32_t>(item.output)}},
                             now_, made);
        }
    }

    void apply(const dispatch::decision& made) {
        auto& item = requests_.at(made.id.sequence);
        const auto* given = std::get_if<dispatch::grant>(&made.result);
        if (given == nullptr) {
            ++results_[item.work.urgency.value].refused;
            return;
        }
        // A third of the engines are several times slower.
        const auto slowness = given->server.value % 3 == 0 ? 3.0 : 0.68;
        const auto prefill = item.work.prompt.value / 36'700.0 * slowness + 0.022;
        const auto decode = item.output * 0.0049 * slowness;
        const auto first = now_ + from_seconds(prefill);
        events_.push({first, kind::first_token, made.id.sequence});
        events_.push({first + from_seconds(decode), kind::end, made.id.sequence});
    }

    replay_options options_;
    std::mt19937_64 random_;
    dispatch::grant_scheduler scheduler_;
    time_point now_{std::chrono::seconds{1}};
    std::priority_queue<event> events_;
    std::map<std::uint64_t, request> requests_;
    std::map<std::uint64_t, time_point> objectives_;
    std::map<int, tier_result> results_;
};

} // namespace tarragonspar::testing
