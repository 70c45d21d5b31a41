#pragma once

#include <optional>
#include <vector>

#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch::detail {

/// @brief Whether any active owned server may get a request.
[[nodiscard]] bool has_server(const scheduler& source, const work_item& work);

/// @brief Returns the earliest end of the backoffs that the servers of a request asked of its
/// dispatcher, if all of its active servers did.
[[nodiscard]] std::optional<time_point> backoff_until(const scheduler& source,
                                                      const work_item& work, time_point now);

/// @brief Whether a request has a suspected prompt part that another running request has as well.
[[nodiscard]] bool must_wait_for_trial(const scheduler& source, const work_item& work,
                                       time_point now);

/// @brief Whether a request would have to wait for such a request behind several others.
[[nodiscard]] bool waits_too_long_for_trial(const scheduler& source, const work_item& work,
                                            time_point now);

/// @brief Records what the end of a request tells about its prompt parts.
void record_evidence(scheduler& target, const running_item& item, const ended& input,
                     time_point now, std::vector<effect>& effects);

/// @brief Refuses queued requests with a quarantined prompt part.
void refuse_quarantined(scheduler& target, time_point now, std::vector<effect>& effects);

/// @brief Removes a request that was refused, withdrawn or has ended from the counts.
void record_removal(scheduler& target, const work_item& work, time_point now);

/// @brief Handlers of events about servers. Queued requests that no server can serve any longer are
/// refused.
void handle(scheduler& target, const reported& input, time_point now, std::vector<effect>& effects);
void handle(scheduler& target, const cache_changed& input, time_point now,
            std::vector<effect>& effects);
void handle(scheduler& target, const ownership_changed& input, time_point now,
            std::vector<effect>& effects);
void handle(scheduler& target, const server_draining& input, time_point now,
            std::vector<effect>& effects);
void handle(scheduler& target, const server_backoff& input, time_point now,
            std::vector<effect>& effects);
void handle(scheduler& target, const suspicions_received& input, time_point now,
            std::vector<effect>& effects);

} // namespace tarragonspar::dispatch::detail
