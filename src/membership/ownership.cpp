#include "tarragonspar/membership/ownership.hpp"

namespace tarragonspar::membership {

instance_id rendezvous(std::uint64_t key, const std::vector<instance_id>& candidates) {
    auto best = candidates.front();
    std::uint64_t best_weight = 0;
    for (const auto candidate : candidates) {
        const auto weight = hash_pair(key, candidate.value);
        if (weight >= best_weight) {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

std::map<server_id, instance_id> assign_owners(const std::map<server_id, config::server>& servers,
                                               const std::vector<live_instance>& instances) {
    std::map<std::string, std::vector<instance_id>> by_domain;
    std::vector<instance_id> all;
    for (const auto& instance : instances) {
        by_domain[instance.failure_domain].push_back(instance.id);
        all.push_back(instance.id);
    }
    std::map<server_id, instance_id> owners;
    if (all.empty()) {
        return owners;
    }
    for (const auto& [id, server] : servers) {
        const auto home = by_domain.find(server.failure_domain);
        const auto& candidates = home == by_domain.end() ? all : home->second;
        owners.emplace(id, rendezvous(id.value, candidates));
    }
    return owners;
}

} // namespace tarragonspar::membership
