#include "policies.hpp"

#include <algorithm>

namespace tarragonspar::bench {

namespace {

/// Schedules all requests from one queue, with knowledge of true output lengths and engine states.
class oracle final : public policy {
public:
    void on_start(simulation&) override {}

    void on_arrival(simulation& in, const simulated_request& request) override {
        waiting_.push_back(&request);
        dispatch_waiting(in);
    }

    void on_first_token(simulation& in, const simulated_request&, std::size_t,
                        token_count) override {
        dispatch_waiting(in);
    }

    void on_token(simulation&, const simulated_request&, std::size_t, token_count) override {}

    void on_end(simulation& in, const simulated_request& request, std::size_t, bool) override {
        std::erase(waiting_, &request);
        dispatch_waiting(in);
    }

    void on_report(simulation& in, std::size_t, const routing::load_report&) override {
        dispatch_waiting(in);
    }

    void on_cache_event(simulation&, std::size_t, std::uint64_t,
                        const emulator::cache_change&) override {}

    void on_dispatch_failed(simulation& in, const simulated_request& request,
                            std::size_t) override {
        waiting_.push_back(&request);
        dispatch_waiting(in);
    }

    void on_timer(simulation&, std::uint64_t) override {}

private:
    /// Estimates the time until an engine would finish a request dispatched now.
    static double finish_seconds(const simulation& in, const simulated_request& request,
                                 std::size_t index) {
        const auto& engine = in.engine(index);
        const auto& options = engine.options();
        const auto cached = engine.cached_blocks(request.work.blocks) * block_tokens;
        const auto computed =
            request.work.prompt.value - std::min<std::size_t>(request.work.prompt.value, cached);
        const auto prefill = static_cast<double>(computed + engine.prefill_backlog()) /
                             options.prefill_tokens_per_second;
        const auto interval = options.decode_base_seconds +
                              (engine.running() + 1) * options.decode_seconds_per_stream;
        return (prefill + request.output.value * interval) * options.slowness;
    }

    static std::size_t entry_domain(const simulation& in, const simulated_request& request) {
        return in.get_scenario().instance_domain[request.entry];
    }

    void dispatch_waiting(simulation& in) {
        std::sort(waiting_.begin(), waiting_.end(), [](const auto* a, const auto* b) {
            return std::tuple(a->work.urgency, a->work.deadline, a->work.id) <
                   std::tuple(b->work.urgency, b->work.deadline, b->work.id);
        });
        std::vector<const simulated_request*> still_waiting;
        for (const auto* request : waiting_) {
            if (!try_dispatch(in, *request)) {
                still_waiting.push_back(request);
            }
        }
        waiting_ = std::move(still_waiting);
    }

    /// @return whether to remove the request from the queue: it was dispatched, or its deadline has
    /// passed and no usable engine could finish it in time
    bool try_dispatch(simulation& in, const simulated_request& request) {
        const auto remaining = to_seconds(request.work.deadline - in.now());
        std::optional<std::size_t> best;
        double best_finish = 0.0;
        bool feasible = false;
        for (std::size_t i = 0; i < in.get_scenario().engines.size(); ++i) {
            const auto usable = in.is_alive(i) && in.connected(entry_domain(in, request),
                                                               in.get_scenario().engines[i].domain);
            if (!usable) {
                continue;
            }
            const auto finish = finish_seconds(in, request, i);
            feasible = feasible || finish <= remaining;
            if (in.in_flight(i) >= in.engine(i).options().slots || finish > remaining) {
                continue;
            }
            if (!best || finish < best_finish) {
                best = i;
                best_finish = finish;
            }
        }
        if (best) {
            in.dispatch(request, *best, request.entry);
            return true;
        }
        return !feasible && remaining < 0.0;
    }

    std::vector<const simulated_request*> waiting_;
};

} // namespace

std::unique_ptr<policy> make_oracle() {
    return std::make_unique<oracle>();
}

} // namespace tarragonspar::bench
