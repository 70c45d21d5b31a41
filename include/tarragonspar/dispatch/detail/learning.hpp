#pragma once

#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch::detail {

/// @brief Learns a server's speed per token from the tokens that a request has made by now.
void observe_tokens(scheduler& target, running_item& item, token_count generated, time_point now);

/// @brief Learns a server's prefill speed and what its cache held from a first token.
void learn_from_first_token(scheduler& target, running_item& item, const first_token& what,
                            time_point now);

} // namespace tarragonspar::dispatch::detail
