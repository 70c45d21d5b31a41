#pragma once

#include <string>

#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::telemetry {

/// @brief Starts glog for a program.
/// @param program  its name; must outlive the process
void start_log(const char* program, const settings::log_settings& settings);

/// @brief Changes the level of a running program: `info`, `warning` or `error`.
void set_log_level(const std::string& level);

class log_line;

/// @brief Writes a line to standard output.
///
/// Never blocks: a dedicated thread writes the lines from a bounded queue, and the oldest are
/// dropped if it is full. The number of dropped lines is logged from time to time.
void write(const log_line& line);

/// @brief Builds one structured line of `key=value` pairs; values with spaces are quoted.
class log_line {
public:
    explicit log_line(std::string_view event) : text_(event) {}

    /// @brief Appends a pair.
    log_line& add(std::string_view key, std::string_view value);
    log_line& add(std::string_view key, std::int64_t value);

    [[nodiscard]] const std::string& text() const noexcept {
        return text_;
    }

private:
    std::string text_;
};

} // namespace tarragonspar::telemetry
