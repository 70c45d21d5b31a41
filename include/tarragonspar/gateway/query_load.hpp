#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "tarragonspar/types/units.hpp"

namespace tarragonspar::gateway {

/// @brief What the queries of other instances cost a control instance within a second.
struct query_load {
    time_point begin{}; ///< of the second
    std::uint64_t queries{};
    duration longest_wait{};   ///< from the arrival of a query until its handling began
    std::uint64_t documents{}; ///< answers that held a document, or a part of one
    std::uint64_t document_bytes{};
};

/// @brief Returns the load of a second that has ended, if it is worth a log line, and begins the
/// next second.
[[nodiscard]] inline std::optional<query_load> take_finished_second(query_load& load,
                                                                    time_point now) {
    constexpr duration length = std::chrono::seconds{1};
    /// Entry instances expect an answer within some tens of milliseconds.
    constexpr duration notable_wait = std::chrono::milliseconds{100};
    if (now - load.begin < length) {
        return std::nullopt;
    }
    const auto finished = load;
    load = {.begin = now};
    const auto notable = finished.longest_wait >= notable_wait || finished.documents > 0;
    return notable ? std::optional{finished} : std::nullopt;
}

} // namespace tarragonspar::gateway
