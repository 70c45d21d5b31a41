#pragma once

#include <optional>
#include <vector>

#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch::detail {

/// @brief Whether any owned server could ever serve the model.
[[nodiscard]] bool has_server(const scheduler& source, model_id model);

/// @brief Until when all servers of a request want nothing from its holder, if all do.
[[nodiscard]] std::optional<time_point> paused_until(const scheduler& source, const work_item& work,
                                                     time_point now);

/// @brief Counts a request out that was refused, withdrawn or ended.
void note_left(scheduler& target, const work_item& work, time_point now);

/// @brief Takes in what is heard of servers, and refuses what none of them can serve any more.
void handle(scheduler& target, const reported& what, time_point now, std::vector<effect>& effects);
void handle(scheduler& target, const cache_changed& what, time_point now,
            std::vector<effect>& effects);
void handle(scheduler& target, const ownership_changed& what, time_point now,
            std::vector<effect>& effects);
void handle(scheduler& target, const server_leaves& what, time_point now,
            std::vector<effect>& effects);
void handle(scheduler& target, const server_paused& what, time_point now,
            std::vector<effect>& effects);

} // namespace tarragonspar::dispatch::detail
