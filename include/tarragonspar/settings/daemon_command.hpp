#pragma once

#include <string>
#include <vector>

#include "tarragonspar/settings/fault.hpp"

/// @brief What the project's daemons share: command line, exit codes, signals.
namespace tarragonspar::settings {

/// Exit codes, as the manual lists them.
inline constexpr int exit_cannot_start = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_faults = 3;

/// @brief What a daemon was told on its command line.
struct daemon_command {
    std::string file; ///< of settings
    bool check{false};
    int exit_code{-1}; ///< 0 or more: the process has nothing else to do
};

/// @brief Reads `[--check] FILE`, `--help` and `--version`; prints what they ask for.
/// @param fallback  environment variable that names the file if no word does; null: none
[[nodiscard]] daemon_command read_daemon_command(int count, char** values, const char* help,
                                                 const char* fallback);

/// @brief Prints faults of a settings file to standard error.
/// @return an exit code, 0 without faults
int report_faults(const std::string& file, const std::vector<fault>& faults);

/// @brief Keeps the signals that `wait_for_signal` waits for from all threads started later, and
/// ignores broken pipes.
void block_signals();

/// @brief Waits for SIGTERM, SIGINT or SIGHUP.
/// @return whether the settings are to be read anew; otherwise the process is to leave
[[nodiscard]] bool wait_for_signal();

} // namespace tarragonspar::settings
