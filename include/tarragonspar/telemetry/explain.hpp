#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonspar::telemetry {

/// @brief One structured line that an instance wrote.
struct log_entry {
    std::string source; ///< whose log it is, such as the file's name
    std::string time;   ///< `t` as written, by the writer's clock
    std::string event;
    std::map<std::string, std::string> values; ///< all other pairs, without quotes

    /// @brief A value, or an empty string.
    [[nodiscard]] std::string value(const std::string& key) const;
    /// @brief A value as a number, or -1.
    [[nodiscard]] long number(const std::string& key) const;
};

/// @brief Reads a line of `key=value` pairs.
/// @param source  whose log it is, if no word before `t=` or `event=` names the writer, as
/// collectors of many logs put it
/// @return nothing for a line without an event
[[nodiscard]] std::optional<log_entry> read_log_entry(std::string_view line, std::string source);

/// @brief Tells a request's life and the cause of its end, from what instances logged.
///
/// Lines that name the request come in the order of its instance's log. Of the same log, what that
/// instance believed meanwhile is added: a lost or found scheduler, servers that were sent the
/// request. Lines of other instances are not ordered with these, since clocks differ.
/// @return text, or an empty string if no line names the request
[[nodiscard]] std::string explain(const std::string& id, const std::vector<log_entry>& entries);

} // namespace tarragonspar::telemetry
