#pragma once

#include <string>
#include <vector>

#include "client.hpp"

namespace tarragonspar::ctl {

/// Exit codes; listed in the manual page.
enum exit_code : int {
    exit_success = 0,
    exit_rejected = 1, ///< the change is invalid, or the requested item does not exist
    exit_usage = 2,
    exit_unreachable = 3, ///< no instance responded, or the outcome of a change is unknown
    exit_conflict = 4     ///< another change was published first; read the configuration again
};

/// @brief Parsed command line.
struct command_options {
    connection_options connection;
    bool json{false};
    std::string author;
    std::string change_id; ///< idempotency key; empty: a new one is generated and printed
    std::optional<std::uint64_t> expected_revision; ///< revision that the change is based on
    std::vector<std::string> arguments;             ///< the command and its operands
};

/// @brief Runs a command.
/// @return a value of `exit_code`
int run(const command_options& options);

/// @brief Returns the help text.
[[nodiscard]] const char* help();

} // namespace tarragonspar::ctl
