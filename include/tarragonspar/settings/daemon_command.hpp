#pragma once

#include <string>
#include <vector>

#include "tarragonspar/settings/setting_error.hpp"

/// @brief Command line, exit codes and signal handling shared by the daemons.
namespace tarragonspar::settings {

/// Exit codes, as documented in the manual.
inline constexpr int exit_cannot_start = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_invalid_settings = 3;

/// @brief Parsed command line of a daemon.
struct daemon_command {
    std::string file; ///< settings file
    bool check{false};
    int exit_code{-1}; ///< 0 or more: the process exits with it; -1: it continues
};

/// @brief Parses `[--check] FILE`, `--help` and `--version`; prints help, version or usage.
/// @param fallback_variable  environment variable with the file name, used without a FILE argument;
/// null: none
[[nodiscard]] daemon_command read_daemon_command(int count, char** values, const char* help,
                                                 const char* fallback_variable);

/// @brief Prints errors of a settings file to standard error.
/// @return `exit_invalid_settings`, or 0 if there are no errors
int report_errors(const std::string& file, const std::vector<setting_error>& errors);

/// @brief Blocks the signals that `wait_for_signal` handles in this thread and all threads started
/// later, and ignores SIGPIPE.
void block_signals();

/// @brief Waits for SIGTERM, SIGINT or SIGHUP.
/// @return true on SIGHUP, to reload the settings; otherwise the process is to shut down
[[nodiscard]] bool wait_for_signal();

} // namespace tarragonspar::settings
