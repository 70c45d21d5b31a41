// Watches the progress of event streams and moves the requests of quiet servers to other ones.

#include <algorithm>
#include <utility>

#include "tarragonspar/gateway/entry_instance.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

using runtime::now;

namespace {

/// Divides the time that callers wait for an event. For a resumable stream that stalls for the
/// quotient, another server is asked for; the rest of the time is enough for its first event.
constexpr int failover_divisor = 2;
/// Time beyond that which callers wait for an event after which a stream is aborted. Callers that
/// abandon it have left by then, also over slow links, and are not cut off while they still wait.
constexpr duration departure_time = std::chrono::milliseconds{500};

std::string_view why_refused(const dispatch::grant_result& result) {
    const auto* refused = std::get_if<dispatch::refusal>(&result);
    return refused != nullptr ? to_string(refused->why) : "none";
}

} // namespace

// Progress is measured in events, not bytes: a stalled server may still send bytes, and a healthy
// one may send no event for as long as callers wait.
void entry_instance::watch_progress(const request_ptr& request) {
    if (request->route->kind != config::request_kind::streaming) {
        return; // makes no visible progress before its end; its deadline bounds it
    }
    const duration callers_wait = config::caller_stall_timeout(*request->route);
    request->failover_after = callers_wait / failover_divisor;
    request->stall_timeout = callers_wait + departure_time;
    request->last_progress = now();
    request->failover_asked_in.reset();
    await_progress(request);
}

void entry_instance::await_progress(const request_ptr& request) {
    const auto asked = request->failover_asked_in == request->last_progress;
    const auto next = asked ? request->stall_timeout : request->failover_after;
    request->stall_timer.expires_after(request->last_progress + next - now());
    request->stall_timer.async_wait([this, request](boost::system::error_code error) {
        if (!error && request->call) {
            check_progress(request);
        }
    });
}

void entry_instance::check_progress(const request_ptr& request) {
    const auto quiet = now() - request->last_progress;
    if (quiet >= request->stall_timeout) {
        log_quiet(*request, "server_quiet");
        request->call->close();
        return;
    }
    const auto asked = request->failover_asked_in == request->last_progress;
    if (quiet >= request->failover_after && !asked) {
        request->failover_asked_in = request->last_progress;
        request_failover(request);
    }
    await_progress(request);
}

void entry_instance::request_failover(const request_ptr& request) {
    if (request->failover_id || !is_repeatable(*request, attempt_end::failed) ||
        !admission::acquire_retry(retries_, request->service, now())) {
        return;
    }
    log_quiet(*request, "server_quiet");
    request->failover_retry_at = now();
    auto work = request->work;
    // A request of its own for the scheduler, which goes on counting the one that runs.
    work.id.sequence = ++next_sequence_;
    work.quota_units = 0;
    work.repeated = true;
    work.avoid.push_back(request->current_grant->server);
    request->failover_id = work.id;
    link_->ask(work, dispatch::previous_grant::none, dispatch::server_fate::unknown,
               [this, request](const dispatch::grant_result& result) {
                   on_failover_result(request, result);
               });
}

void entry_instance::on_failover_result(const request_ptr& request,
                                        const dispatch::grant_result& result) {
    const auto* given = std::get_if<dispatch::grant>(&result);
    const auto still_quiet = request->call && !request->is_over() &&
                             now() - request->last_progress >= request->failover_after;
    // The one server of a service, or of a software version, is granted although it is avoided.
    const auto is_other = given != nullptr && given->server != request->current_grant->server;
    if (is_other && still_quiet) {
        request->failover_grant = *given;
        request->call->close();
        return;
    }
    if (given != nullptr) {
        withdraw_failover(*request);
        return;
    }
    request->failover_id.reset();
    admission::return_retry(retries_, request->service, request->failover_retry_at);
    telemetry::write(telemetry::log_line("quiet_server_kept")
                         .add("id", request->caller.name)
                         .add("server", request->current_grant->server_name)
                         .add("why", why_refused(result))
                         .add("quiet_ms", to_milliseconds(now() - request->last_progress)));
}

void entry_instance::withdraw_failover(relayed_request& request) {
    link_->record({.id = *request.failover_id, .kind = dispatch::grant_update::stage::withdrawn});
    request.failover_id.reset();
    request.failover_grant.reset();
    admission::return_retry(retries_, request.service, request.failover_retry_at);
}

bool entry_instance::fail_over(const request_ptr& request, attempt_end last) {
    if (!request->failover_id) {
        return false;
    }
    const auto given = request->failover_grant;
    // The server may have sent events after the other one was asked for.
    const auto fits = given && (request->work.software == software_id{} ||
                                request->work.software == version_of(*given));
    if (!fits || last != attempt_end::failed || !is_repeatable(*request, last)) {
        withdraw_failover(*request);
        return false;
    }
    if (std::exchange(request->retry_allowed, false)) {
        admission::return_retry(retries_, request->service, now());
    }
    log_request_again(*request, "server_quiet");
    link_->record({.id = request->work.id,
                   .kind = dispatch::grant_update::stage::failed,
                   .server_fault = true});
    request->work.avoid.push_back(request->current_grant->server);
    open_requests_.erase(request->work.id.sequence);
    request->work.id = *request->failover_id;
    open_requests_.emplace(request->work.id.sequence, request);
    request->current_grant = given;
    request->granted_at = now();
    request->granted_locally = !link_->has_leader();
    request->failover_id.reset();
    request->failover_grant.reset();
    return true;
}

void entry_instance::log_quiet(const relayed_request& request, std::string_view event) {
    telemetry::write(telemetry::log_line(event)
                         .add("id", request.caller.name)
                         .add("server", request.current_grant->server_name)
                         .add("events", request.events)
                         .add("quiet_ms", to_milliseconds(now() - request.last_progress)));
}

} // namespace tarragonspar::gateway
