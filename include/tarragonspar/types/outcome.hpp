#pragma once

#include <cstdint>
#include <string_view>

namespace tarragonspar {

/// The final outcome of a request, as reported to its caller.
enum class outcome : std::uint8_t {
    answered,     ///< the complete answer was delivered
    not_executed, ///< provably never written to a backend server
    unknown,      ///< it may have run; its status can be queried later by its id
};

/// Why a request was not executed, or why its outcome is unknown.
enum class reason : std::uint8_t {
    none,
    overloaded,       ///< shed in favour of other requests
    deadline_passed,  ///< before dispatch, its deadline passed or could no longer be met
    no_server,        ///< no live backend server offers the model or service
    caller_gone,      ///< the caller closed its connection before dispatch
    shutting_down,    ///< the instance is shutting down and no peer accepted the request
    workspace_limit,  ///< the workspace exceeds its own limit
    peer_lost,        ///< the instance that queued the request was lost before dispatch
    server_lost,      ///< the backend server was lost after dispatch
    answer_corrupted, ///< the backend server violated its protocol after dispatch
    issuer_lost,      ///< the incarnation that knows the key's result is gone
    no_quorum,        ///< the key could not be claimed: no majority of the control group answers
    catching_up,      ///< the instance has just started and does not know the configuration yet
    quarantined,      ///< servers crashed under a part of its prompt
    version_unknown,  ///< it continues a stream, and no one knows which software version began it
};

/// @brief Returns the stable name for logs, metrics and problem documents.
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
        return "catching_up";
    case reason::quarantined:
        return "quarantined";
    case reason::version_unknown:
        break;
    }
    return "version_unknown";
}

} // namespace tarragonspar
