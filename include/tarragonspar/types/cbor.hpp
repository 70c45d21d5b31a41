#pragma once

#include <string>

#include <nlohmann/json.hpp>

/// @brief Binary JSON (CBOR) for the replicated log, files and messages between instances.
namespace tarragonspar::cbor {

/// @brief Bytes as a binary value.
[[nodiscard]] inline nlohmann::json binary(const std::string& bytes) {
    return nlohmann::json::binary({bytes.begin(), bytes.end()});
}

/// @brief The bytes of a binary value.
/// @throw nlohmann::json::type_error if it is none
[[nodiscard]] inline std::string bytes_of(const nlohmann::json& value) {
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

/// @brief The encoded form of a value.
/// @par Complexity  linear
[[nodiscard]] inline std::string encode(const nlohmann::json& value) {
    std::string out;
    nlohmann::json::to_cbor(value, out);
    return out;
}

} // namespace tarragonspar::cbor
