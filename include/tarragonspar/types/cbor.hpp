#pragma once

#include <string>

#include <nlohmann/json.hpp>

/// @brief Binary JSON (CBOR) for the replicated log, files and messages between instances.
namespace tarragonspar::cbor {

/// @brief Wraps bytes as a binary value.
[[nodiscard]] inline nlohmann::json binary(const std::string& bytes) {
    return nlohmann::json::binary({bytes.begin(), bytes.end()});
}

/// @brief Returns the bytes of a binary value.
/// @throw nlohmann::json::type_error if the value is not binary
[[nodiscard]] inline std::string bytes_of(const nlohmann::json& value) {
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// @brief Encodes a value.
/// @par Complexity  linear
[[nodiscard]] inline std::string encode(const nlohmann::json& value) {
    std::string out;
    nlohmann::json::to_cbor(value, out);
    return out;
}

} // namespace tarragonspar::cbor
