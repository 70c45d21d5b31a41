#pragma once

#include <string>
#include <vector>

#include "tarragonspar/http/exchange.hpp"

namespace tarragonspar::http {

/// @brief Whether a request carries an operator's token as `Authorization: Bearer`.
/// @param tokens  the valid ones; if there are none, every request is an operator's
[[nodiscard]] bool has_operator_token(const exchange& with, const std::vector<std::string>& tokens);

} // namespace tarragonspar::http
