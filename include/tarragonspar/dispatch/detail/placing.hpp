#pragma once

#include <optional>
#include <vector>

#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch::detail {

/// @brief What has changed since the whole queue was last considered, to limit the search. With 90
/// servers and a long queue, a full search after each change took most of a core.
struct change {
    const request_id* new_request{nullptr};       ///< only this request was added
    const routing::server_model* server{nullptr}; ///< only this server has gained capacity
    std::optional<block_hash> prefix;             ///< only this prefix has been computed
};

/// @brief Returns the block that identifies a request's prefix, if its prompt is long enough.
[[nodiscard]] std::optional<block_hash> prefix_root(const work_item& work);

/// @brief Returns the answer length to plan for: what the caller expects, or a cautious quantile.
[[nodiscard]] token_count predicted_output(const scheduler& source, const work_item& work);

/// @brief Acquires a slot of a server for a request, and records the prediction for it.
void record_start(scheduler& target, const admission::queued_item& item,
                  routing::server_model& server, const routing::prediction& predicted,
                  time_point now);

/// @brief Dispatches queued requests, most urgent first, while servers have capacity.
/// @param changed  what has changed; by default anything may have
void dispatch_ready(scheduler& target, time_point now, std::vector<effect>& effects,
                    const change& changed = {});

} // namespace tarragonspar::dispatch::detail
