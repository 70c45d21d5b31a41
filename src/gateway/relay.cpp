// Relays a caller's request to backend servers, from its arrival to its end.

#include <algorithm>

#include "tarragonspar/gateway/detail/answer_verdict.hpp"
#include "tarragonspar/gateway/detail/replies.hpp"
#include "tarragonspar/gateway/entry_instance.hpp"
#include "tarragonspar/http/detail/serve.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;
using runtime::now;
using namespace detail;

namespace {

/// Number of unreachable servers after which a request fails.
constexpr std::uint32_t max_unreachable = 6;
/// Time before the deadline from which on no further attempt is made.
constexpr duration min_attempt_time = std::chrono::milliseconds{50};
bool is_event_stream(const http::answer_head& head) {
    return head.status == status_ok && head.header("Content-Type").starts_with("text/event-stream");
}

} // namespace

void entry_instance::watch_caller(const request_ptr& request, http::exchange& with) {
    with.on_disconnect([request] {
        request->caller_gone = true;
        if (request->call) {
            request->call->close();
        }
        request->wakeup.cancel();
    });
    arm_deadline_timer(request);
}

void entry_instance::arm_deadline_timer(const request_ptr& request) {
    const auto deadline = request->work.deadline;
    // An answer that is being forwarded may still end before its deadline.
    const auto until =
        request->response_started ? deadline : std::min(deadline, shutdown_deadline_);
    request->deadline_timer.expires_after(until - now());
    request->deadline_timer.async_wait([this, request](boost::system::error_code error) {
        if (error) {
            return;
        }
        if (request->response_started && now() < request->work.deadline) {
            arm_deadline_timer(request);
            return;
        }
        request->timed_out = true;
        if (request->call) {
            request->call->close();
        }
        request->wakeup.cancel();
    });
}

void entry_instance::record_notices(relayed_request& request, unsigned status,
                                    const answer_metadata& metadata) {
    // An answer to another request may be a late copy, and the server that got a former one's
    // address declines the request and speaks of itself.
    request.server_backoff.reset();
    if (metadata.request_name != request.caller.name || status == status_misdirected) {
        return;
    }
    dispatch::server_notice notice{.server = request.current_grant->server,
                                   .dispatcher = settings_.id,
                                   .backoff = std::nullopt};
    if (metadata.server_draining) {
        link_->record(notice);
    }
    if (metadata.request_limit || !metadata.names_request_limit) {
        link_->record_limit(notice.server, metadata.request_limit, request.sent_at);
    }
    request.server_backoff = metadata.requested_backoff;
    if (metadata.requested_backoff) {
        notice.backoff = metadata.requested_backoff;
        link_->record(notice);
    }
}

asio::awaitable<void> entry_instance::handle(http::exchange& with) {
    const auto arrival = now();
    if (!has_initial_state()) {
        // All waiting requests are resumed once the initial state is known, at the latest when the
        // timer expires.
        co_await initial_state_timer_.async_wait(http::detail::as_result);
    }
    rejection refused;
    request_ptr request;
    if (accepts_requests()) {
        request = admit(with, arrival, refused);
    } else {
        refused.reply = refuse_while_stopping();
    }
    if (!request) {
        log_rejection(refused);
        co_await with.respond(std::move(refused.reply));
        co_return;
    }
    ++open_count_;
    open_requests_.emplace(request->work.id.sequence, request);
    admission::record_first_attempt(retries_, request->service, now());
    watch_caller(request, with);
    co_await relay(request, with);
    request->deadline_timer.cancel();
    open_requests_.erase(request->work.id.sequence);
    --open_count_;
    record_finished(*request);
}

asio::awaitable<void> entry_instance::relay(request_ptr request, http::exchange& with) {
    auto previous = dispatch::previous_grant::none;
    auto last = attempt_end::not_connected;
    if (config::is_resumable(*request->route)) {
        request->last_event = request->caller.resume_after;
    }
    while (true) {
        if (!request->current_grant) {
            const bool granted = co_await wait_for_grant(request, previous);
            if (!granted) {
                break;
            }
        }
        last = co_await attempt(request, with);
        request->stall_timer.cancel();
        if (request->call) {
            request->call->close();
            request->call.reset();
        }
        if (fail_over(request, last)) {
            continue;
        }
        const auto retry = request->retry_allowed || may_retry(*request, last);
        request->retry_allowed = false;
        if (last == attempt_end::server_lost) {
            if (!retry) {
                // The caller is answered first; the check may take a moment, in which it may leave.
                co_await conclude(request, with, last);
            }
            const auto caller_gone = request->caller_gone;
            co_await check_lost_server(request);
            request->caller_gone = request->caller_gone && (retry || caller_gone);
        }
        const auto server_fault = last == attempt_end::not_connected ||
                                  last == attempt_end::not_executed ||
                                  last == attempt_end::failed || last == attempt_end::server_lost;
        if (!retry) {
            report_outcome(*request, last, server_fault);
            if (last == attempt_end::server_lost) {
                co_return;
            }
            break;
        }
        previous = last == attempt_end::not_connected ? dispatch::previous_grant::not_connected
                   : last == attempt_end::server_lost ? dispatch::previous_grant::server_lost
                                                      : dispatch::previous_grant::server_failed;
        if (last != attempt_end::not_connected) {
            request->work.avoid.push_back(request->current_grant->server);
        }
        log_request_again(*request, last == attempt_end::not_connected  ? "not_connected"
                                    : last == attempt_end::not_executed ? "not_executed"
                                    : last == attempt_end::server_lost  ? "server_lost"
                                                                        : "failed");
        request->current_grant.reset();
    }
    co_await conclude(request, with, last);
}

asio::awaitable<bool> entry_instance::wait_for_grant(request_ptr request,
                                                     dispatch::previous_grant previous) {
    request->grant_result.reset();
    request->work.repeated = request->may_have_run;
    link_->ask(request->work, previous, request->lost_server_fate,
               [request](dispatch::grant_result result) {
                   request->grant_result = std::move(result);
                   request->wakeup.cancel();
               });
    while (!request->grant_result && !request->is_over()) {
        request->wakeup.expires_at(asio::steady_timer::time_point::max());
        co_await request->wakeup.async_wait(http::detail::as_result);
    }
    if (request->is_over()) {
        link_->record({.id = request->work.id, .kind = dispatch::grant_update::stage::withdrawn});
        co_return false;
    }
    const auto* given = std::get_if<dispatch::grant>(&*request->grant_result);
    if (request->work.resumed_stream != 0 && previous == dispatch::previous_grant::none) {
        record_take_up(*request);
    }
    if (given == nullptr) {
        co_return false;
    }
    request->current_grant = *given;
    request->granted_at = now();
    request->granted_locally = !link_->has_leader();
    co_return true;
}

asio::awaitable<attempt_end> entry_instance::attempt(request_ptr request, http::exchange& with) {
    const auto& at = *request->current_grant;
    const auto address = settings::parse_endpoint(at.address);
    if (!address) {
        co_return attempt_end::not_connected;
    }
    request->call = std::make_shared<http::backend_call>(context_.get_executor());
    const bool connected = co_await request->call->connect(*address);
    if (request->is_over()) {
        co_return attempt_end::stopped;
    }
    if (!connected) {
        ++request->unreachable;
        co_return attempt_end::not_connected;
    }
    const auto remaining = request->work.deadline - now();
    dispatch_terms terms;
    terms.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
    terms.server_name = at.server_name;
    terms.workspace = request->workspace;
    terms.resume_after = request->last_event ? request->last_event : request->caller.resume_after;
    auto headers = protocol_->server_headers(request->caller, terms);
    ++request->attempts;
    if (request->attempts == 1) {
        usage_.add(request->work.workspace, request->work.quota_units, now());
    }
    const auto ran_before = request->may_have_run;
    request->may_have_run = true;
    request->sent_at = now();
    metrics_.count_dispatch(request->work.urgency);
    request->call->send(request->method, request->target, std::move(headers), request->body);
    watch_progress(request);
    auto head = co_await request->call->read_head();
    if (request->is_over()) {
        co_return attempt_end::stopped;
    }
    if (!head) {
        co_return end_of_broken_answer(*request, 0);
    }
    const auto metadata = protocol_->read_metadata(*head);
    record_notices(*request, head->status, metadata);
    const auto verdict = judge_answer(head->status, metadata, *request);
    if (verdict == answer_verdict::declines) {
        request->may_have_run = ran_before;
        co_return attempt_end::not_executed;
    }
    if (verdict != answer_verdict::answers) {
        metrics_.count_rejected_answer(to_string(verdict));
        telemetry::write(telemetry::log_line("answer_rejected")
                             .add("id", request->caller.name)
                             .add("why", to_string(verdict))
                             .add("answered", metadata.request_name)
                             .add("status", head->status)
                             .add("server", at.server_name)
                             .add("service", request->service));
        co_return attempt_end::failed;
    }
    if (is_event_stream(*head)) {
        co_return co_await forward_event_stream(request, with, std::move(*head));
    }
    co_return co_await forward_answer(request, with, std::move(*head));
}

bool entry_instance::is_repeatable(const relayed_request& request, attempt_end last) {
    if (request.is_over() || request.work.deadline - now() < min_attempt_time) {
        return false;
    }
    // Only a request that the server did not run, or that may run twice, may go to another server.
    const auto safe_to_repeat = last == attempt_end::not_executed || request.work.idempotent;
    const auto resumable =
        !request.response_started || (config::is_resumable(*request.route) && request.last_event);
    return safe_to_repeat && resumable && request.attempts < request.route->max_attempts;
}

bool entry_instance::may_retry(relayed_request& request, attempt_end last) {
    if (last == attempt_end::done || last == attempt_end::stopped) {
        return false;
    }
    if (last == attempt_end::not_connected) {
        return !request.is_over() && request.work.deadline - now() >= min_attempt_time &&
               request.unreachable < max_unreachable;
    }
    return is_repeatable(request, last) &&
           admission::acquire_retry(retries_, request.service, now());
}

asio::awaitable<void> entry_instance::conclude(request_ptr request, http::exchange& with,
                                               attempt_end last) {
    if (last == attempt_end::done || request->caller_gone) {
        co_return;
    }
    if (request->response_started) {
        with.abort();
        co_return;
    }
    http::reply out;
    if (request->kept_answer) {
        out = std::move(*request->kept_answer);
        request->status = out.status;
        request->bytes_sent = out.body.size();
        co_await with.respond(std::move(out));
        co_return;
    }
    const auto* refused =
        request->grant_result ? std::get_if<dispatch::refusal>(&*request->grant_result) : nullptr;
    if (request->may_have_run) {
        out = request->timed_out
                  ? make_refusal(status_gateway_timeout, "no answer in time", {}, random_)
                  : make_refusal(status_bad_gateway, "the server broke off", {}, random_);
    } else if (refused != nullptr) {
        const auto status =
            refused->why == reason::workspace_limit ? status_too_many : status_unavailable;
        out = make_refusal(status, std::string(to_string(refused->why)), refused->retry_after,
                           random_);
    } else {
        out =
            make_refusal(status_unavailable,
                         request->timed_out ? "no server was free in time" : "the servers are full",
                         request->server_backoff.value_or(duration{}), random_);
    }
    request->status = out.status;
    co_await with.respond(std::move(out));
}

} // namespace tarragonspar::gateway
