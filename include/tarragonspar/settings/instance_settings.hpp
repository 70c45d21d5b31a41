#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/settings/setting_error.hpp"

namespace tarragonspar::settings {

/// @brief An IP address and a port, as written in settings.
struct endpoint {
    std::string address{"127.0.0.1"};
    std::uint16_t port{};
};

/// @brief Parses `IP:port`. The address itself is not validated.
/// @return `std::nullopt` if the text has another form or the port is out of range
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);

/// @brief Returns the id of an instance that is identified by its IPv4 address.
/// @return `std::nullopt` if the text is not an IPv4 address
[[nodiscard]] std::optional<instance_id> parse_instance_address(const std::string& text);

/// @brief Returns the IPv4 address that an id was made from.
[[nodiscard]] std::string instance_address(instance_id id);

/// @brief Formats an endpoint as `IP:port`.
[[nodiscard]] std::string to_string(const endpoint& value);

/// @brief Limits on callers' requests and connections.
struct http_limits {
    std::size_t max_header_bytes{16 * 1024};
    std::size_t max_body_bytes{8 * 1024 * 1024};
    std::size_t max_connections{0};    ///< 0: derived from the descriptors, see `machine.hpp`
    std::size_t max_buffered_bytes{0}; ///< of all callers together; 0: derived from the memory
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds header_timeout{10'000}; ///< from a request's first byte
    /// Callers that read nothing for longer hold a server's slot; servers cut off such answers too.
    std::chrono::milliseconds write_timeout{10'000};
    /// Bytes that a request or an answer must move in an interval. A body of the maximum size sent
    /// within its route's timeout moves thousands of times as many.
    std::size_t min_progress_bytes{256};
    /// 0: `idle_timeout` for requests and `write_timeout` for answers
    std::chrono::milliseconds min_progress_interval{0};
    std::size_t socket_buffer_bytes{64UL * 1024};
    std::size_t stream_buffer_events{256}; ///< answer events buffered for a slow reader
};

/// @brief Certificate files; TLS is disabled if the paths are empty.
struct tls_files {
    std::string certificate;
    std::string private_key;
    std::string authorities; ///< CA certificates to verify clients with, if any
};

/// @brief Another instance of the deployment.
struct peer {
    instance_id id;
    std::string failure_domain;
    endpoint wire;
    bool control{false}; ///< replica of the control group
};

/// @brief Destination and level of the log.
struct log_settings {
    std::string level{"info"};
    std::string folder; ///< empty: standard error
    std::uint32_t max_file_megabytes{64};
};

/// Role of an instance.
enum class instance_role : std::uint8_t {
    whole,   ///< entry instance that also queues and, if configured, stores control state
    entry,   ///< accepts callers' requests on a platform that lists backend servers itself
    control, ///< stores control state and schedules for entry instances; not reachable by callers
};

/// @brief Settings of an instance whose platform lists backend servers itself.
struct deployment_settings {
    endpoint readiness;                ///< entry role: address of the readiness check
    endpoint metrics;                  ///< port 0: disabled
    std::vector<std::string> founders; ///< IPs of all or some of the first control instances
    bool first_start{false};           ///< the deployment starts for the first time, without state
    endpoint server_list;              ///< address of the platform's list of backend servers
    double server_list_rate{0.0}; ///< calls per second accepted from all instances; 0: unlimited
    std::chrono::milliseconds grace{8'000}; ///< between SIGTERM and SIGKILL
    double retry_ratio{0.2};                ///< retries allowed, as a share of a service's requests
    double retry_slack{0.0};                ///< retries allowed in addition, over all instances
    std::chrono::milliseconds retry_window{10'000};
    double memory_mb{0.0};       ///< of the machine; 0: as the operating system says
    double max_descriptors{0.0}; ///< of the process; 0: as the operating system says
    double quota_overage{0.0};   ///< share by which a workspace may exceed its quota
    double quota_slack{0.0};     ///< units by which it may exceed its quota in addition
    std::chrono::milliseconds quota_window{8'000}; ///< window over which quotas are counted
};

/// @brief Settings of one `tarragond` process.
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
    std::vector<std::string> operator_tokens; ///< empty: operators need no token
    std::string data_folder;                  ///< empty: this instance stores nothing on disk
    bool control{false};
    std::vector<peer> peers;
    log_settings log;
    std::chrono::milliseconds drain_timeout{30'000};
    std::chrono::milliseconds shutdown_notice{200}; ///< time the health check fails before draining
    std::string configuration_file; ///< relative to the settings file; replaces `configuration`
    config::configuration configuration; ///< used until a newer one is received
    instance_role role{instance_role::whole};
    deployment_settings deployment; ///< for roles other than `whole`
    bool test_hooks{false};         ///< allows tests to isolate this instance from others
};

/// @brief Settings and the errors found in them.
struct read_result {
    instance_settings value;
    std::vector<setting_error> errors;
};

/// @brief Reads settings from YAML text.
/// @return the settings and all errors found; the settings are valid only if there are none
[[nodiscard]] read_result read_instance_settings(const std::string& text);

/// @brief Reads a settings file and the configuration file that it names, if any.
[[nodiscard]] read_result read_instance_settings_file(const std::string& file);

/// @brief A configuration and the errors found in it.
struct configuration_result {
    config::configuration value;
    std::vector<setting_error> errors;
};

/// @brief Reads a configuration from YAML text, as published by operators.
[[nodiscard]] configuration_result read_configuration(const std::string& text);

} // namespace tarragonspar::settings
