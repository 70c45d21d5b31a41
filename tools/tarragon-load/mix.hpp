#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tarragonspar::load {

/// @brief One kind of request in a mix.
struct request_kind {
    std::string profile;
    int tier{};
    double weight{};
    std::chrono::milliseconds deadline{};
    std::string service; ///< empty for a model engine
    std::string model;
    std::uint32_t prompt_tokens{};
    std::uint32_t output_tokens{};
    std::uint32_t documents{}; ///< long texts that are read again; 0: each prompt is new
};

/// @brief Requests of one first user.
struct traffic_mix {
    std::string name;
    std::vector<request_kind> kinds;
    std::vector<std::pair<std::string, double>> workspaces; ///< name and weight
};

/// @brief The mix of a name: `amman` or `cairo`.
[[nodiscard]] std::optional<traffic_mix> find_mix(const std::string& name);

/// @brief A request drawn from a mix.
struct drawn_request {
    const request_kind* kind{};
    std::string workspace;
    std::string body;
};

/// @brief Draws a request.
[[nodiscard]] drawn_request draw(const traffic_mix& mix, std::mt19937_64& random);

} // namespace tarragonspar::load
