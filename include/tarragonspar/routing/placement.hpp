#pragma once

#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "tarragonspar/routing/digest.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::routing {

/// @brief Tunable parts of the choice of an owner.
struct placement_options {
    std::size_t subset_size{4};           ///< servers that a (workspace, model) normally uses
    std::size_t wide_subset_size{16};     ///< servers looked at once those have no free slot
    std::size_t kept_subsets{8192};       ///< subsets remembered between requests
    std::size_t known_prefixes{8192};     ///< prefixes whose last owner is remembered
    std::uint32_t root_blocks{8};         ///< blocks that identify a prefix at most
    double remote_penalty_seconds{0.003}; ///< cost of an owner in another failure domain
    double busy_seconds{0.4};             ///< assumed wait where no slot is free, beside the queue
    bool affinity{true};                  ///< prefer the owner that has the prefix
};

/// @brief A backend server as the entry side sees it.
struct placed_server {
    server_id id;
    instance_id owner;
    std::vector<model_id> offers;
    bool local_domain{false};
    bool active{true};
};

/// @brief What an owner last said about a model, corrected by what was sent to it since.
struct owner_view {
    model_digest digest;
    time_point heard{};
    bool local_domain{false};
};

/// @brief The entry side's picture of owners, for one instance.
struct placement {
    placement_options options;
    std::map<model_id, std::vector<placed_server>> servers;
    std::map<model_id, std::map<instance_id, owner_view>> owners;
    /// Servers of a (workspace, model) by falling weight; they point into `servers`.
    std::unordered_map<std::uint64_t, std::vector<const placed_server*>> subsets;
    std::list<std::pair<std::uint64_t, instance_id>> recency;
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, instance_id>>::iterator>
        prefixes;
};

/// @brief Replaces the known servers, after a change of configuration or membership.
void set_servers(placement& target, const std::vector<placed_server>& servers);

/// @brief Takes an owner's digest.
void set_digest(placement& target, instance_id owner, const std::vector<model_digest>& digest,
                time_point now);

/// @brief Forgets an owner that is gone or leaving.
void remove_owner(placement& target, instance_id owner);

/// @brief Chooses the instance that shall queue a request.
///
/// Candidates are the owners of the request's server subset, and of a wider one once those have no
/// free slot. Takes the least predicted wait, less the prefill that a known prefix saves, and notes
/// the choice, so that requests of the same moment don't all follow one stale minimum.
/// @param avoid  instances that have just failed or refused this request
/// @return nothing when no reachable owner has a server for the model
/// @par Complexity  linear in the subset; linear in the servers of the model for the first request
/// of a workspace
[[nodiscard]] std::optional<instance_id> choose_owner(placement& target, const work_item& work,
                                                      const std::vector<instance_id>& avoid,
                                                      time_point now);

/// @brief The key that identifies a request's prefix among those of its workspace.
[[nodiscard]] std::uint64_t prefix_key(const work_item& work, std::uint32_t root_blocks);

} // namespace tarragonspar::routing
