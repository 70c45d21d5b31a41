#pragma once

#include <random>
#include <string>

#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::gateway::detail {

inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_redirection = 300;
inline constexpr unsigned status_client_error = 400;
inline constexpr unsigned status_unauthorized = 401;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_request_timeout = 408;
inline constexpr unsigned status_misdirected = 421;
inline constexpr unsigned status_too_many = 429;
inline constexpr unsigned status_server_error = 500;
inline constexpr unsigned status_bad_gateway = 502;
inline constexpr unsigned status_unavailable = 503;
inline constexpr unsigned status_gateway_timeout = 504;

/// @brief Builds an answer from this instance itself, for a request that gets none from a server.
/// @param retry_after  value of `Retry-After` before jitter, for 429 and 503; zero: a few service
/// times
[[nodiscard]] http::reply make_refusal(unsigned status, const std::string& why,
                                       duration retry_after, std::mt19937_64& random);

} // namespace tarragonspar::gateway::detail
