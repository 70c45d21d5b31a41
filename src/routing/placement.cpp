#include "tarragonspar/routing/placement.hpp"

#include <algorithm>
#include <bit>
#include <span>

namespace tarragonspar::routing {

namespace {

/// Age above which a digest is ignored.
constexpr duration max_digest_age = std::chrono::seconds{3};

/// Probability that a prefix that this instance has not sent to any owner yet is cached at its home
/// server.
constexpr double home_confidence = 0.7;

/// Weight of saved prefill time relative to waiting time: it also saves capacity of the engine.
constexpr double affinity_weight = 8.0;

/// Returns the servers of a model that a workspace may use, in order of decreasing rendezvous
/// weight.
const std::vector<const placed_server*>&
subset_of(placement& source, const std::vector<placed_server>& all, const work_item& work) {
    const auto key = hash_pair(work.workspace.value, work.model.value);
    const auto known = source.subsets.find(key);
    if (known != source.subsets.end()) {
        return known->second;
    }
    if (source.subsets.size() >= source.options.max_subsets) {
        source.subsets.clear();
    }
    std::vector<std::pair<std::uint64_t, const placed_server*>> weighted;
    for (const auto& server : all) {
        if (server.active) {
            weighted.emplace_back(hash_pair(key, server.id.value), &server);
        }
    }
    const auto widest = std::max(source.options.subset_size, source.options.wide_subset_size);
    const auto count = std::min(widest, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), std::greater<>());
    auto& subset = source.subsets[key];
    subset.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        subset.push_back(weighted[i].second);
    }
    return subset;
}

/// Returns the server of a subset that a prefix is first sent to.
const placed_server* home_server(std::span<const placed_server* const> subset, std::uint64_t key) {
    const placed_server* home = nullptr;
    std::uint64_t best = 0;
    for (const auto* server : subset) {
        const auto weight = hash_pair(key, server->id.value);
        if (home == nullptr || weight > best) {
            home = server;
            best = weight;
        }
    }
    return home;
}

std::optional<instance_id> known_owner(const placement& source, std::uint64_t key) {
    const auto found = source.prefixes.find(key);
    return found == source.prefixes.end() ? std::nullopt : std::optional{found->second->second};
}

void record_owner(placement& target, std::uint64_t key, instance_id owner) {
    const auto found = target.prefixes.find(key);
    if (found != target.prefixes.end()) {
        found->second->second = owner;
        target.recency.splice(target.recency.begin(), target.recency, found->second);
        return;
    }
    target.recency.emplace_front(key, owner);
    target.prefixes.emplace(key, target.recency.begin());
    if (target.prefixes.size() > target.options.max_prefixes) {
        target.prefixes.erase(target.recency.back().first);
        target.recency.pop_back();
    }
}

/// Returns the predicted wait, in seconds, at an owner before a server starts on a new request.
double predicted_wait(const placement& source, const owner_view& owner, time_point now) {
    auto wait = owner.local_domain ? 0.0 : source.options.remote_penalty_seconds;
    if (now - owner.last_seen > max_digest_age) {
        return wait + source.options.busy_seconds;
    }
    if (owner.digest.free_slots == 0 || owner.digest.queued > 0) {
        // On average one slot becomes free per mean service time divided by the number of slots.
        wait += (owner.digest.service_seconds + owner.digest.queued_seconds) /
                std::max(1U, owner.digest.slots);
    } else {
        // Spreads requests in proportion to the free slots, and breaks ties between idle owners.
        const auto used =
            1.0 - static_cast<double>(owner.digest.free_slots) / std::max(1U, owner.digest.slots);
        wait += used * source.options.busy_seconds * 0.1;
    }
    return wait;
}

/// Returns the time, in seconds, that a request saves where its prefix is cached.
double saved_prefill_seconds(const work_item& work, const owner_view& owner) {
    const auto speed = owner.digest.prefill_tokens_per_second;
    const auto cached = work.blocks.size() * block_tokens;
    return speed > 0.0F ? static_cast<double>(cached) / speed : 0.0;
}

void record_dispatch(owner_view& owner) {
    if (owner.digest.free_slots > 0) {
        --owner.digest.free_slots;
        return;
    }
    ++owner.digest.queued;
    owner.digest.queued_seconds += owner.digest.service_seconds;
}

bool contains(const std::vector<instance_id>& list, instance_id id) {
    return std::find(list.begin(), list.end(), id) != list.end();
}

struct candidate {
    instance_id owner;
    double cost{};
    std::uint32_t free{};
};

std::optional<candidate> best_owner(placement& target, const work_item& work,
                                    std::span<const placed_server* const> servers,
                                    std::optional<instance_id> cached_at, bool known,
                                    const std::vector<instance_id>& avoid, time_point now) {
    auto& owners = target.owners[work.model];
    std::optional<candidate> best;
    for (const auto* server : servers) {
        if (contains(avoid, server->owner)) {
            continue;
        }
        auto& owner = owners[server->owner];
        owner.local_domain = server->local_domain;
        auto cost = predicted_wait(target, owner, now);
        if (target.options.affinity && cached_at == server->owner) {
            cost -= affinity_weight * saved_prefill_seconds(work, owner) *
                    (known ? 1.0 : home_confidence);
        }
        if (!best || cost < best->cost) {
            best = candidate{.owner = server->owner, .cost = cost, .free = owner.digest.free_slots};
        }
    }
    return best;
}

} // namespace

std::uint64_t prefix_key(const work_item& work, std::uint32_t root_blocks) {
    const auto root_key = hash_pair(work.workspace.value, work.model.value);
    if (work.blocks.empty()) {
        return root_key;
    }
    const auto block_count = std::min<std::size_t>(work.blocks.size(), root_blocks);
    const auto depth = std::bit_floor(block_count);
    return hash_pair(root_key, work.blocks[depth - 1].value);
}

void set_servers(placement& target, const std::vector<placed_server>& servers) {
    target.servers.clear();
    target.subsets.clear();
    std::map<model_id, std::map<instance_id, owner_view>> updated;
    for (const auto& server : servers) {
        for (const auto model : server.offers) {
            target.servers[model].push_back(server);
            auto& owner = updated[model][server.owner];
            const auto known = target.owners.find(model);
            if (known != target.owners.end() && known->second.contains(server.owner)) {
                owner = known->second.at(server.owner);
            }
            owner.local_domain = server.local_domain;
        }
    }
    target.owners = std::move(updated);
}

void set_digest(placement& target, instance_id owner, const std::vector<model_digest>& digest,
                time_point now) {
    for (const auto& item : digest) {
        const auto model = target.owners.find(item.model);
        if (model == target.owners.end()) {
            continue;
        }
        const auto view = model->second.find(owner);
        if (view == model->second.end()) {
            continue;
        }
        view->second.digest = item;
        view->second.last_seen = now;
    }
}

void remove_owner(placement& target, instance_id owner) {
    target.subsets.clear();
    for (auto& [model, owners] : target.owners) {
        owners.erase(owner);
    }
    for (auto& [model, servers] : target.servers) {
        std::erase_if(servers, [&](const auto& server) { return server.owner == owner; });
    }
}

std::optional<instance_id> choose_owner(placement& target, const work_item& work,
                                        const std::vector<instance_id>& avoid, time_point now) {
    const auto found = target.servers.find(work.model);
    if (found == target.servers.end()) {
        return std::nullopt;
    }
    const auto key = prefix_key(work, target.options.root_blocks);
    const std::span<const placed_server* const> wide = subset_of(target, found->second, work);
    const auto subset = wide.first(std::min(target.options.subset_size, wide.size()));
    auto cached_at = known_owner(target, key);
    const auto known = cached_at.has_value();
    if (const auto* home = home_server(subset, key); !known && home != nullptr) {
        cached_at = home->owner;
    }
    auto best = best_owner(target, work, subset, cached_at, known, avoid, now);
    if (!best || best->free == 0) {
        best = best_owner(target, work, wide, cached_at, known, avoid, now);
    }
    if (!best) {
        return std::nullopt;
    }
    record_dispatch(target.owners[work.model][best->owner]);
    if (!work.blocks.empty()) {
        record_owner(target, key, best->owner);
    }
    return best->owner;
}

} // namespace tarragonspar::routing
