#pragma once

#include <optional>
#include <string>
#include <vector>

#include "tarragonspar/emulator/engine.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::bench {

/// @brief A simulated request, with the output length that only its engine knows in advance.
struct simulated_request {
    work_item work;
    token_count output;  ///< tokens that the engine will generate
    std::size_t entry{}; ///< index of the entry instance that receives it
};

/// @brief A simulated engine.
struct simulated_engine {
    server_id id;
    std::size_t domain{}; ///< index of its failure domain
    std::string hardware_class;
    emulator::engine_options options;
};

/// Kind of a scheduled disturbance of the deployment.
enum class incident_kind : std::uint8_t {
    engine_failure,
    engine_recovery,
    engine_slowdown,
    domain_partition,
    domain_reconnection
};

/// @brief A disturbance at a given time of an experiment.
struct incident {
    time_point at;
    incident_kind kind{};
    std::size_t subject{}; ///< index of the engine or of the failure domain
    double factor{1.0};    ///< slowness that `engine_slowdown` sets
};

/// @brief One experiment: a deployment, its load and its incidents.
struct scenario {
    std::string name;
    std::vector<simulated_engine> engines;
    std::vector<std::size_t> instance_domain; ///< failure domain of each instance
    std::vector<simulated_request> requests;  ///< ordered by arrival
    std::vector<incident> incidents;          ///< ordered by time
    duration report_lag{std::chrono::milliseconds{400}};
    duration cache_event_lag{std::chrono::milliseconds{600}};
    std::uint32_t drop_cache_event_every{9};
    duration hop_delay{std::chrono::milliseconds{1}}; ///< one-way delay between two instances
};

/// @brief Returns the names of all scenarios.
[[nodiscard]] const std::vector<std::string>& scenario_names();

/// @brief Creates a scenario; equal names and seeds give equal scenarios.
/// @return nothing for an unknown name
[[nodiscard]] std::optional<scenario> make_scenario(const std::string& name, std::uint64_t seed);

} // namespace tarragonspar::bench
