#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/outcome.hpp"

/// @brief Idempotency keys of callers: which request, if any, may run under a key.
namespace tarragonspar::idempotency {

/// @brief An answer stored for replays.
struct stored_answer {
    unsigned status{200};
    std::string content_type;
    std::string body;
    bool complete{true}; ///< false: the body was too long to be stored
    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// @brief Claims a key for a request.
struct claim {
    std::string key;        ///< workspace and key, separated by a line feed
    std::uint64_t digest{}; ///< of method, target and body
    request_id request;
    std::int64_t at_ms{}; ///< wall clock of the proposer; used only for retention
};

/// @brief Records the outcome of the request that holds a key.
struct settlement {
    std::string key;
    request_id request;
    outcome result{outcome::unknown};
    stored_answer answer;
};

/// @brief State of a key.
struct key_record {
    std::uint64_t digest{};
    request_id request;
    std::int64_t at_ms{};
    std::optional<outcome> result;
    stored_answer answer;
    friend bool operator==(const key_record&, const key_record&) = default;
};

/// Result of a claim.
enum class claim_result : std::uint8_t {
    granted, ///< the request may run
    held,    ///< the key is held already, by another request or by this one
    differs, ///< the key is held for a request with another digest
    full     ///< the table has reached `max_keys`
};

/// @brief Answer to a claim.
struct claim_answer {
    claim_result result{claim_result::full};
    key_record record; ///< of the request that holds the key, unless `full`
};

/// @brief Limits of a key table.
struct table_options {
    std::size_t max_keys{200'000};
    std::size_t max_answer_bytes{4 * 1024};
    std::int64_t retention_ms{24LL * 3600 * 1000};
};

/// @brief All keys. A deterministic state machine: replicas apply the same claims and settlements
/// in the same order.
struct key_table {
    table_options options;
    std::unordered_map<std::string, key_record> records;
    std::deque<std::pair<std::int64_t, std::string>> by_age;
    std::int64_t newest_ms{};
};

/// @brief Grants the key to the first request that claims it and evicts expired keys.
/// @par Complexity  constant on average, plus linear in the number of expired keys
[[nodiscard]] claim_answer apply(key_table& target, const claim& new_claim);

/// @brief Records the outcome of the request that holds the key; releases the key if that request
/// was not executed.
void apply(key_table& target, const settlement& new_settlement);

/// @brief JSON forms, for the replicated log.
void to_json(nlohmann::json& out, const claim& value);
void from_json(const nlohmann::json& in, claim& value);
void to_json(nlohmann::json& out, const settlement& value);
void from_json(const nlohmann::json& in, settlement& value);
void to_json(nlohmann::json& out, const key_record& value);
void from_json(const nlohmann::json& in, key_record& value);
void to_json(nlohmann::json& out, const claim_answer& value);
void from_json(const nlohmann::json& in, claim_answer& value);
void to_json(nlohmann::json& out, const key_table& value);
void from_json(const nlohmann::json& in, key_table& value);

} // namespace tarragonspar::idempotency
