#pragma once

namespace tarragonspar::bench {

/// @brief Runs `tarragon-bench policy`.
/// @return the exit code
int run_policy_command(int count, char** values);

/// @brief Runs `tarragon-bench slopes`.
/// @return the exit code
int run_slopes_command(int count, char** values);

} // namespace tarragonspar::bench
