#pragma once

/// @file
/// @brief All coordination components that do no I/O themselves; for embedding.

#include "tarragonspar/admission/tier_queue.hpp"
#include "tarragonspar/config/state.hpp"
#include "tarragonspar/consensus/replica.hpp"
#include "tarragonspar/control/state.hpp"
#include "tarragonspar/dispatch/answer_log.hpp"
#include "tarragonspar/dispatch/right.hpp"
#include "tarragonspar/dispatch/scheduler.hpp"
#include "tarragonspar/idempotency/key_table.hpp"
#include "tarragonspar/membership/ownership.hpp"
#include "tarragonspar/membership/view.hpp"
#include "tarragonspar/routing/placement.hpp"
#include "tarragonspar/tarragonspar_fwd.hpp"
#include "tarragonspar/types/work.hpp"
