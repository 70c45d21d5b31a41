#pragma once

#include <vector>

#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch::detail {

/// @brief The owned servers that offer a model, whatever their state.
[[nodiscard]] const std::vector<routing::server_model*>& servers_for(const scheduler& source,
                                                                     model_id model);

/// @brief Predicted time that a request keeps a slot busy, on the servers that this owner has.
[[nodiscard]] double service_seconds(const scheduler& source, const work_item& work);

/// @brief Sum of the usable windows for a model.
[[nodiscard]] std::uint32_t total_slots(const scheduler& source, model_id model);

/// @brief When a refused caller may come back.
[[nodiscard]] duration retry_after(const scheduler& source, const model_pool& pool, model_id model);

/// @brief Removes a queued request and forgets its place in the per-workspace counts.
std::optional<admission::queued_item> remove_queued(scheduler& target, const request_id& id);

/// @brief Refuses what has run out of time, or can't be answered in time by any schedule.
void expire(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Refuses what has waited past its latency objective and is still not served.
///
/// Answers load that outruns all servers for seconds: held to the end, such requests are answered
/// by nobody and their callers learn it last.
void give_up_late(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Sheds or transfers requests of the least urgent waiting tier that can't finish in time.
void shed_infeasible(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Transfers requests whose wait is long while a peer has free slots.
void offload(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Sheds the least worthy queued request of the whole instance, or transfers it to a peer
/// that keeps less urgent work.
void shed_least_worthy(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Refuses what would wait too long at once, rather than after a wait that helps nobody.
void bound_wait(scheduler& target, model_id model, time_point now, std::vector<effect>& effects);

/// @brief Hands every queued request to some peer, or refuses it where there is none.
void drain_queue(scheduler& target, time_point now, std::vector<effect>& effects);

} // namespace tarragonspar::dispatch::detail
