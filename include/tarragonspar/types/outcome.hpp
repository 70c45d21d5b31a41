#pragma once

#include <cstdint>
#include <string_view>

namespace tarragonspar {

/// What a caller is told about its request in the end.
enum class outcome : std::uint8_t {
    answered,     ///< the whole answer was delivered
    not_executed, ///< proved never to have been written to a backend server
    unknown,      ///< it may have run; the id can be asked about later
};

/// Why a request was not executed, or why its outcome is unknown.
enum class reason : std::uint8_t {
    none,
    overloaded,       ///< shed: other work was kept instead
    deadline_passed,  ///< its time ran out, or can't be met by any schedule, before dispatch
    no_server,        ///< no live backend server offers the model or service
    caller_gone,      ///< the caller closed its connection before dispatch
    shutting_down,    ///< the instance is leaving and no peer could take the request
    workspace_limit,  ///< the workspace is over its own limit
    peer_lost,        ///< the instance that queued the request went away before dispatch
    server_lost,      ///< the backend server went away after dispatch
    answer_corrupted, ///< the backend server broke its own protocol after dispatch
    issuer_lost,      ///< the incarnation that could tell what became of the key is gone
    no_quorum,        ///< the key could not be claimed: no majority of the control group answers
    catching_up,      ///< the instance has just started and does not know the configuration yet
};

/// @brief Stable names for logs, metrics and problem documents.
[[nodiscard]] constexpr std::string_view to_string(outcome value) noexcept {
    switch (value) {
    case outcome::answered:
        return "answered";
    case outcome::not_executed:
        return "not_executed";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

/// @copydoc to_string(outcome)
[[nodiscard]] constexpr std::string_view to_string(reason value) noexcept {
    switch (value) {
    case reason::none:
        return "none";
    case reason::overloaded:
        return "overloaded";
    case reason::deadline_passed:
        return "deadline_passed";
    case reason::no_server:
        return "no_server";
    case reason::caller_gone:
        return "caller_gone";
    case reason::shutting_down:
        return "shutting_down";
    case reason::workspace_limit:
        return "workspace_limit";
    case reason::peer_lost:
        return "peer_lost";
    case reason::server_lost:
        return "server_lost";
    case reason::answer_corrupted:
        return "answer_corrupted";
    case reason::issuer_lost:
        return "issuer_lost";
    case reason::no_quorum:
        return "no_quorum";
    case reason::catching_up:
        break;
    }
    return "catching_up";
}

} // namespace tarragonspar
