#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::dispatch {

/// What became of a server that ended a connection before the end of its answer.
enum class server_fate : std::uint8_t {
    unknown, ///< it could not be checked
    ended,   ///< it accepts no connection any more, as after a crash
    alive,   ///< it accepts connections; only the connection was lost
};

/// @brief Returns the name of a fate, as in logs.
[[nodiscard]] constexpr std::string_view to_string(server_fate value) noexcept {
    switch (value) {
    case server_fate::unknown:
        return "unknown";
    case server_fate::ended:
        return "ended";
    case server_fate::alive:
        return "alive";
    }
    return "unknown";
}

/// @brief A request whose server ended the connection before the end of its answer.
struct server_loss {
    server_id server;
    server_fate fate{server_fate::unknown};
    model_id service;
    request_id request;
    std::vector<std::uint64_t> parts; ///< see `work_item::prompt_parts`
    bool has_prompt{false};           ///< the last part is the request's own or its session's
    time_point started{};             ///< when the request was granted
    time_point at{};                  ///< when the loss was noticed
};

/// @brief The end of a server, known from its list entry or from a refused connection.
struct server_end {
    server_id server;
    std::vector<model_id> offers;
    time_point at{};
    bool from_list{false}; ///< noticed by the server list, which lags by some seconds
};

} // namespace tarragonspar::dispatch
