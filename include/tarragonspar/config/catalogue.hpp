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

/// What a route's requests are, and so what may be done with them twice.
enum class request_kind : std::uint8_t {
    safe,      ///< may run any number of times
    unsafe,    ///< may run once at most
    streaming, ///< answered by events; runs once at most unless it may be resumed
};

/// @brief A service that a route's requests may go to, and its share of them.
struct weighted_service {
    std::string name;
    std::uint32_t weight{1};
};

/// @brief What operators declare about the requests under a host and a path: the product's profile,
/// picked by address in place of by name.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    request_kind kind{request_kind::safe};
    bool resumable{false}; ///< streaming only: a second server may go on after the last event
    tier urgency;
    std::chrono::milliseconds timeout{};           ///< longest time before the final answer
    std::chrono::milliseconds latency_objective{}; ///< to the answer, or to its first event
    std::chrono::milliseconds pause_objective{};   ///< longest pause between events of an answer
    std::uint32_t max_attempts{1};                 ///< backend servers that one request may reach
    bool anonymous_allowed{false};                 ///< needs no workspace key
    std::vector<weighted_service> services;
};

/// @brief A group of backend servers with one purpose.
struct service {
    std::string name;
    std::uint32_t max_connections{}; ///< from all instances together; 0: not limited
    std::uint32_t slots{};           ///< requests that one engine runs side by side; 0: not known
    std::uint32_t tokens_per_event{1};
};

/// @brief Limit on what a workspace may have run, over all instances.
struct workspace_quota {
    double units_per_second{}; ///< 0: not limited
    double burst{};
    bool counts_tokens{false};       ///< units are tokens, else requests
    std::uint32_t plain_tokens{200}; ///< tokens that a request without a prompt counts as
};

/// @brief A customer of a reseller.
struct workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<tier> urgency; ///< goes before the route's
    workspace_quota quota;
};

/// @brief What callers may send, as operators publish it.
struct caller_limits {
    std::size_t max_header_bytes{16 * 1024};
    std::size_t max_body_bytes{4 * 1024 * 1024};
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// @brief Everything that operators publish about routes, services and workspaces.
struct catalogue {
    document_number number;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces;
    caller_limits limits;
};

/// @brief Checks a catalogue before it is accepted.
/// @return one sentence per fault; empty when the catalogue is sound
[[nodiscard]] std::vector<std::string> find_faults(const catalogue& value);

/// @brief A catalogue in force, with look-ups by host, path and key.
class catalogue_index {
public:
    explicit catalogue_index(catalogue value);

    /// @brief The route with the longest prefix of the path among those of the host.
    /// @param target  path, perhaps with a query
    /// @return null if no route matches
    /// @par Complexity  linear in the segments of the path
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view target) const;

    /// @brief The workspace that holds a key, or null.
    [[nodiscard]] const workspace* find_workspace(const std::string& key) const;

    /// @brief A service by name, or null.
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

/// @brief The service that one request of a route goes to.
/// @param draw  a random number; equal draws give equal choices
[[nodiscard]] const std::string& choose_service(const route& from, std::uint64_t draw);

/// @brief Time without an event after which callers leave a route's streams, also before the first
/// event: two seconds, four times the latency objective or eight times the longest pause, whichever
/// is longest, as the users state it.
[[nodiscard]] std::chrono::milliseconds caller_patience(const route& value) noexcept;

/// @brief Whether a request may run a second time.
[[nodiscard]] bool is_idempotent(const route& value) noexcept;

} // namespace tarragonspar::config
