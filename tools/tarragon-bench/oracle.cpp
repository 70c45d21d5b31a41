#include "policies.hpp"

#include <algorithm>

namespace tarragonspar::bench {

namespace {

/// Sees true lengths, true engine states and everything at once.
class oracle final : public policy {
public:
    void on_start(world&) override {}

    void on_arrival(world& in, const trial_request& request) override {
        waiting_.push_back(&request);
        pump(in);
    }

    void on_first_token(world& in, const trial_request&, std::size_t, token_count) override {
        pump(in);
    }

    void on_token(world&, const trial_request&, std::size_t, token_count) override {}

    void on_end(world& in, const trial_request& request, std::size_t, bool) override {
        std::erase(waiting_, &request);
        pump(in);
    }

    void on_report(world& in, std::size_t, const routing::load_report&) override {
        pump(in);
    }

    void on_cache_event(world&, std::size_t, std::uint64_t,
                        const emulator::cache_change&) override {}

    void on_dispatch_failed(world& in, const trial_request& request, std::size_t) override {
        waiting_.push_back(&request);
        pump(in);
    }

    void on_timer(world&, std::uint64_t) override {}

private:
    static double finish_seconds(const world& in, const trial_request& request, std::size_t index) {
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

    static std::size_t entry_domain(const world& in, const trial_request& request) {
        return in.setting().instance_domain[request.entry];
    }

    void pump(world& in) {
        std::sort(waiting_.begin(), waiting_.end(), [](const auto* a, const auto* b) {
            return std::tuple(a->work.urgency, a->work.deadline, a->work.id) <
                   std::tuple(b->work.urgency, b->work.deadline, b->work.id);
        });
        std::vector<const trial_request*> left;
        for (const auto* request : waiting_) {
            if (!try_dispatch(in, *request)) {
                left.push_back(request);
            }
        }
        waiting_ = std::move(left);
    }

    /// Returns whether the request left the queue.
    bool try_dispatch(world& in, const trial_request& request) {
        const auto remaining = to_seconds(request.work.deadline - in.now());
        std::optional<std::size_t> best;
        double best_finish = 0.0;
        bool could = false;
        for (std::size_t i = 0; i < in.setting().engines.size(); ++i) {
            const auto usable = in.is_alive(i) && in.connected(entry_domain(in, request),
                                                               in.setting().engines[i].domain);
            if (!usable) {
                continue;
            }
            const auto finish = finish_seconds(in, request, i);
            could = could || finish <= remaining;
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
        return !could && remaining < 0.0;
    }

    std::vector<const trial_request*> waiting_;
};

} // namespace

std::unique_ptr<policy> make_oracle() {
    return std::make_unique<oracle>();
}

} // namespace tarragonspar::bench
