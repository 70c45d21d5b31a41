#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "tarragonspar/config/configuration.hpp"

namespace tarragonspar::config {

/// Adds or replaces a profile.
struct put_profile {
    profile value;
};
/// Removes a profile.
struct delete_profile {
    std::string name;
};
/// Adds or replaces a backend server.
struct put_server {
    server value;
};
/// Sets the state of a backend server.
struct set_server_state {
    server_id id;
    server_state state{};
};
/// Sets or, with 0, removes the limit of a workspace.
struct put_limit {
    workspace_limit value;
};
/// Replaces all profiles, servers and limits.
struct replace_all {
    configuration value;
};

/// One edit of the configuration.
using edit =
    std::variant<put_profile, delete_profile, put_server, set_server_state, put_limit, replace_all>;

/// @brief A request to change the configuration.
struct change {
    std::string id; ///< chosen by the operator's tool; a resend carries the same id
    std::optional<revision> expected; ///< revision the edit is based on; none: any
    std::string author;
    edit what;
};

/// Result of a change request.
enum class change_result : std::uint8_t { accepted, conflict, invalid };

/// @brief Answer to a change request. A resend gets the first answer.
struct change_answer {
    change_result result{change_result::invalid};
    revision number;    ///< the new revision if accepted, else the one in force
    std::string detail; ///< errors found, as text
    friend bool operator==(const change_answer&, const change_answer&) = default;
};

/// @brief An accepted change in the history.
struct history_entry {
    revision number;
    std::string author;
    std::string summary;
    friend bool operator==(const history_entry&, const history_entry&) = default;
};

/// Maximum number of answers stored for resends.
inline constexpr std::size_t max_stored_answers = 4096;
/// Maximum number of accepted changes in the history.
inline constexpr std::size_t max_history = 1024;

/// @brief The configuration with the state that concurrent and resent changes need.
///
/// A deterministic state machine: every replica that applies the same changes in the same order
/// has an equal state.
struct state {
    configuration current;
    std::unordered_map<std::string, change_answer> answers;
    std::deque<std::string> answer_order;
    std::deque<history_entry> history;
};

/// @brief Applies a change request.
///
/// An accepted change increases the revision by one; a refused one leaves it unchanged.
/// @par Complexity  linear in the configuration
/// @par Errors  reported in the answer; a refused change leaves the configuration unchanged, its
/// answer is stored
[[nodiscard]] change_answer apply(state& target, const change& request);

/// @brief JSON forms, for the replicated log and the operator API.
void to_json(nlohmann::json& out, const change& value);
void from_json(const nlohmann::json& in, change& value);
void to_json(nlohmann::json& out, const change_answer& value);
void from_json(const nlohmann::json& in, change_answer& value);
void to_json(nlohmann::json& out, const history_entry& value);
void from_json(const nlohmann::json& in, history_entry& value);
void to_json(nlohmann::json& out, const state& value);
void from_json(const nlohmann::json& in, state& value);

} // namespace tarragonspar::config
