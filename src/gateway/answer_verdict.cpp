#include "tarragonspar/gateway/detail/answer_verdict.hpp"

#include "tarragonspar/gateway/detail/replies.hpp"

namespace tarragonspar::gateway::detail {

namespace {

/// Whether a status tells callers that their request has not run and never will.
bool is_promise(unsigned status) noexcept {
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many || status == status_unavailable;
}

} // namespace

answer_verdict judge_answer(unsigned status, const answer_metadata& metadata,
                            const relayed_request& request) {
    if (metadata.request_name != request.caller.name) {
        return answer_verdict::foreign;
    }
    const auto is_client_error = status >= status_client_error && status < status_server_error;
    // Other server errors report what happened while the request ran.
    const auto may_decline = is_client_error || status == status_unavailable;
    if (may_decline && (metadata.not_executed || status == status_misdirected)) {
        return answer_verdict::declines;
    }
    if (metadata.not_executed && status < status_client_error) {
        return answer_verdict::unclear;
    }
    return is_promise(status) && !request.work.idempotent ? answer_verdict::unclear
                                                          : answer_verdict::answers;
}

} // namespace tarragonspar::gateway::detail
