#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace tarragonspar::rollout {

/// @brief An operator's order to move a service's traffic to another software version.
struct order {
    std::string service;
    std::string target;
    std::chrono::milliseconds duration{};
    friend bool operator==(const order&, const order&) = default;
};

enum class phase : std::uint8_t { running, completed, rolled_back };

/// @brief The last accepted order of a service.
struct record {
    order what;
    std::uint64_t number{}; ///< increases with every accepted order, over all services
    phase state{phase::running};
    std::int64_t started_unix_ms{}; ///< as the proposing leader stated it
    friend bool operator==(const record&, const record&) = default;
};

/// @brief The replicated state of all rollouts.
struct table {
    std::map<std::string, record> records; ///< by service
    std::uint64_t last_number{};
    friend bool operator==(const table&, const table&) = default;
};

/// @brief Command that starts a rollout.
struct start_rollout {
    order what;
    std::int64_t at_unix_ms{}; ///< time of the proposing leader
    friend bool operator==(const start_rollout&, const start_rollout&) = default;
};

/// @brief Command that ends a rollout.
struct conclude_rollout {
    std::string service;
    std::uint64_t number{}; ///< of the rollout that is meant; another one is left unchanged
    phase state{phase::rolled_back};
    friend bool operator==(const conclude_rollout&, const conclude_rollout&) = default;
};

enum class start_result : std::uint8_t {
    accepted,
    repeated,    ///< equal to the order that is running or was accepted last; acknowledge it
    in_progress, ///< an order with another target or duration is running
    invalid,     ///< a name is empty or the duration is not positive
};

/// @brief Result of a start command.
struct start_answer {
    start_result result{start_result::invalid};
    std::uint64_t number{}; ///< of the service's current record; 0 if it has none
    friend bool operator==(const start_answer&, const start_answer&) = default;
};

/// @brief Accepts an order, unless another one is running or it repeats the last one.
///
/// A resent order does not restart its rollout, also after it has been concluded.
[[nodiscard]] start_answer apply(table& target, const start_rollout& command);

/// @brief Concludes a running rollout. A concluded one keeps its phase.
/// @return whether the rollout with this number is in the commanded phase afterwards
bool apply(table& target, const conclude_rollout& command);

/// @brief Name of a phase as interfaces show it.
[[nodiscard]] const char* to_string(phase value) noexcept;

/// @brief JSON forms, for the replicated log.
void to_json(nlohmann::json& out, const order& value);
void from_json(const nlohmann::json& in, order& value);
void to_json(nlohmann::json& out, const record& value);
void from_json(const nlohmann::json& in, record& value);
void to_json(nlohmann::json& out, const table& value);
void from_json(const nlohmann::json& in, table& value);
void to_json(nlohmann::json& out, const start_rollout& value);
void from_json(const nlohmann::json& in, start_rollout& value);
void to_json(nlohmann::json& out, const conclude_rollout& value);
void from_json(const nlohmann::json& in, conclude_rollout& value);
void to_json(nlohmann::json& out, const start_answer& value);
void from_json(const nlohmann::json& in, start_answer& value);

} // namespace tarragonspar::rollout
