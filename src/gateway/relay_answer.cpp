// Forwards a server's answer to the caller, buffered until it is complete or event by event.

#include <algorithm>
#include <utility>

#include "tarragonspar/gateway/detail/replies.hpp"
#include "tarragonspar/gateway/entry_instance.hpp"
#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;
using runtime::now;
using namespace detail;

namespace {

/// Largest answer that is buffered until it is complete; a larger one is forwarded as it arrives.
/// It is less while many answers are buffered, see `http::buffer_budget`.
constexpr std::size_t max_buffered_answer = 1024 * 1024;
/// Largest answer that is no event stream. It is many times the size of what services send, so a
/// larger answer is taken to be endless.
constexpr std::size_t max_answer = 64 * 1024 * 1024;
/// Largest answer with an error that is kept while another server is tried. Services send some
/// hundred bytes; a larger answer is passed on at once.
constexpr std::size_t max_kept_answer = 16 * 1024;
/// Largest single event; some thousand tokens take some tens of kilobytes. It is less while many
/// answers are buffered.
constexpr std::size_t max_event = 1024 * 1024;

/// Events of one server that may continue a stream.
struct continued_stream {
    std::optional<std::uint64_t> after;  ///< last event that the caller had received before
    std::optional<std::uint64_t> newest; ///< last event of this server
};

/// Records the events of a server. Returns whether they can be placed in the stream: without an id,
/// data in a continued stream may be a repetition or an error.
bool accept_events(continued_stream& target, const std::vector<http::stream_event>& events) {
    for (const auto& event : events) {
        if (target.after && event.has_data && !event.id) {
            return false;
        }
        target.newest = std::max(target.newest, event.id);
    }
    return true;
}

/// Whether a server ended a stream before the event after which it should have continued it.
bool ends_early(const continued_stream& stream) {
    return stream.after && stream.newest && *stream.newest < *stream.after;
}

} // namespace

asio::awaitable<attempt_end>
entry_instance::forward_answer(request_ptr request, http::exchange& with, http::answer_head head) {
    if (request->response_started) {
        co_return attempt_end::failed; // a started stream can only be continued by a stream
    }
    std::string body;
    http::buffered_bytes held(answer_buffers_);
    bool complete = false;
    while (!complete) {
        auto part = co_await request->call->read_body();
        if (request->is_over()) {
            co_return attempt_end::stopped;
        }
        if (part.broken) {
            if (request->response_started) {
                with.abort();
                co_return attempt_end::stopped;
            }
            co_return end_of_broken_answer(*request, head.status);
        }
        complete = part.complete;
        body += part.bytes;
        if (request->bytes_sent + body.size() > max_answer) {
            if (request->response_started) {
                with.abort();
                co_return attempt_end::stopped;
            }
            co_return attempt_end::failed;
        }
        held.set(body.size());
        if (held.is_excessive(max_buffered_answer) || request->response_started) {
            if (!request->response_started) {
                request->response_started = true;
                request->status = head.status;
                co_await with.begin_stream(head.status, {}, head.headers);
            }
            request->bytes_sent += body.size();
            auto piece = std::exchange(body, {});
            co_await with.write(std::move(piece));
            held.set(0);
        }
    }
    if (request->response_started) {
        co_await with.end_stream();
        co_return attempt_end::done;
    }
    http::reply out;
    out.status = head.status;
    out.content_type.clear();
    out.headers = std::move(head.headers);
    out.body = std::move(body);
    const auto repeatable = out.status >= status_server_error && request->work.idempotent &&
                            out.body.size() <= max_kept_answer;
    if (repeatable && may_retry(*request, attempt_end::failed)) {
        request->retry_allowed = true;
        request->kept_answer = std::move(out);
        co_return attempt_end::failed;
    }
    request->status = out.status;
    request->bytes_sent = out.body.size();
    co_await with.respond(std::move(out));
    co_return attempt_end::done;
}

asio::awaitable<attempt_end> entry_instance::forward_event_stream(request_ptr request,
                                                                  http::exchange& with,
                                                                  http::answer_head head) {
    http::event_splitter splitter;
    http::buffered_bytes held(answer_buffers_);
    continued_stream progress{.after = request->last_event, .newest = {}};
    bool has_events = false;
    while (true) {
        const auto part = co_await request->call->read_body();
        if (request->is_over()) {
            co_return attempt_end::stopped;
        }
        const auto events = splitter.append(part.bytes);
        if (!accept_events(progress, events) || (part.complete && ends_early(progress))) {
            co_return attempt_end::failed;
        }
        if (!events.empty()) {
            const bool alive = co_await forward_events(request, with, head, events);
            if (!alive) {
                request->caller_gone = true;
                co_return attempt_end::stopped;
            }
        }
        held.set(splitter.unfinished());
        const auto is_oversized = held.is_excessive(max_event);
        has_events = has_events || !events.empty();
        if (part.broken) {
            co_return end_of_broken_answer(*request, head.status); // an incomplete event is dropped
        }
        // Every stream has an event; without a length only that tells a complete one from a crash.
        const auto is_empty = !has_events && !progress.after;
        if (part.complete && is_empty && request->call->ends_with_connection()) {
            co_return attempt_end::server_lost;
        }
        if (part.complete && splitter.unfinished() > 0) {
            co_return request->call->ends_with_connection() ? attempt_end::server_lost
                                                            : attempt_end::failed;
        }
        if (is_oversized) {
            co_return attempt_end::failed;
        }
        if (part.complete) {
            break;
        }
    }
    if (!request->response_started) {
        request->response_started = true;
        request->status = head.status;
        co_await with.begin_stream(head.status, {}, std::move(head.headers));
    }
    co_await with.end_stream();
    co_return attempt_end::done;
}

asio::awaitable<bool>
entry_instance::forward_events(request_ptr request, http::exchange& with,
                               const http::answer_head& head,
                               const std::vector<http::stream_event>& events) {
    if (request->first_event_at == time_point{}) {
        request->first_event_at = now();
        record_first_event(*request);
    }
    std::string bytes;
    for (const auto& event : events) {
        if (event.has_data) {
            const auto moment = now();
            if (request->events > 0) {
                request->longest_gap =
                    std::max(request->longest_gap, moment - request->last_progress);
            }
            request->last_progress = moment;
        }
        const auto already_sent =
            event.id && request->last_event && *event.id <= *request->last_event;
        if (already_sent) {
            continue;
        }
        if (event.id) {
            request->last_event = event.id;
        }
        ++request->events;
        bytes += event.bytes;
    }
    if (!request->response_started) {
        request->response_started = true;
        request->status = head.status;
        auto headers = head.headers;
        const bool alive = co_await with.begin_stream(head.status, {}, std::move(headers));
        if (!alive) {
            co_return false;
        }
    }
    request->bytes_sent += bytes.size();
    co_return co_await with.write(std::move(bytes));
}

} // namespace tarragonspar::gateway
