// One caller's request, from its arrival to its end.

#include <algorithm>

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

/// Servers out of reach after which a request is given up.
constexpr std::uint32_t max_unreachable = 6;
/// Part of a caller's patience after which a quiet stream is continued at another server: what is
/// left of it is enough for that one's first event.
constexpr int quiet_parts = 2;
/// Time that must be left for another attempt to make sense.
constexpr duration min_attempt_time = std::chrono::milliseconds{50};
bool is_event_stream(const http::answer_head& head) {
    return head.status == status_ok && head.header("Content-Type").starts_with("text/event-stream");
}

} // namespace

void entry_instance::watch(const request_ptr& request, http::exchange& with) {
    with.when_gone([request] {
        request->gone = true;
        if (request->call) {
            request->call->close();
        }
        request->wake.cancel();
    });
    limit_time(request);
}

void entry_instance::limit_time(const request_ptr& request) {
    const auto deadline = request->work.deadline;
    // An answer that is being passed on may still end by itself.
    const auto until = request->begun ? deadline : std::min(deadline, must_end_);
    request->limit.expires_after(until - now());
    request->limit.async_wait([this, request](boost::system::error_code error) {
        if (error) {
            return;
        }
        if (request->begun && now() < request->work.deadline) {
            limit_time(request);
            return;
        }
        request->timed_out = true;
        if (request->call) {
            request->call->close();
        }
        request->wake.cancel();
    });
}

// Progress is events, not bytes: a stalled server may go on sending bytes, and a sound one may
// pause for as long as callers wait.
void entry_instance::watch_progress(const request_ptr& request) {
    if (request->route->kind != config::request_kind::streaming) {
        return; // has no progress before its end; its deadline bounds it
    }
    const auto patience = config::caller_patience(*request->route);
    const auto may_go_on =
        request->work.idempotent && request->attempts < request->route->max_attempts;
    request->max_quiet = may_go_on ? patience / quiet_parts : patience;
    request->progressed = now();
    await_progress(request);
}

void entry_instance::await_progress(const request_ptr& request) {
    request->quiet.expires_after(request->progressed + request->max_quiet - now());
    request->quiet.async_wait([request](boost::system::error_code error) {
        if (error || !request->call) {
            return;
        }
        if (now() - request->progressed < request->max_quiet) {
            await_progress(request);
            return;
        }
        telemetry::write(telemetry::log_line("server_quiet")
                             .add("id", request->caller.name)
                             .add("server", request->running_at->server_name)
                             .add("events", request->events)
                             .add("quiet_ms", to_milliseconds(request->max_quiet)));
        request->call->close();
    });
}

void entry_instance::take_notices(relayed_request& request, const answer_marks& marks) {
    dispatch::server_notice notice{
        .server = request.running_at->server, .holder = settings_.id, .pause = std::nullopt};
    if (marks.server_leaves) {
        link_->note(notice);
    }
    request.server_pause = marks.wanted_pause;
    if (marks.wanted_pause) {
        notice.pause = marks.wanted_pause;
        link_->note(notice);
    }
}

asio::awaitable<void> entry_instance::handle(http::exchange& with) {
    const auto arrival = now();
    if (!knows_enough()) {
        // All that wait are woken when enough is known; at the latest when the timer expires.
        co_await know_enough_.async_wait(http::detail::as_result);
    }
    http::reply refused;
    request_ptr request;
    if (now() < last_taken_) {
        request = admit(with.request(), arrival, refused);
    } else {
        refused = make_refusal(status_unavailable, "this instance stops", {}, random_);
    }
    if (!request) {
        telemetry::write(telemetry::log_line("request_rejected")
                             .add("status", refused.status)
                             .add("why", refused.body));
        co_await with.respond(std::move(refused));
        co_return;
    }
    ++open_count_;
    open_.emplace(request->work.id.sequence, request);
    admission::note_first(repeats_, request->service, now());
    watch(request, with);
    co_await relay(request, with);
    request->limit.cancel();
    open_.erase(request->work.id.sequence);
    --open_count_;
    note_finished(*request);
}

asio::awaitable<void> entry_instance::relay(request_ptr request, http::exchange& with) {
    auto earlier = dispatch::earlier_grant::none;
    auto last = attempt_end::not_connected;
    while (true) {
        const bool granted = co_await wait_for_grant(request, earlier);
        if (!granted) {
            break;
        }
        last = co_await attempt(request, with);
        request->quiet.cancel();
        if (request->call) {
            request->call->close();
            request->call.reset();
        }
        const auto again = request->again || may_try_again(*request, last);
        request->again = false;
        const auto fault = last == attempt_end::not_connected ||
                           last == attempt_end::not_executed || last == attempt_end::failed;
        if (!again) {
            tell_desk(*request, last, fault);
            break;
        }
        earlier = last == attempt_end::not_connected ? dispatch::earlier_grant::not_connected
                                                     : dispatch::earlier_grant::server_failed;
        if (last != attempt_end::not_connected) {
            request->work.avoid.push_back(request->running_at->server);
        }
        telemetry::write(telemetry::log_line("request_again")
                             .add("id", request->caller.name)
                             .add("server", request->running_at->server_name)
                             .add("cause", last == attempt_end::not_connected  ? "not_connected"
                                           : last == attempt_end::not_executed ? "not_executed"
                                                                               : "failed")
                             .add("attempts", request->attempts));
        request->running_at.reset();
    }
    co_await conclude(request, with, last);
}

asio::awaitable<bool> entry_instance::wait_for_grant(request_ptr request,
                                                     dispatch::earlier_grant earlier) {
    request->verdict.reset();
    link_->ask(request->work, earlier, [request](dispatch::verdict what) {
        request->verdict = std::move(what);
        request->wake.cancel();
    });
    while (!request->verdict && !request->is_over()) {
        request->wake.expires_at(asio::steady_timer::time_point::max());
        co_await request->wake.async_wait(http::detail::as_result);
    }
    if (request->is_over()) {
        link_->note({.id = request->work.id, .kind = dispatch::grant_news::what::withdrawn});
        co_return false;
    }
    const auto* given = std::get_if<dispatch::grant>(&*request->verdict);
    if (given == nullptr) {
        co_return false;
    }
    request->running_at = *given;
    request->granted = now();
    request->granted_alone = !link_->has_leader();
    co_return true;
}

asio::awaitable<attempt_end> entry_instance::attempt(request_ptr request, http::exchange& with) {
    const auto& at = *request->running_at;
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
    const auto left = request->work.deadline - now();
    dispatch_terms terms;
    terms.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(left);
    terms.server_name = at.server_name;
    terms.workspace = request->workspace;
    terms.resume_after = request->last_event ? request->last_event : request->caller.resume_after;
    auto headers = speaks_->server_headers(request->caller, terms);
    ++request->attempts;
    if (request->attempts == 1) {
        used_.add(request->work.workspace, request->work.quota_units, now());
    }
    const auto ran_before = request->may_have_run;
    request->may_have_run = true;
    metrics_.count_dispatch(request->work.urgency);
    request->call->send(request->method, request->target, std::move(headers), request->body);
    watch_progress(request);
    auto head = co_await request->call->read_head();
    if (request->is_over()) {
        co_return attempt_end::stopped;
    }
    if (!head) {
        co_return attempt_end::failed;
    }
    const auto marks = speaks_->read_marks(*head);
    take_notices(*request, marks);
    // A refusal of another request says nothing about this one.
    const auto is_foreign =
        !marks.request_name.empty() && marks.request_name != request->caller.name;
    if (!is_foreign && (marks.not_executed || head->status == status_misdirected)) {
        request->may_have_run = ran_before;
        co_return attempt_end::not_executed;
    }
    if (marks.request_name != request->caller.name) {
        telemetry::write(telemetry::log_line("answer_of_another_request")
                             .add("id", request->caller.name)
                             .add("answered", marks.request_name)
                             .add("server", at.server_name));
        co_return attempt_end::failed;
    }
    if (is_event_stream(*head)) {
        co_return co_await pass_events(request, with, std::move(*head));
    }
    co_return co_await pass_answer(request, with, std::move(*head));
}

bool entry_instance::may_try_again(relayed_request& request, attempt_end last) {
    if (request.is_over() || last == attempt_end::done || last == attempt_end::stopped) {
        return false;
    }
    if (request.work.deadline - now() < min_attempt_time) {
        return false;
    }
    if (last == attempt_end::not_connected) {
        return request.unreachable < max_unreachable;
    }
    // Only what the server did not run, or what may run twice, may go to another one. A stream that
    // has begun goes on only where it may be resumed.
    const auto harmless = last == attempt_end::not_executed || request.work.idempotent;
    const auto resumable = !request.begun || (request.work.idempotent && request.last_event);
    if (!harmless || !resumable || request.attempts >= request.route->max_attempts) {
        return false;
    }
    return admission::try_repeat(repeats_, request.service, now());
}

void entry_instance::tell_desk(relayed_request& request, attempt_end how, bool server_fault) {
    dispatch::grant_news news{.id = request.work.id};
    news.kind = how == attempt_end::done ? dispatch::grant_news::what::done
                                         : dispatch::grant_news::what::failed;
    news.server_fault = server_fault || request.status >= status_server_error;
    if (how == attempt_end::done && news.server_fault) {
        news.kind = dispatch::grant_news::what::failed;
    }
    news.generated = {request.events * request.tokens_per_event};
    link_->note(news);
}

asio::awaitable<void> entry_instance::conclude(request_ptr request, http::exchange& with,
                                               attempt_end last) {
    if (last == attempt_end::done || request->gone) {
        co_return;
    }
    if (request->begun) {
        with.abort();
        co_return;
    }
    http::reply out;
    const auto* refused =
        request->verdict ? std::get_if<dispatch::refusal>(&*request->verdict) : nullptr;
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
                         request->server_pause.value_or(duration{}), random_);
    }
    request->status = out.status;
    co_await with.respond(std::move(out));
}

void entry_instance::note_finished(const relayed_request& request) {
    const auto ended = now();
    const auto since_arrival = [&](time_point moment) {
        return moment == time_point{} ? std::int64_t{-1}
                                      : to_milliseconds(moment - request.work.arrival);
    };
    const auto* refused =
        request.verdict ? std::get_if<dispatch::refusal>(&*request.verdict) : nullptr;
    telemetry::request_summary summary;
    summary.urgency = request.work.urgency;
    summary.workspace = request.workspace;
    summary.kind = request.caller.parts.empty() ? "service" : "engine";
    const auto served = request.status >= status_ok && request.status < 300;
    summary.result = served                 ? outcome::answered
                     : request.may_have_run ? outcome::unknown
                                            : outcome::not_executed;
    summary.why = refused != nullptr ? refused->why : reason::none;
    summary.in_time = served && ended <= request.work.deadline;
    summary.queue_wait =
        request.granted == time_point{} ? duration{} : request.granted - request.work.arrival;
    summary.first_token = request.first_event == time_point{}
                              ? duration{}
                              : request.first_event - request.work.arrival;
    summary.total = ended - request.work.arrival;
    summary.generated = request.events * request.tokens_per_event;
    metrics_.record(summary);
    telemetry::write(
        telemetry::log_line("request")
            .add("id", request.caller.name)
            .add("route", request.route->name)
            .add("service", request.service)
            .add("workspace", request.workspace.empty() ? "none" : request.workspace)
            .add("tier", request.work.urgency.value)
            .add("rank", request.work.rank.value)
            .add("status", request.status)
            .add("why", refused != nullptr  ? to_string(refused->why)
                        : request.gone      ? "caller_gone"
                        : request.timed_out ? "timed_out"
                                            : "none")
            .add("server", request.running_at ? request.running_at->server_name : "none")
            .add("granted_by", request.granted == time_point{} ? "none"
                               : request.granted_alone         ? "own"
                                                               : "leader")
            .add("attempts", request.attempts)
            .add("unreachable", request.unreachable)
            .add("wait_ms", since_arrival(request.granted))
            .add("first_event_ms", since_arrival(request.first_event))
            .add("longest_pause_ms", to_milliseconds(request.longest_pause))
            .add("total_ms", to_milliseconds(ended - request.work.arrival))
            .add("objective_ms", since_arrival(request.work.objective))
            .add("allowed_ms", to_milliseconds(request.work.deadline - request.work.arrival))
            .add("prompt_tokens", request.work.prompt.value)
            .add("max_output", request.work.max_output.value)
            .add("expected_output", request.work.expected_output.value)
            .add("events", request.events)
            .add("bytes", static_cast<std::int64_t>(request.bytes_out))
            .add("revision", static_cast<std::int64_t>(request.catalogue->value().number.value)));
}

} // namespace tarragonspar::gateway
