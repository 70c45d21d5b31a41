#pragma once

#include <cstdint>
#include <string_view>

#include "tarragonspar/gateway/relayed_request.hpp"

namespace tarragonspar::gateway::detail {

/// @brief What a server's answer means for the request that was sent to it.
enum class answer_verdict : std::uint8_t {
    answers,          ///< it may be forwarded
    declines,         ///< the server states that it did not run the request
    foreign,          ///< it does not name the request, which may have run
    unclear,          ///< forwarded, it would tell the caller what the server has not stated
    encoded,          ///< its body has a content coding and is not what the server answers
    unsigned_success, ///< it reports a success, but the server did not sign it
};

/// @brief Returns the name of a verdict by which an answer is not forwarded, for logs and metrics.
[[nodiscard]] std::string_view to_string(answer_verdict verdict) noexcept;

[[nodiscard]] answer_verdict judge_answer(unsigned status, const answer_metadata& metadata,
                                          const relayed_request& request);

} // namespace tarragonspar::gateway::detail
