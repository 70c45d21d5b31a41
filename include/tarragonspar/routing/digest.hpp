#pragma once

#include <cstdint>
#include <optional>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::routing {

/// @brief What an owner tells others about its work on one model, kept small.
struct model_digest {
    model_id model;
    std::uint32_t free_slots{};        ///< requests it could dispatch at once
    std::uint32_t slots{};             ///< sum of its windows
    float queued_seconds{};            ///< predicted work waiting in all tiers
    std::optional<tier> lowest_kept;   ///< least urgent tier that waits
    std::uint32_t queued{};            ///< requests waiting
    float prefill_tokens_per_second{}; ///< of its fastest server
    float service_seconds{};           ///< mean time that a request keeps a slot busy
    friend bool operator==(const model_digest&, const model_digest&) = default;
};

} // namespace tarragonspar::routing
