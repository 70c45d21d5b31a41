// Digest of an owner's capacity and load, for peers.

#include <algorithm>

#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch {

std::vector<routing::model_digest> make_digest(const scheduler& source, time_point now) {
    std::map<model_id, routing::model_digest> digests;
    if (source.draining) {
        return {};
    }
    for (const auto& [id, server] : source.servers) {
        const auto usable =
            server.state == config::server_state::active && routing::allows(server.breaker, now);
        if (!usable) {
            continue;
        }
        const auto window = routing::usable_window(server);
        for (const auto model : server.offers) {
            auto& digest = digests[model];
            digest.model = model;
            digest.slots += window;
            digest.free_slots += window - std::min(window, server.in_flight);
            digest.prefill_tokens_per_second =
                std::max(digest.prefill_tokens_per_second,
                         static_cast<float>(server.speed.prefill_tokens_per_second));
        }
    }
    for (auto& [model, digest] : digests) {
        const auto pool = source.pools.find(model);
        if (pool == source.pools.end()) {
            continue;
        }
        digest.queued = static_cast<std::uint32_t>(pool->second.queue.size());
        digest.queued_seconds = static_cast<float>(pool->second.queue.work_ahead({tier_count - 1}));
        digest.lowest_kept = pool->second.queue.lowest_tier();
        digest.service_seconds = static_cast<float>(pool->second.service_seconds);
    }
    std::vector<routing::model_digest> out;
    out.reserve(digests.size());
    for (const auto& [model, digest] : digests) {
        out.push_back(digest);
    }
    return out;
}

} // namespace tarragonspar::dispatch
