#pragma once

#include <string>
#include <vector>

namespace tarragonspar::ctl {

/// @brief Prints the timeline of a request, reconstructed from instance logs.
/// @param files  log files, one per instance; empty: standard input
/// @return an exit code; `exit_rejected` if no log line records the end of the request
int explain_request(const std::string& id, const std::vector<std::string>& files);

} // namespace tarragonspar::ctl
