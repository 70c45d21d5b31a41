#pragma once

#include <string>
#include <variant>

#include "tarragonspar/config/document.hpp"
#include "tarragonspar/config/state.hpp"
#include "tarragonspar/idempotency/key_table.hpp"

/// @brief The replicated state machine of the control group.
namespace tarragonspar::control {

/// Command carried by an entry of the replicated log.
using command =
    std::variant<config::change, idempotency::claim, idempotency::settlement, config::document>;

/// Result of a command, returned to its proposer.
using reply = std::variant<std::monostate, config::change_answer, idempotency::claim_answer,
                           config::document_answer>;

/// @brief Configuration, idempotency keys and the published document.
struct state {
    config::state configuration;
    idempotency::key_table keys;
    config::document published;
};

/// @brief Applies a command. Deterministic: equal commands in equal order give equal states and
/// replies.
[[nodiscard]] reply apply(state& target, const command& input);

/// @brief Binary forms.
/// @par Errors  the decoders throw `nlohmann::json::exception` on malformed input
[[nodiscard]] std::string encode(const command& value);
[[nodiscard]] command decode_command(const std::string& bytes);
[[nodiscard]] std::string encode(const reply& value);
[[nodiscard]] reply decode_reply(const std::string& bytes);
[[nodiscard]] std::string encode(const state& value);
[[nodiscard]] state decode_state(const std::string& bytes);

} // namespace tarragonspar::control
