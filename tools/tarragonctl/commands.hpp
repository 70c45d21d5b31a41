#pragma once

#include <string>
#include <vector>

#include "client.hpp"

namespace tarragonspar::ctl {

/// Exit codes, as the manual lists them.
enum exit_code : int {
    exit_done = 0,
    exit_refused = 1, ///< the change was found unsound
    exit_usage = 2,
    exit_unreachable = 3, ///< no instance answered, or the fate of a change is not known
    exit_conflict = 4     ///< another operator was faster; look again
};

/// @brief What was given on the command line besides the command's own words.
struct invocation {
    connection to;
    bool json{false};
    std::string author;
    std::string change_id;               ///< empty: a fresh one is made and printed
    std::optional<std::uint64_t> expect; ///< revision that the change is based on
    std::vector<std::string> words;
};

/// @brief Runs a command.
/// @return an exit code
int run(const invocation& what);

/// @brief The help text.
[[nodiscard]] const char* help();

} // namespace tarragonspar::ctl
