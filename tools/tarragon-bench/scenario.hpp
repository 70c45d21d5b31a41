#pragma once

#include <optional>
#include <string>
#include <vector>

#include "tarragonspar/emulator/engine.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::bench {

/// @brief A request of an experiment, with what only the engine knows.
struct trial_request {
    work_item work;
    token_count output;  ///< tokens that the engine will generate
    std::size_t entry{}; ///< instance that the balancer gave it to
};

/// @brief An engine of an experiment.
struct trial_engine {
    server_id id;
    std::size_t domain{};
    std::string hardware_class;
    emulator::engine_options options;
};

/// What happens to the deployment at a moment.
enum class incident_kind : std::uint8_t {
    engine_dies,
    engine_returns,
    engine_slows,
    domain_parts,
    domain_heals
};

/// @brief Something that happens during an experiment.
struct incident {
    time_point at;
    incident_kind kind{};
    std::size_t subject{}; ///< engine or failure domain
    double factor{1.0};
};

/// @brief One experiment: a deployment, its load and its incidents.
struct scenario {
    std::string name;
    std::vector<trial_engine> engines;
    std::vector<std::size_t> instance_domain; ///< failure domain of each instance
    std::vector<trial_request> requests;      ///< in order of arrival
    std::vector<incident> incidents;          ///< in order of time
    duration report_lag{std::chrono::milliseconds{400}};
    duration cache_event_lag{std::chrono::milliseconds{600}};
    std::uint32_t drop_cache_event_every{9};
    duration hop{std::chrono::milliseconds{1}}; ///< one way between two instances
};

/// @brief Names of all scenarios.
[[nodiscard]] const std::vector<std::string>& scenario_names();

/// @brief Builds a scenario; equal seeds give equal scenarios.
/// @return nothing for an unknown name
[[nodiscard]] std::optional<scenario> make_scenario(const std::string& name, std::uint64_t seed);

} // namespace tarragonspar::bench
