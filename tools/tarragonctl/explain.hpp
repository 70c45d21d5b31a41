#pragma once

#include <string>
#include <vector>

namespace tarragonspar::ctl {

/// @brief Prints the life of a request from logs of instances, one file an instance, or from
/// standard input.
/// @return an exit code; `exit_refused` if no line ends such a request
int explain_request(const std::string& id, const std::vector<std::string>& files);

} // namespace tarragonspar::ctl
