#include "policies.hpp"

#include <algorithm>
#include <random>

namespace tarragonspar::bench {

namespace {

/// Time for which an entry instance avoids an engine that refused a connection.
constexpr duration avoidance_period = std::chrono::seconds{1};
/// Maximum number of engines tried for one request.
constexpr int max_attempts = 3;

enum class rule : std::uint8_t { round_robin, least_reported, least_inflight, power_of_two };

/// Local state of one entry instance.
struct entry_view {
    std::size_t next{0};
    std::vector<std::uint32_t> in_flight;
    std::vector<routing::load_report> reports;
    std::vector<time_point> avoid_until;
};

/// Dispatches each request immediately; requests queue in the engines.
class baseline final : public policy {
public:
    baseline(rule chosen, std::uint64_t seed) : rule_(chosen), random_(seed) {}

    void on_start(simulation& in) override {
        const auto engines = in.get_scenario().engines.size();
        for (std::size_t i = 0; i < in.get_scenario().instance_domain.size(); ++i) {
            entries_.push_back({.next = i,
                                .in_flight = std::vector<std::uint32_t>(engines),
                                .reports = std::vector<routing::load_report>(engines),
                                .avoid_until = std::vector<time_point>(engines)});
        }
    }

    void on_arrival(simulation& in, const simulated_request& request) override {
        dispatch_request(in, request);
    }

    void on_first_token(simulation&, const simulated_request&, std::size_t, token_count) override {}
    void on_token(simulation&, const simulated_request&, std::size_t, token_count) override {}

    void on_end(simulation&, const simulated_request& request, std::size_t engine, bool) override {
        auto& entry = entries_[request.entry];
        if (engine < entry.in_flight.size() && entry.in_flight[engine] > 0) {
            --entry.in_flight[engine];
        }
    }

    void on_report(simulation&, std::size_t engine, const routing::load_report& report) override {
        for (auto& entry : entries_) {
            entry.reports[engine] = report;
        }
    }

    void on_cache_event(simulation&, std::size_t, std::uint64_t,
                        const emulator::cache_change&) override {}

    void on_dispatch_failed(simulation& in, const simulated_request& request,
                            std::size_t engine) override {
        auto& entry = entries_[request.entry];
        --entry.in_flight[engine];
        entry.avoid_until[engine] = in.now() + avoidance_period;
        if (++attempts_[request.work.id] < max_attempts) {
            dispatch_request(in, request);
        } else {
            in.refuse(request, refusal::shed);
        }
    }

    void on_timer(simulation&, std::uint64_t) override {}

private:
    std::vector<std::size_t> usable_engines(const simulation& in, const entry_view& entry) const {
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < entry.avoid_until.size(); ++i) {
            if (entry.avoid_until[i] <= in.now()) {
                indices.push_back(i);
            }
        }
        return indices;
    }

    std::size_t choose(entry_view& entry, const std::vector<std::size_t>& engines) {
        const auto reported = [&](std::size_t i) {
            return entry.reports[i].running + entry.reports[i].waiting;
        };
        switch (rule_) {
        case rule::round_robin:
            return engines[entry.next++ % engines.size()];
        case rule::least_reported:
            return *std::min_element(
                engines.begin(), engines.end(),
                [&](std::size_t a, std::size_t b) { return reported(a) < reported(b); });
        case rule::least_inflight: {
            const auto start = entry.next++;
            auto best = engines[start % engines.size()];
            for (std::size_t k = 1; k < engines.size(); ++k) {
                const auto other = engines[(start + k) % engines.size()];
                if (entry.in_flight[other] < entry.in_flight[best]) {
                    best = other;
                }
            }
            return best;
        }
        case rule::power_of_two:
            break;
        }
        const auto a = engines[random_() % engines.size()];
        const auto b = engines[random_() % engines.size()];
        return reported(a) + entry.in_flight[a] <= reported(b) + entry.in_flight[b] ? a : b;
    }

    void dispatch_request(simulation& in, const simulated_request& request) {
        auto& entry = entries_[request.entry];
        const auto engines = usable_engines(in, entry);
        if (engines.empty()) {
            in.refuse(request, refusal::shed);
            return;
        }
        const auto engine = choose(entry, engines);
        ++entry.in_flight[engine];
        in.dispatch(request, engine, request.entry);
    }

    rule rule_;
    std::mt19937_64 random_;
    std::vector<entry_view> entries_;
    std::unordered_map<request_id, int> attempts_;
};

} // namespace

std::unique_ptr<policy> make_baseline(const std::string& name, std::uint64_t seed) {
    if (name == "round_robin") {
        return std::make_unique<baseline>(rule::round_robin, seed);
    }
    if (name == "least_reported") {
        return std::make_unique<baseline>(rule::least_reported, seed);
    }
    if (name == "least_inflight") {
        return std::make_unique<baseline>(rule::least_inflight, seed);
    }
    if (name == "power_of_two") {
        return std::make_unique<baseline>(rule::power_of_two, seed);
    }
    return nullptr;
}

} // namespace tarragonspar::bench
