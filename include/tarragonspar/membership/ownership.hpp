#pragma once

#include <map>
#include <string>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/types/ids.hpp"

namespace tarragonspar::membership {

/// @brief An instance that may own backend servers.
struct live_instance {
    instance_id id;
    std::string failure_domain;
};

/// @brief Returns the instance with the highest rendezvous weight for a key.
/// @param candidates  must not be empty
[[nodiscard]] instance_id rendezvous(std::uint64_t key, const std::vector<instance_id>& candidates);

/// @brief Assigns each backend server to one live instance.
///
/// An instance of the server's own failure domain owns it; instances of other domains are used only
/// if that domain has none. Each instance computes the table from its own view. While two views
/// differ, a server may have two owners. This can overload the server but violates no guarantee,
/// since ownership does not confer the dispatch right of a request.
/// @par Complexity  servers times instances of a failure domain
[[nodiscard]] std::map<server_id, instance_id>
assign_owners(const std::map<server_id, config::server>& servers,
              const std::vector<live_instance>& instances);

} // namespace tarragonspar::membership
