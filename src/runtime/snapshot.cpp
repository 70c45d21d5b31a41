#include "tarragonspar/runtime/snapshot.hpp"

#include <set>

namespace tarragonspar::runtime {

std::shared_ptr<const snapshot> make_snapshot(config::configuration configuration) {
    auto out = std::make_shared<snapshot>();
    std::set<std::string> models;
    std::set<std::string> services;
    for (const auto& [id, server] : configuration.servers) {
        if (server.state == config::server_state::retired) {
            continue;
        }
        auto& names = server.kind == config::server_kind::engine ? models : services;
        names.insert(server.offers.begin(), server.offers.end());
    }
    out->models.assign(models.begin(), models.end());
    out->services.assign(services.begin(), services.end());
    out->configuration = std::move(configuration);
    return out;
}

const config::profile* find_profile(const snapshot& source, const std::string& name) {
    const auto found = source.configuration.profiles.find(name);
    return found == source.configuration.profiles.end() ? nullptr : &found->second;
}

} // namespace tarragonspar::runtime
