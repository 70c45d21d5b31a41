#pragma once

#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "tarragonspar/routing/digest.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::routing {

/// @brief Parameters of the choice of an owner.
struct placement_options {
    std::size_t subset_size{4};           ///< servers that a (workspace, model) normally uses
    std::size_t wide_subset_size{16};     ///< servers considered once those have no free slot
    std::size_t max_subsets{8192};        ///< cached subsets
    std::size_t max_prefixes{8192};       ///< prefixes whose last owner is recorded
    std::uint32_t root_blocks{8};         ///< maximum number of blocks that identify a prefix
    double remote_penalty_seconds{0.003}; ///< cost of an owner in another failure domain
    /// Assumed wait at an owner without a recent digest. With free slots, a tenth of it is assumed,
    /// multiplied by the share of slots in use.
    double busy_seconds{0.4};
    bool affinity{true}; ///< prefer the owner whose servers have the prefix cached
};

/// @brief A backend server as seen by entry instances.
struct placed_server {
    server_id id;
    instance_id owner;
    std::vector<model_id> offers;
    bool local_domain{false};
    bool active{true};
};

/// @brief An owner's last digest for a model, adjusted for the requests sent to it since.
struct owner_view {
    model_digest digest;
    time_point last_seen{}; ///< when the digest was received
    bool local_domain{false};
};

/// @brief An entry instance's view of all owners.
struct placement {
    placement_options options;
    std::map<model_id, std::vector<placed_server>> servers;
    std::map<model_id, std::map<instance_id, owner_view>> owners;
    /// Servers of a (workspace, model) in order of decreasing weight; the pointers are into
    /// `servers`.
    std::unordered_map<std::uint64_t, std::vector<const placed_server*>> subsets;
    std::list<std::pair<std::uint64_t, instance_id>> recency;
    std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, instance_id>>::iterator>
        prefixes;
};

/// @brief Replaces the servers after a change of configuration or membership.
void set_servers(placement& target, const std::vector<placed_server>& servers);

/// @brief Applies an owner's digest.
void set_digest(placement& target, instance_id owner, const std::vector<model_digest>& digest,
                time_point now);

/// @brief Removes an owner that is lost or shuts down.
void remove_owner(placement& target, instance_id owner);

/// @brief Chooses the instance that will queue a request.
///
/// Candidates are the owners of the request's server subset, and of a wider one once those have no
/// free slot. Chooses the least predicted wait, minus the prefill time that a cached prefix saves,
/// and records the choice, so that requests that arrive before the next digest are not all sent to
/// the owner that had the minimum.
/// @param avoid  instances that have just failed or refused this request
/// @return nothing if no reachable owner has a server for the model
/// @par Complexity  linear in the subset; linear in the servers of the model for the first request
/// of a workspace
[[nodiscard]] std::optional<instance_id> choose_owner(placement& target, const work_item& work,
                                                      const std::vector<instance_id>& avoid,
                                                      time_point now);

/// @brief Returns the key that identifies a request's prefix among those of its workspace.
[[nodiscard]] std::uint64_t prefix_key(const work_item& work, std::uint32_t root_blocks);

} // namespace tarragonspar::routing
