#pragma once

#include <cstdint>
#include <optional>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::routing {

/// @brief Compact summary of an owner's load for one model, which it sends to other instances.
struct model_digest {
    model_id model;
    std::uint32_t free_slots{};        ///< requests it could dispatch immediately
    std::uint32_t slots{};             ///< sum of its windows
    float queued_seconds{};            ///< predicted work waiting in all tiers
    std::optional<tier> lowest_kept;   ///< least urgent tier with waiting requests
    std::uint32_t queued{};            ///< number of waiting requests
    float prefill_tokens_per_second{}; ///< of its fastest server
    float service_seconds{};           ///< mean time that a request occupies a slot
    friend bool operator==(const model_digest&, const model_digest&) = default;
};

} // namespace tarragonspar::routing
