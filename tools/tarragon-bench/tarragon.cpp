#include "policies.hpp"

#include <algorithm>
#include <functional>
#include <random>

#include "tarragonspar/dispatch/scheduler.hpp"
#include "tarragonspar/membership/ownership.hpp"
#include "tarragonspar/routing/placement.hpp"

namespace tarragonspar::bench {

namespace {

using std::chrono::milliseconds;

constexpr duration tick_interval = milliseconds{10};
constexpr duration gossip_interval = milliseconds{600};
/// Delay until a partition or its end is detected; matches the suspicion time of the membership
/// protocol.
constexpr duration partition_detection_delay = milliseconds{2600};
/// Timeout of a call to an unreachable instance.
constexpr duration call_timeout = milliseconds{500};
/// Maximum number of owners tried for one request.
constexpr int max_attempts = 4;

std::size_t index_of(instance_id id) {
    return id.value - 1;
}

instance_id id_of(std::size_t index) {
    return {static_cast<std::uint32_t>(index + 1)};
}

/// State of one entry instance: the scheduler of the servers that it owns, and its view of the
/// other instances.
struct node {
    dispatch::scheduler owner;
    routing::placement placement;
    std::vector<bool> believed_reachable; ///< by instance index, as last detected
};

/// State of a request at its entry instance.
struct routing_state {
    std::vector<instance_id> avoid;
    int attempts{0};
    std::uint8_t transfers{0};
    std::size_t owner{0};
    bool finished{false};
};

/// Runs the scheduling, placement and ownership code of the library on simulated entry instances.
class tarragon final : public policy {
public:
    tarragon(std::string variant, std::uint64_t seed)
        : variant_(std::move(variant)), random_(seed) {}

    void on_start(simulation& in) override {
        const auto count = in.get_scenario().instance_domain.size();
        nodes_.resize(count);
        for (auto& item : nodes_) {
            item.believed_reachable.assign(count, true);
            apply_variant(item);
        }
        for (std::size_t i = 0; i < count; ++i) {
            reassign_servers(in, i);
        }
        schedule(in, tick_interval, [this, &in] { tick(in); });
        schedule(in, gossip_interval, [this, &in] { gossip(in); });
        schedule(in, milliseconds{100}, [this, &in] { detect_partitions(in); });
    }

    void on_arrival(simulation& in, const simulated_request& request) override {
        route(in, request, std::nullopt);
    }

    void on_first_token(simulation& in, const simulated_request& request, std::size_t,
                        token_count cached) override {
        deliver(in, owner_of(request),
                dispatch::first_token{.id = request.work.id, .cached = cached});
    }

    void on_token(simulation& in, const simulated_request& request, std::size_t,
                  token_count generated) override {
        constexpr std::uint32_t report_interval_tokens = 8;
        if (generated.value % report_interval_tokens == 0) {
            deliver(in, owner_of(request),
                    dispatch::progressed{.id = request.work.id, .generated = generated});
        }
    }

    void on_end(simulation& in, const simulated_request& request, std::size_t engine,
                bool complete) override {
        auto& state = routing_states_[request.work.id];
        if (engine >= in.get_scenario().engines.size()) {
            if (!state.finished) {
                state.finished = true;
                deliver(in, state.owner, dispatch::withdrawn{.id = request.work.id});
            }
            return;
        }
        const auto engine_failed = !complete && !in.is_alive(engine);
        deliver(in, state.owner,
                dispatch::ended{.id = request.work.id,
                                .complete = complete,
                                .server_fault = engine_failed,
                                .generated = complete ? request.output : token_count{}});
    }

    void on_report(simulation& in, std::size_t engine,
                   const routing::load_report& report) override {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].owner.servers.contains(in.get_scenario().engines[engine].id)) {
                deliver(in, i,
                        dispatch::reported{.server = in.get_scenario().engines[engine].id,
                                           .report = report});
            }
        }
    }

    void on_cache_event(simulation& in, std::size_t engine, std::uint64_t sequence,
                        const emulator::cache_change& change) override {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].owner.servers.contains(in.get_scenario().engines[engine].id)) {
                deliver(in, i,
                        dispatch::cache_changed{.server = in.get_scenario().engines[engine].id,
                                                .sequence = sequence,
                                                .stored = change.stored,
                                                .evicted = change.evicted});
            }
        }
    }

    void on_dispatch_failed(simulation& in, const simulated_request& request,
                            std::size_t) override {
        deliver(in, owner_of(request), dispatch::dispatch_failed{.id = request.work.id});
    }

    void on_timer(simulation&, std::uint64_t tag) override {
        const auto found = timers_.find(tag);
        const auto action = std::move(found->second);
        timers_.erase(found);
        action();
    }

private:
    void apply_variant(node& item) const {
        if (variant_ == "no_affinity") {
            item.placement.options.affinity = false;
        } else if (variant_ == "full_fan_out") {
            item.placement.options.subset_size = 1000;
        } else if (variant_ == "no_refusal") {
            item.owner.options.refuse_infeasible = false;
        } else if (variant_ == "no_transfer") {
            item.owner.options.transfer_to_peers = false;
        } else if (variant_ == "no_reserve") {
            item.owner.options.max_reserve_share = 0.0;
        } else if (variant_ == "subset_2") {
            item.placement.options.subset_size = 2;
        } else if (variant_ == "subset_8") {
            item.placement.options.subset_size = 8;
        }
    }

    void schedule(simulation& in, duration after, std::function<void()> action) {
        timers_.emplace(++next_tag_, std::move(action));
        in.set_timer(after, next_tag_);
    }

    std::size_t owner_of(const simulated_request& request) {
        return routing_states_[request.work.id].owner;
    }

    bool reachable(const simulation& in, std::size_t a, std::size_t b) const {
        const auto& domains = in.get_scenario().instance_domain;
        return in.connected(domains[a], domains[b]);
    }

    static config::server make_server(const simulated_engine& engine) {
        return {.id = engine.id,
                .name = "engine-" + std::to_string(engine.id.value),
                .failure_domain = std::to_string(engine.domain),
                .address = "127.0.0.1:1",
                .offers = {"blend-7b"},
                .hardware_class = engine.hardware_class,
                .slots = 8};
    }

    void reassign_servers(simulation& in, std::size_t self) {
        std::map<server_id, config::server> servers;
        for (const auto& engine : in.get_scenario().engines) {
            servers.emplace(engine.id, make_server(engine));
        }
        const auto& domains = in.get_scenario().instance_domain;
        std::vector<membership::live_instance> live;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[self].believed_reachable[i]) {
                live.push_back({.id = id_of(i), .failure_domain = std::to_string(domains[i])});
            }
        }
        const auto owners = membership::assign_owners(servers, live);
        std::vector<config::server> owned;
        std::vector<routing::placed_server> placed;
        for (const auto& [id, server] : servers) {
            const auto owner = owners.at(id);
            if (owner == id_of(self)) {
                owned.push_back(server);
            }
            routing::placed_server item;
            item.id = id;
            item.owner = owner;
            item.offers = {{hash_name("blend-7b")}};
            item.local_domain = server.failure_domain == std::to_string(domains[self]);
            placed.push_back(std::move(item));
        }
        routing::set_servers(nodes_[self].placement, placed);
        deliver(in, self, dispatch::ownership_changed{.owned = std::move(owned), .limits = {}});
    }

    void detect_partitions(simulation& in) {
        for (std::size_t a = 0; a < nodes_.size(); ++a) {
            std::vector<bool> currently_reachable(nodes_.size());
            for (std::size_t b = 0; b < nodes_.size(); ++b) {
                currently_reachable[b] = reachable(in, a, b);
            }
            if (currently_reachable == nodes_[a].believed_reachable) {
                continue;
            }
            schedule(in, partition_detection_delay, [this, &in, a, currently_reachable] {
                if (nodes_[a].believed_reachable == currently_reachable) {
                    return;
                }
                nodes_[a].believed_reachable = currently_reachable;
                for (std::size_t b = 0; b < currently_reachable.size(); ++b) {
                    if (!currently_reachable[b]) {
                        deliver(in, a, dispatch::peer_gone{.peer = id_of(b)});
                    }
                }
                reassign_servers(in, a);
            });
        }
        schedule(in, milliseconds{500}, [this, &in] { detect_partitions(in); });
    }

    void tick(simulation& in) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            deliver(in, i, dispatch::ticked{});
        }
        schedule(in, tick_interval, [this, &in] { tick(in); });
    }

    void send_digest(simulation& in, std::size_t from, std::size_t to) {
        auto digest = dispatch::make_digest(nodes_[from].owner, in.now());
        if (from == to) {
            routing::set_digest(nodes_[to].placement, id_of(from), digest, in.now());
            return;
        }
        schedule(
            in, in.get_scenario().hop_delay, [this, &in, from, to, digest = std::move(digest)] {
                routing::set_digest(nodes_[to].placement, id_of(from), digest, in.now());
                deliver(in, to, dispatch::peer_reported{.peer = id_of(from), .models = digest});
            });
    }

    void gossip(simulation& in) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            send_digest(in, i, i);
            const auto peer = random_() % nodes_.size();
            if (peer == i || !reachable(in, i, peer)) {
                continue;
            }
            send_digest(in, i, peer);
            send_digest(in, peer, i);
        }
        schedule(in, gossip_interval, [this, &in] { gossip(in); });
    }

    void route(simulation& in, const simulated_request& request,
               std::optional<instance_id> target) {
        auto& state = routing_states_[request.work.id];
        if (state.finished) {
            return;
        }
        if (!target) {
            target = routing::choose_owner(nodes_[request.entry].placement, request.work,
                                           state.avoid, in.now());
        }
        if (!target || ++state.attempts > max_attempts) {
            state.finished = true;
            in.refuse(request, refusal::shed);
            return;
        }
        const auto owner = index_of(*target);
        state.owner = owner;
        if (owner == request.entry) {
            enqueue(in, request, owner);
        } else if (!reachable(in, request.entry, owner)) {
            state.avoid.push_back(*target);
            schedule(in, call_timeout, [this, &in, &request] { route(in, request, std::nullopt); });
        } else {
            schedule(in, in.get_scenario().hop_delay,
                     [this, &in, &request, owner] { enqueue(in, request, owner); });
        }
    }

    void enqueue(simulation& in, const simulated_request& request, std::size_t owner) {
        auto& state = routing_states_[request.work.id];
        if (state.finished) {
            return;
        }
        auto work = request.work;
        work.transfers = state.transfers;
        deliver(in, owner, dispatch::arrived{.work = std::move(work)});
    }

    void deliver(simulation& in, std::size_t index, const dispatch::event& event) {
        std::vector<dispatch::effect> effects;
        step(nodes_[index].owner, event, in.now(), effects);
        for (const auto& effect : effects) {
            std::visit([&](const auto& specific) { apply_effect(in, index, specific); }, effect);
        }
    }

    void apply_effect(simulation& in, std::size_t index, const dispatch::start_dispatch& effect) {
        const auto& request = in.request(effect.id);
        const auto engine = effect.server.value - 1;
        if (request.entry == index) {
            send_digest(in, index, index);
            in.dispatch(request, engine, index);
            return;
        }
        send_digest(in, index, request.entry);
        // Acquiring the dispatch right from the entry instance takes one round trip.
        schedule(in, in.get_scenario().hop_delay * 2, [this, &in, &request, engine, index] {
            if (routing_states_[request.work.id].finished) {
                deliver(in, index, dispatch::grant_refused{.id = request.work.id});
            } else {
                in.dispatch(request, engine, index);
            }
        });
    }

    void apply_effect(simulation& in, std::size_t index, const dispatch::refuse& effect) {
        const auto& request = in.request(effect.id);
        if (effect.why == reason::overloaded) {
            check_inversion(in, index, request);
        }
        auto& state = routing_states_[effect.id];
        if (effect.why == reason::no_server) {
            state.avoid.push_back(id_of(index));
            route(in, request, std::nullopt);
            return;
        }
        state.finished = true;
        in.refuse(request,
                  effect.why == reason::deadline_passed ? refusal::expired : refusal::shed);
    }

    void apply_effect(simulation& in, std::size_t, const dispatch::transfer& effect) {
        ++routing_states_[effect.id].transfers;
        route(in, in.request(effect.id), effect.peer);
    }

    void check_inversion(simulation& in, std::size_t index, const simulated_request& request) {
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (!reachable(in, index, i)) {
                continue;
            }
            for (const auto& [model, pool] : nodes_[i].owner.pools) {
                const auto lowest = pool.queue.lowest_tier();
                if (lowest && *lowest > request.work.urgency) {
                    in.record_inversion();
                    return;
                }
            }
        }
    }

    std::string variant_;
    std::mt19937_64 random_;
    std::vector<node> nodes_;
    std::unordered_map<request_id, routing_state> routing_states_;
    std::unordered_map<std::uint64_t, std::function<void()>> timers_;
    std::uint64_t next_tag_{0};
};

} // namespace

std::unique_ptr<policy> make_tarragon(const std::string& variant, std::uint64_t seed) {
    return std::make_unique<tarragon>(variant, seed);
}

} // namespace tarragonspar::bench
