#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonspar::telemetry {

/// @brief One structured log line of an instance.
struct log_entry {
    std::string source; ///< origin of the log, such as the file's name
    std::string time;   ///< `t` as written, by the writer's clock
    std::string event;
    std::map<std::string, std::string> values; ///< all other pairs, without quotes

    /// @brief A value, or an empty string.
    [[nodiscard]] std::string value(const std::string& key) const;
    /// @brief A value as a number, or -1.
    [[nodiscard]] long number(const std::string& key) const;
};

/// @brief Parses a line of `key=value` pairs.
/// @param source  origin of the log, used unless a word before `t=` or `event=` names the writer,
/// as log collectors add it
/// @return nothing for a line without an event
[[nodiscard]] std::optional<log_entry> read_log_entry(std::string_view line, std::string source);

/// @brief Describes the course of a request and the cause of its result, from the instances' logs.
///
/// Lines that name the request are printed in the order of its instance's log. The state known to
/// that instance is added from the same log: a lost or found scheduler, and the servers that the
/// request was sent to. Lines of other instances are not ordered with these, since clocks differ.
/// @return text, or an empty string if no line names the request
[[nodiscard]] std::string explain(const std::string& id, const std::vector<log_entry>& entries);

} // namespace tarragonspar::telemetry
