#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "tarragonspar/config/configuration.hpp"

namespace tarragonspar::config {

/// Publishes a profile under its name, new or changed.
struct put_profile {
    profile value;
};
/// Removes a profile.
struct delete_profile {
    std::string name;
};
/// Adds a backend server, or changes one.
struct put_server {
    server value;
};
/// Moves a backend server to another state.
struct set_server_state {
    server_id id;
    server_state state{};
};
/// Sets or, with 0, removes the limit of a workspace.
struct put_limit {
    workspace_limit value;
};
/// Replaces profiles, servers and limits at once.
struct replace_all {
    configuration value;
};

/// One edit that an operator asks for.
using edit =
    std::variant<put_profile, delete_profile, put_server, set_server_state, put_limit, replace_all>;

/// @brief A request to change the configuration.
struct change {
    std::string id;                   ///< chosen by the operator's tool; a resend carries the same
    std::optional<revision> expected; ///< the revision the operator looked at; none: any
    std::string author;
    edit what;
};

/// How a change request ended.
enum class verdict : std::uint8_t { accepted, conflict, invalid };

/// @brief Answer to a change request; a resend gets the first answer again.
struct change_answer {
    verdict result{verdict::invalid};
    revision number;    ///< the new revision if accepted, else the one in force
    std::string detail; ///< faults found, in plain words
    friend bool operator==(const change_answer&, const change_answer&) = default;
};

/// @brief An accepted change, as listed by the history.
struct history_entry {
    revision number;
    std::string author;
    std::string summary;
    friend bool operator==(const history_entry&, const history_entry&) = default;
};

/// Answers to change requests that are kept for resends.
inline constexpr std::size_t max_kept_answers = 4096;
/// Accepted changes that the history lists.
inline constexpr std::size_t max_history = 1024;

/// @brief The configuration with what is needed to answer racing and repeated changes.
///
/// A deterministic state machine: every replica that applies the same changes in the same order
/// holds an equal value.
struct state {
    configuration current;
    std::unordered_map<std::string, change_answer> answers;
    std::deque<std::string> answer_order;
    std::deque<history_entry> history;
};

/// @brief Applies a change request.
///
/// The revision rises by one if the change is accepted and stays as it is otherwise.
/// @par Complexity  linear in the configuration
/// @par Errors  reported in the answer; the state is untouched unless the change is accepted
[[nodiscard]] change_answer apply(state& target, const change& request);

/// @brief JSON forms, for the replicated log and the operators' interface.
void to_json(nlohmann::json& out, const change& value);
void from_json(const nlohmann::json& in, change& value);
void to_json(nlohmann::json& out, const change_answer& value);
void from_json(const nlohmann::json& in, change_answer& value);
void to_json(nlohmann::json& out, const history_entry& value);
void from_json(const nlohmann::json& in, history_entry& value);
void to_json(nlohmann::json& out, const state& value);
void from_json(const nlohmann::json& in, state& value);

} // namespace tarragonspar::config
