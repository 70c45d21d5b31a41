#pragma once

#include <optional>
#include <vector>

#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch::detail {

/// @brief What has changed since all that waits was last looked at. With ninety servers and a long
/// queue, looking at all of it after each change took most of a core.
struct change {
    const request_id* newcomer{nullptr};          ///< only this request is new
    const routing::server_model* server{nullptr}; ///< only this server has room that it had not
    std::optional<block_hash> prefix;             ///< only this prefix has become ready
};

/// @brief The block that stands for a request's prefix, if its prompt is long enough to have one.
[[nodiscard]] std::optional<block_hash> prefix_root(const work_item& work);

/// @brief Length of an answer that is planned for: what the caller expects, or a cautious quantile.
[[nodiscard]] token_count predicted_output(const scheduler& source, const work_item& work);

/// @brief Takes a slot of a server for a request, and notes what is expected of it.
void note_started(scheduler& target, const admission::queued_item& item,
                  routing::server_model& server, const routing::prediction& predicted,
                  time_point now);

/// @brief Dispatches what waits, most urgent first, for as long as servers have room.
/// @param since  what has changed; by default anything may have
void dispatch_ready(scheduler& target, time_point now, std::vector<effect>& effects,
                    const change& since = {});

} // namespace tarragonspar::dispatch::detail
