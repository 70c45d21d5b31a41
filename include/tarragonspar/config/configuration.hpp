#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::config {

/// @brief Request properties that operators define and callers select by name.
struct profile {
    std::string name;
    tier urgency{};
    std::chrono::milliseconds deadline{};
    bool idempotent{true};
    std::uint32_t max_output_tokens{512};
    friend bool operator==(const profile&, const profile&) = default;
};

/// Kind of program behind a backend server's address.
enum class server_kind : std::uint8_t { engine, service };

/// Whether a backend server may be given new work.
enum class server_state : std::uint8_t { active, draining, retired };

/// @brief A backend server as configured by operators.
struct server {
    server_id id;
    std::string name;
    std::string failure_domain;
    std::string address; ///< `IP:port`
    server_kind kind{server_kind::engine};
    server_state state{server_state::active};
    std::vector<std::string> offers; ///< model names, or service names
    std::string hardware_class;      ///< servers of one class are assumed to be equally fast
    std::uint32_t slots{8};          ///< initial estimate of concurrent requests
    bool slots_are_exact{false};     ///< `slots` is the server's admission limit, not an estimate
    std::string software_version;    ///< of its program, not of the models; empty: not given
    bool checks_fencing{false};      ///< rejects requests with an outdated fencing number
    /// Start time of the program in Unix milliseconds, if the server list gives it; 0: unknown.
    std::uint64_t started_at_ms{0};
    friend bool operator==(const server&, const server&) = default;
};

/// @brief Returns the id of a server's software version; 0: it isn't given.
[[nodiscard]] software_id software_of(const server& value) noexcept;

/// @brief Limit on the queued and running requests of one workspace at an owner.
struct workspace_limit {
    std::string workspace;
    std::uint32_t max_in_system{0};
    friend bool operator==(const workspace_limit&, const workspace_limit&) = default;
};

/// @brief A complete configuration.
struct configuration {
    revision number;
    std::map<std::string, profile> profiles;
    std::map<server_id, server> servers;
    std::map<std::string, workspace_limit> limits;
    friend bool operator==(const configuration&, const configuration&) = default;
};

/// @brief JSON forms.
/// @par Errors  reading throws `nlohmann::json::exception` on malformed input and
/// `std::invalid_argument` on an unknown kind or state of a server
void to_json(nlohmann::json& out, const profile& value);
void from_json(const nlohmann::json& in, profile& value);
void to_json(nlohmann::json& out, const server& value);
void from_json(const nlohmann::json& in, server& value);
void to_json(nlohmann::json& out, const workspace_limit& value);
void from_json(const nlohmann::json& in, workspace_limit& value);
void to_json(nlohmann::json& out, const configuration& value);
void from_json(const nlohmann::json& in, configuration& value);

/// @brief Returns the name of an enumerator, as in settings and JSON.
[[nodiscard]] std::string_view to_string(server_kind value) noexcept;
[[nodiscard]] std::string_view to_string(server_state value) noexcept;

/// @brief Validates a configuration before it is accepted.
/// @return one message per error; empty if the configuration is valid
[[nodiscard]] std::vector<std::string> validate(const configuration& value);

} // namespace tarragonspar::config
