#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/outcome.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::dispatch {

/// @brief The HTTP request that is sent to a backend server on behalf of a caller.
struct call_body {
    bool plain{false};  ///< plain HTTP service: method and target are passed through
    std::string method; ///< HTTP method
    std::string target; ///< path and query at the backend server
    std::string content_type;
    std::string body;
};

/// @brief Start of the answer: status and content type of the backend server's response.
struct answer_started {
    server_id server;
    unsigned status{200};
    std::string content_type;
    token_count cached; ///< prompt tokens found in the server's cache
};

/// @brief One part of the answer's body.
struct answer_piece {
    std::uint64_t offset{}; ///< tokens before this piece; bytes for plain services
    std::uint32_t tokens{}; ///< tokens in this piece; bytes for plain services
    std::string text;
};

/// @brief Final event of a request, with its outcome and token counts.
struct answer_finished {
    outcome result{outcome::unknown};
    reason why{reason::none};
    duration retry_after{};
    std::string finish_reason; ///< reported by the engine, such as `stop` or `length`
    token_count prompt;
    token_count generated;
    token_count cached;
};

using answer_event = std::variant<answer_started, answer_piece, answer_finished>;

} // namespace tarragonspar::dispatch
