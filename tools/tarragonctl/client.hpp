#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace tarragonspar::ctl {

/// @brief How to reach an instance.
struct connection {
    std::string address{"127.0.0.1:8080"}; ///< `IP:port` of any instance
    std::string token;                     ///< operator's token, if one is asked for
    std::string authorities;               ///< certificates to trust; empty: plain HTTP
    std::string certificate;               ///< own certificate, if the instance wants one
    std::string private_key;
    std::chrono::milliseconds timeout{10'000};
};

/// @brief An instance's answer.
struct response {
    unsigned status{0}; ///< 0: it could not be reached
    std::string body;
    std::string fault; ///< why it could not be reached
};

/// @brief Sends one request.
[[nodiscard]] response send(const connection& to, const std::string& method,
                            const std::string& target, const std::string& body = {});

} // namespace tarragonspar::ctl
