#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/settings/fault.hpp"

namespace tarragonspar::settings {

/// @brief An IP address and a port, as written in settings.
struct endpoint {
    std::string address{"127.0.0.1"};
    std::uint16_t port{};
};

/// @brief Reads `IP:port`.
/// @return nothing when the text has another shape or the port is out of range
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

/// @brief The id of an instance that is known by its IPv4 address.
/// @return nothing when the text is no IPv4 address
[[nodiscard]] std::optional<instance_id> parse_instance_address(const std::string& text);

/// @brief The IPv4 address that an id was made from.
[[nodiscard]] std::string instance_address(instance_id id);

/// @brief Writes `IP:port`.
[[nodiscard]] std::string to_string(const endpoint& value);

/// @brief Limits on what callers may send.
struct http_limits {
    std::size_t max_header_bytes{16 * 1024};
    std::size_t max_body_bytes{8 * 1024 * 1024};
    std::size_t max_connections{20'000};
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds header_timeout{10'000}; ///< from a request's first byte
    std::chrono::milliseconds write_timeout{30'000};
    std::size_t stream_buffer_events{256}; ///< answer events held for a slow reader
};

/// @brief Certificate files; empty paths mean that TLS is off.
struct tls_files {
    std::string certificate;
    std::string private_key;
    std::string authorities; ///< certificates that clients must be signed by, if any
};

/// @brief Another instance.
struct peer {
    instance_id id;
    std::string failure_domain;
    endpoint wire;
    bool control{false}; ///< replica of the control group
};

/// @brief Where and how much to log.
struct log_settings {
    std::string level{"info"};
    std::string folder; ///< empty: standard error
    std::uint32_t max_file_megabytes{64};
};

/// What an instance does for the others.
enum class instance_role : std::uint8_t {
    whole,   ///< entry instance that also queues and, where asked for, keeps control state
    entry,   ///< takes callers' requests on a platform that lists backend servers itself
    control, ///< keeps control state and schedules for entry instances; callers never reach it
};

/// @brief What an instance on such a platform is told about its surroundings.
struct deployment_settings {
    endpoint readiness;                ///< entry: where readiness is asked for
    endpoint metrics;                  ///< port 0: not served
    std::vector<std::string> founders; ///< IPs of the first control instances, or of some of them
    bool first_start{false};           ///< the deployment starts for the first time, with no state
    endpoint server_list;              ///< where the platform lists backend servers
    double server_list_rate{0.0};      ///< calls a second taken from all instances; 0: no limit
    std::chrono::milliseconds grace{8'000}; ///< between SIGTERM and the end by force
    double retry_ratio{0.2};                ///< repeats that a service's requests allow
    double retry_slack{0.0};                ///< repeats allowed beyond, over all instances
    std::chrono::milliseconds retry_window{10'000};
    double quota_overage{0.0}; ///< part by which workspaces may exceed their quota
    double quota_slack{0.0};   ///< units by which they may exceed it besides
    std::chrono::milliseconds quota_window{8'000}; ///< span over which quotas are counted
};

/// @brief Settings of one `tarragond`.
struct instance_settings {
    instance_id id;
    std::string name;
    std::string failure_domain;
    endpoint http;
    endpoint wire;
    std::uint32_t threads{2};
    http_limits limits;
    tls_files caller_tls;
    tls_files wire_tls;
    std::vector<std::string> operator_tokens; ///< empty: operators are not asked for one
    std::string data_folder;                  ///< empty: this instance has no disk
    bool control{false};
    std::vector<peer> peers;
    log_settings log;
    std::chrono::milliseconds drain_timeout{30'000};
    std::chrono::milliseconds leave_notice{200}; ///< health check fails this long before draining
    std::string configuration_file;      ///< beside the settings file; in place of `configuration`
    config::configuration configuration; ///< used until a newer one is known
    instance_role role{instance_role::whole};
    deployment_settings deployment; ///< roles other than `whole`
    bool test_hooks{false};         ///< allows tests to cut this instance off from others
};

/// @brief Settings that were read, and what was wrong with them.
struct read_result {
    instance_settings value;
    std::vector<fault> faults;
};

/// @brief Reads settings from YAML text.
/// @return all faults found; the value is meaningful only without any
[[nodiscard]] read_result read_instance_settings(const std::string& text);

/// @brief Reads a settings file.
[[nodiscard]] read_result read_instance_settings_file(const std::string& file);

/// @brief A configuration that was read, and what was wrong with it.
struct configuration_result {
    config::configuration value;
    std::vector<fault> faults;
};

/// @brief Reads a configuration file as operators publish it.
[[nodiscard]] configuration_result read_configuration(const std::string& text);

} // namespace tarragonspar::settings
