#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include <nlohmann/json_fwd.hpp>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/outcome.hpp"

/// @brief Callers' own keys: which request, if any, may run under a key.
namespace tarragonspar::idempotency {

/// @brief An answer as it is kept for replays.
struct kept_answer {
    unsigned status{200};
    std::string content_type;
    std::string body;
    bool complete{true}; ///< false: it was too long to be kept
    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

/// @brief A request wants to be the one that runs under a key.
struct claim {
    std::string key;        ///< workspace and key, joined by a line feed
    std::uint64_t digest{}; ///< of method, target and body
    request_id request;
    std::int64_t at_ms{}; ///< wall time at the proposer; only for retention
};

/// @brief The request that holds a key tells how it ended.
struct settlement {
    std::string key;
    request_id request;
    outcome result{outcome::unknown};
    kept_answer answer;
};

/// @brief What is known of a key.
struct key_record {
    std::uint64_t digest{};
    request_id request;
    std::int64_t at_ms{};
    std::optional<outcome> result;
    kept_answer answer;
    friend bool operator==(const key_record&, const key_record&) = default;
};

/// What a claim led to.
enum class claim_result : std::uint8_t {
    granted, ///< the request may run
    held,    ///< another request holds the key, or this one already
    differs, ///< the key was used with another body
    full     ///< no room for another key
};

/// @brief Answer to a claim.
struct claim_answer {
    claim_result result{claim_result::full};
    key_record record; ///< of the holder, unless `full`
};

/// @brief Bounds of a table.
struct table_options {
    std::size_t max_keys{200'000};
    std::size_t max_answer_bytes{4 * 1024};
    std::int64_t retention_ms{24LL * 3600 * 1000};
};

/// @brief All keys, a deterministic state machine that replicas apply in the same order.
struct key_table {
    table_options options;
    std::unordered_map<std::string, key_record> records;
    std::deque<std::pair<std::int64_t, std::string>> by_age;
    std::int64_t newest_ms{};
};

/// @brief Gives the key to the first request that asks.
/// @par Complexity  constant on average, and linear in the keys that have outlived the retention
[[nodiscard]] claim_answer apply(key_table& target, const claim& what);

/// @brief Notes how the holder ended; a request that did not run gives the key back.
void apply(key_table& target, const settlement& what);

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
