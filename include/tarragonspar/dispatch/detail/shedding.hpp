#pragma once

#include <vector>

#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch::detail {

/// @brief Returns the owned servers that offer a model, in any state.
[[nodiscard]] const std::vector<routing::server_model*>& servers_for(const scheduler& source,
                                                                     model_id model);

/// @brief Returns the predicted time that a request occupies a slot of the owned server that is
/// fastest for it.
[[nodiscard]] double service_seconds(const scheduler& source, const work_item& work);

/// @brief Returns the sum of the usable windows of a model's active servers.
[[nodiscard]] std::uint32_t total_slots(const scheduler& source, model_id model);

/// @brief Returns the time after which a refused caller may retry.
[[nodiscard]] duration retry_after(const scheduler& source, const model_pool& pool, model_id model);

/// @brief Removes a request from its queue and from the index of queued requests.
std::optional<admission::queued_item> remove_queued(scheduler& target, const request_id& id);

/// @brief Refuses requests whose deadline has passed or can't be met by any schedule.
void expire(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Refuses requests of each model's least urgent queued tier that are late by more than
/// `scheduler_options::late_tolerance` allows.
///
/// For load that exceeds the capacity of all servers for seconds: if such requests stayed queued
/// until their deadlines, no server would answer them and their callers would be refused last.
void refuse_late(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Sheds or transfers requests of the least urgent queued tier that can't finish in time.
void shed_infeasible(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Transfers requests with a long wait while a peer has free slots.
void offload(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Sheds the first candidate for shedding among all queued requests of the instance, or
/// transfers it to a peer with free slots or with less urgent queued requests.
void shed_first_candidate(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Immediately refuses requests that would wait too long, rather than after a useless wait.
void bound_wait(scheduler& target, model_id model, time_point now, std::vector<effect>& effects);

/// @brief Transfers every queued request to some peer, or refuses it if there is none.
void drain_queue(scheduler& target, time_point now, std::vector<effect>& effects);

} // namespace tarragonspar::dispatch::detail
