#pragma once

#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch::detail {

/// @brief Updates a server's estimated time per token from a request's tokens generated so far.
void observe_tokens(scheduler& target, running_item& item, token_count generated, time_point now);

/// @brief Updates a server's estimated prefill speed and its cache index from a first token.
void observe_first_token(scheduler& target, running_item& item, const first_token& input,
                         time_point now);

} // namespace tarragonspar::dispatch::detail
