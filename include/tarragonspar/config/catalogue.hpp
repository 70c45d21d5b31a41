#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::config {

/// Number of a published document; the highest one is in force.
using document_number = strong_id<struct document_tag, std::uint64_t>;

/// Kind of a route's requests, which decides whether they may run more than once.
enum class request_kind : std::uint8_t {
    safe,      ///< may run any number of times
    unsafe,    ///< runs at most once
    streaming, ///< answered by events; runs at most once unless the stream is resumable
};

/// @brief A target service of a route and its share of the requests.
struct weighted_service {
    std::string name;
    std::uint32_t weight{1};
};

/// @brief Properties that operators declare for requests to a host and path. Corresponds to a
/// `profile`, selected by address instead of by name.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    request_kind kind{request_kind::safe};
    bool resumable{false}; ///< streaming only: another server may continue after the last event
    tier urgency;
    std::chrono::milliseconds timeout{};           ///< until the final answer
    std::chrono::milliseconds latency_objective{}; ///< until the answer, or until its first event
    std::chrono::milliseconds gap_objective{};     ///< longest gap between events of an answer
    std::uint32_t max_attempts{1}; ///< backend servers that one request may be sent to
    bool anonymous_allowed{false}; ///< no workspace key is required
    std::vector<weighted_service> services;
};

/// @brief A named group of backend servers for one purpose.
struct service {
    std::string name;
    std::uint32_t max_connections{}; ///< from all instances together; 0: unlimited
    std::uint32_t slots{};           ///< requests that one engine runs concurrently; 0: unknown
    std::uint32_t tokens_per_event{1};
};

/// @brief Rate limit of a workspace, over all instances.
struct workspace_quota {
    double units_per_second{}; ///< 0: unlimited
    double burst{};
    bool counts_tokens{false};       ///< units are tokens instead of requests
    std::uint32_t plain_tokens{200}; ///< tokens charged for a request without a prompt
};

/// @brief A customer of a reseller.
struct workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<tier> urgency; ///< overrides the route's
    workspace_quota quota;
};

/// @brief Limits on callers' requests, as published by operators.
struct caller_limits {
    std::size_t max_header_bytes{16 * 1024};
    std::size_t max_body_bytes{4 * 1024 * 1024};
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// @brief Routes, services, workspaces and limits, as published by operators.
struct catalogue {
    document_number number;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces;
    /// Callers need the key of a workspace on routes that aren't anonymous. It can be set with an
    /// empty list of workspaces: then no caller has a key.
    bool keys_required{false};
    caller_limits limits;
};

/// @brief Validates a catalogue before it is accepted.
/// @return one message per error; empty if the catalogue is valid
[[nodiscard]] std::vector<std::string> validate(const catalogue& value);

/// @brief A catalogue with lookups by host, path, key and name.
class catalogue_index {
public:
    explicit catalogue_index(catalogue value);

    /// @brief Finds the route of the host with the longest matching path prefix.
    /// @param target  path, optionally with a query
    /// @return null if no route matches
    /// @par Complexity  linear in the segments of the path
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view target) const;

    /// @brief Returns the workspace that a key belongs to, or null.
    [[nodiscard]] const workspace* find_workspace(const std::string& key) const;

    /// @brief Returns a service by name, or null.
    [[nodiscard]] const service* find_service(const std::string& name) const;

    [[nodiscard]] const catalogue& value() const noexcept {
        return value_;
    }

private:
    catalogue value_;
    std::map<std::string, std::unordered_map<std::string, const route*>, std::less<>> by_host_;
    std::unordered_map<std::string, const workspace*> by_key_;
    std::unordered_map<std::string, const service*> by_service_;
};

/// @brief Chooses the service for one request of a route, by weight.
/// @param random_value  equal values give equal choices
[[nodiscard]] const std::string& choose_service(const route& from, std::uint64_t random_value);

/// @brief Returns the stall timeout of callers: the time without an event after which they abandon
/// a stream of the route, also before the first event. As specified by the users, it is the longest
/// of two seconds, four times the latency objective and eight times the gap objective.
[[nodiscard]] std::chrono::milliseconds caller_stall_timeout(const route& value) noexcept;

/// @brief Whether another server may continue a stream of a route after an event. A safe request
/// may only be repeated as a whole: the events of two runs don't belong together.
[[nodiscard]] bool is_resumable(const route& value) noexcept;

/// @brief Whether requests of a route may run more than once.
[[nodiscard]] bool is_idempotent(const route& value) noexcept;

} // namespace tarragonspar::config
