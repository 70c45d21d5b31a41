#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tarragonspar::load {

/// @brief One kind of request in a traffic mix.
struct request_kind {
    std::string profile;
    int tier{};
    double weight{}; ///< relative frequency
    std::chrono::milliseconds deadline{};
    std::string service; ///< empty for a model engine
    std::string model;
    std::uint32_t prompt_tokens{};
    std::uint32_t output_tokens{};
    std::uint32_t documents{}; ///< long documents per workspace that prompts reuse; 0: none
};

/// @brief Traffic of one of the project's first users.
struct traffic_mix {
    std::string name;
    std::vector<request_kind> kinds;
    std::vector<std::pair<std::string, double>> workspaces; ///< name and weight
};

/// @brief Finds a traffic mix by name: `amman` or `cairo`.
/// @return nothing for an unknown name
[[nodiscard]] std::optional<traffic_mix> find_mix(const std::string& name);

/// @brief A request drawn at random from a mix.
struct drawn_request {
    const request_kind* kind{};
    std::string workspace;
    std::string body;
};

/// @brief Draws a request kind, a workspace and a prompt.
/// The result refers to `mix`, which must outlive it.
[[nodiscard]] drawn_request draw(const traffic_mix& mix, std::mt19937_64& random);

} // namespace tarragonspar::load
