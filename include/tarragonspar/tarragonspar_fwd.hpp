#pragma once

/// @file
/// @brief Forward declarations of the main types.

namespace tarragonspar {

struct request_id;
struct work_item;

namespace admission {
class tier_queue;
} // namespace admission

namespace config {
struct configuration;
struct profile;
struct server;
struct state;
} // namespace config

namespace consensus {
struct replica;
} // namespace consensus

namespace control {
struct state;
} // namespace control

namespace dispatch {
class answer_log;
class dispatch_right;
struct scheduler;
} // namespace dispatch

namespace idempotency {
struct key_table;
} // namespace idempotency

namespace membership {
struct view;
} // namespace membership

namespace routing {
struct placement;
struct server_model;
} // namespace routing

namespace runtime {
class instance;
} // namespace runtime

} // namespace tarragonspar
