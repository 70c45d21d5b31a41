#include "tarragonspar/gateway/detail/answer_verdict.hpp"

#include "tarragonspar/gateway/detail/replies.hpp"

namespace tarragonspar::gateway::detail {

namespace {

/// Whether a status tells callers that their request has not run and never will.
bool is_promise(unsigned status) noexcept {
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many || status == status_unavailable;
}

bool is_success(unsigned status) noexcept {
    return status >= status_ok && status < status_redirection;
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
    if (is_success(status) && !metadata.signed_by_server) {
        return answer_verdict::unsigned_success;
    }
    if (metadata.encoded) {
        return answer_verdict::encoded;
    }
    return is_promise(status) && !request.work.idempotent ? answer_verdict::unclear
                                                          : answer_verdict::answers;
}

std::string_view to_string(answer_verdict verdict) noexcept {
    switch (verdict) {
    case answer_verdict::answers:
        return "answers";
    case answer_verdict::declines:
        return "declines";
    case answer_verdict::foreign:
        return "foreign";
    case answer_verdict::unclear:
        return "unclear";
    case answer_verdict::encoded:
        return "encoded";
    case answer_verdict::unsigned_success:
        return "unsigned";
    }
    return "unknown";
}

} // namespace tarragonspar::gateway::detail
