#pragma once

#include <algorithm>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "tarragonspar/telemetry/log.hpp"
#include "tarragonspar/types/units.hpp"

// What the decoders of messages between instances have in common.

namespace tarragonspar::gateway::detail {

/// Largest age of a statement that is read as such; no statement counts for nearly as long.
inline constexpr duration max_stated_age = std::chrono::hours{1};

/// Decodes a value. Returns nothing if the bytes can't be decoded, whatever exception the reader
/// throws: an unknown enumerator name does not throw a JSON exception.
template <class Read>
auto read_cbor(const std::string& bytes, Read read)
    -> std::optional<decltype(read(std::declval<const nlohmann::json&>()))> {
    try {
        return read(nlohmann::json::from_cbor(bytes));
    } catch (const std::exception& error) {
        telemetry::write(telemetry::log_line("message_unreadable").add("why", error.what()));
        return std::nullopt;
    }
}

/// Returns a time that another instance stated as an age, within the bounds of such statements.
inline time_point read_age(const nlohmann::json& in, time_point now) {
    return now - std::clamp(duration{in.get<duration::rep>()}, -max_stated_age, max_stated_age);
}

} // namespace tarragonspar::gateway::detail
