#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace tarragonspar::ctl {

/// @brief How to reach an instance.
struct connection_options {
    std::string address{"127.0.0.1:8080"}; ///< `IP:port` of any instance
    std::string token;                     ///< operator's bearer token; empty: none is sent
    std::string authorities;               ///< file of trusted CA certificates; empty: plain HTTP
    std::string certificate;               ///< client certificate file; empty: none is presented
    std::string private_key;               ///< key file of the client certificate
    std::chrono::milliseconds timeout{10'000};
};

/// @brief Response of an instance.
struct response {
    unsigned status{0}; ///< HTTP status; 0 if the exchange failed
    std::string body;
    std::string error_message; ///< reason, if the exchange failed
};

/// @brief Sends one HTTP request and waits for its response.
[[nodiscard]] response send(const connection_options& connection, const std::string& method,
                            const std::string& target, const std::string& body = {});

} // namespace tarragonspar::ctl
