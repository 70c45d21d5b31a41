// Records how requests and their attempts ended: for the scheduler, the log and the metrics.

#include "tarragonspar/gateway/detail/replies.hpp"
#include "tarragonspar/gateway/entry_instance.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;
using runtime::now;
using namespace detail;

namespace {

/// Returns the shared parts of a prompt as hexadecimal keys; the last one is the request's own.
std::string shared_parts_text(const caller_request& from) {
    std::string text;
    for (std::size_t i = 0; i + 1 < from.parts.size(); ++i) {
        text += (i > 0 ? "," : "") + to_hex(from.parts[i].key);
    }
    return text.empty() ? "none" : text;
}

/// A software version that no server has.
constexpr software_id unlisted_software{1};

/// Returns what is known of the software version that a taken-up stream needs.
std::string_view take_up_text(const relayed_request& request) {
    const auto* refused = std::get_if<dispatch::refusal>(&*request.grant_result);
    if (refused != nullptr && refused->why == reason::version_unknown) {
        return "unknown";
    }
    if (refused != nullptr && refused->why == reason::no_server) {
        return "absent";
    }
    if (request.work.software != software_id{}) {
        return "known";
    }
    return refused != nullptr ? "refused" : request.work.several_versions ? "learned" : "only";
}

void log_server_lost(const relayed_request& request) {
    telemetry::write(telemetry::log_line("server_lost")
                         .add("id", request.caller.name)
                         .add("server", request.current_grant->server_name)
                         .add("address", request.current_grant->address)
                         .add("events", request.events)
                         .add("running_ms", to_milliseconds(now() - request.granted_at))
                         .add("fate", to_string(request.lost_server_fate))
                         .add("parts", shared_parts_text(request.caller))
                         .add("own_part", request.caller.parts.empty()
                                              ? "none"
                                              : to_hex(request.caller.parts.back().key)));
}

} // namespace

attempt_end entry_instance::end_of_broken_answer(const relayed_request& request, unsigned status) {
    metrics_.count_rejected_answer("broken");
    telemetry::write(telemetry::log_line("answer_broken")
                         .add("id", request.caller.name)
                         .add("why", request.call->failure())
                         .add("status", status)
                         .add("upload_incomplete", request.call->is_upload_incomplete() ? 1 : 0)
                         .add("server", request.current_grant->server_name)
                         .add("service", request.service));
    return request.call->was_lost() ? attempt_end::server_lost : attempt_end::failed;
}

asio::awaitable<void> entry_instance::check_lost_server(request_ptr request) {
    request->lost_server_fate = dispatch::server_fate::unknown;
    if (const auto address = settings::parse_endpoint(request->current_grant->address)) {
        request->lost_server_fate = co_await server_check_.check(*address);
    }
    log_server_lost(*request);
}

void entry_instance::record_take_up(relayed_request& request) {
    const auto version = take_up_text(request);
    metrics_.count_stream_taken_up(version);
    const auto* refused = std::get_if<dispatch::refusal>(&*request.grant_result);
    const auto* given = std::get_if<dispatch::grant>(&*request.grant_result);
    telemetry::write(telemetry::log_line("stream_taken_up")
                         .add("id", request.caller.name)
                         .add("resumes", request.caller.resumed_attempt.empty()
                                             ? "none"
                                             : request.caller.resumed_attempt)
                         .add("version", version)
                         .add("server", given != nullptr ? given->server_name : "none")
                         .add("why", refused != nullptr ? to_string(refused->why) : "none"));
    if (given != nullptr && given->software != software_id{}) {
        request.work.software = given->software;
    }
}

void entry_instance::record_first_event(relayed_request& request) {
    dispatch::grant_update update{.id = request.work.id,
                                  .kind = dispatch::grant_update::stage::first_token};
    if (request.work.stream != 0) {
        request.work.software = version_of(*request.current_grant);
    }
    if (request.work.stream != 0 && request.work.software != software_id{}) {
        const auto until = dispatch::take_up_end(request.work);
        link_->record_stream(
            {.stream = request.work.stream, .software = request.work.software, .until = until});
        update.stream = request.work.stream;
        update.software = request.work.software;
        update.take_up_time = until - now();
    }
    link_->record(update);
}

software_id entry_instance::version_of(const dispatch::grant& given) const {
    if (given.software != software_id{}) {
        return given.software;
    }
    // The leader may be of an earlier version. No other server may continue the stream of one whose
    // version is not known.
    const auto unknown = link_->has_versions() ? unlisted_software : software_id{};
    return link_->find_software(given.server).value_or(unknown);
}

void entry_instance::log_request_again(const relayed_request& request, std::string_view cause) {
    telemetry::write(telemetry::log_line("request_again")
                         .add("id", request.caller.name)
                         .add("server", request.current_grant->server_name)
                         .add("cause", cause)
                         .add("attempts", request.attempts));
}

void entry_instance::report_outcome(relayed_request& request, attempt_end end, bool server_fault) {
    dispatch::grant_update update{.id = request.work.id};
    update.kind = end == attempt_end::done ? dispatch::grant_update::stage::done
                                           : dispatch::grant_update::stage::failed;
    update.server_fault = server_fault || request.status >= status_server_error;
    if (end == attempt_end::done && update.server_fault) {
        update.kind = dispatch::grant_update::stage::failed;
    }
    update.server_lost = end == attempt_end::server_lost;
    update.fate = request.lost_server_fate;
    update.generated = {request.events * request.tokens_per_event};
    link_->record(update);
}

void entry_instance::record_finished(const relayed_request& request) {
    const auto ended = now();
    const auto since_arrival = [&](time_point moment) {
        return moment == time_point{} ? std::int64_t{-1}
                                      : to_milliseconds(moment - request.work.arrival);
    };
    const auto* refused =
        request.grant_result ? std::get_if<dispatch::refusal>(&*request.grant_result) : nullptr;
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
        request.granted_at == time_point{} ? duration{} : request.granted_at - request.work.arrival;
    summary.first_token = request.first_event_at == time_point{}
                              ? duration{}
                              : request.first_event_at - request.work.arrival;
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
            .add("why", refused != nullptr    ? to_string(refused->why)
                        : request.caller_gone ? "caller_gone"
                        : request.timed_out   ? "timed_out"
                                              : "none")
            .add("server", request.current_grant ? request.current_grant->server_name : "none")
            .add("granted_by", request.granted_at == time_point{} ? "none"
                               : request.granted_locally          ? "own"
                                                                  : "leader")
            .add("attempts", request.attempts)
            .add("unreachable", request.unreachable)
            .add("wait_ms", since_arrival(request.granted_at))
            .add("first_event_ms", since_arrival(request.first_event_at))
            .add("longest_pause_ms", to_milliseconds(request.longest_gap))
            .add("total_ms", to_milliseconds(ended - request.work.arrival))
            .add("objective_ms", since_arrival(request.work.objective))
            .add("allowed_ms", to_milliseconds(request.work.deadline - request.work.arrival))
            .add("prompt_tokens", request.work.prompt.value)
            .add("max_output", request.work.max_output.value)
            .add("expected_output", request.work.expected_output.value)
            .add("events", request.events)
            .add("bytes", static_cast<std::int64_t>(request.bytes_sent))
            .add("revision", static_cast<std::int64_t>(request.catalogue->value().number.value)));
}

} // namespace tarragonspar::gateway
