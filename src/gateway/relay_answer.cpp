// A server's answer on its way to the caller: held until it is whole, or passed on event by event.

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

/// Largest answer that is held until it is whole; what is longer is passed on as it comes.
constexpr std::size_t max_held_answer = 1024 * 1024;
/// Largest answer that is no event stream: many times what services answer, so that what is larger
/// has no end.
constexpr std::size_t max_answer = 64 * 1024 * 1024;
/// Largest single event: some thousand tokens are some tens of kilobytes.
constexpr std::size_t max_event = 1024 * 1024;

} // namespace

asio::awaitable<attempt_end> entry_instance::pass_answer(request_ptr request, http::exchange& with,
                                                         http::answer_head head) {
    if (request->begun) {
        co_return attempt_end::failed; // a stream can't go on with something else
    }
    std::string body;
    bool whole = false;
    while (!whole) {
        auto part = co_await request->call->read_body();
        if (request->is_over()) {
            co_return attempt_end::stopped;
        }
        if (part.broken) {
            if (request->begun) {
                with.abort();
                co_return attempt_end::stopped;
            }
            co_return attempt_end::failed;
        }
        whole = part.whole;
        body += part.bytes;
        if (request->bytes_out + body.size() > max_answer) {
            if (request->begun) {
                with.abort();
                co_return attempt_end::stopped;
            }
            co_return attempt_end::failed;
        }
        if (body.size() > max_held_answer || request->begun) {
            if (!request->begun) {
                request->begun = true;
                request->status = head.status;
                co_await with.begin_stream(head.status, {}, head.headers);
            }
            request->bytes_out += body.size();
            auto piece = std::exchange(body, {});
            co_await with.write(std::move(piece));
        }
    }
    if (request->begun) {
        co_await with.end_stream();
        co_return attempt_end::done;
    }
    const auto repeatable = head.status >= status_server_error && request->work.idempotent;
    if (repeatable && may_try_again(*request, attempt_end::failed)) {
        request->again = true;
        co_return attempt_end::failed;
    }
    request->status = head.status;
    request->bytes_out = body.size();
    http::reply out;
    out.status = head.status;
    out.content_type.clear();
    out.headers = std::move(head.headers);
    out.body = std::move(body);
    co_await with.respond(std::move(out));
    co_return attempt_end::done;
}

asio::awaitable<attempt_end> entry_instance::pass_events(request_ptr request, http::exchange& with,
                                                         http::answer_head head) {
    http::event_splitter splitter;
    while (true) {
        const auto part = co_await request->call->read_body();
        if (request->is_over()) {
            co_return attempt_end::stopped;
        }
        const auto events = splitter.take(part.bytes);
        if (!events.empty()) {
            const bool wanted = co_await forward_events(request, with, head, events);
            if (!wanted) {
                request->gone = true;
                co_return attempt_end::stopped;
            }
        }
        const auto is_no_event = splitter.unfinished() > max_event;
        if (part.broken || is_no_event || (part.whole && splitter.unfinished() > 0)) {
            co_return attempt_end::failed; // an event that was cut is dropped
        }
        if (part.whole) {
            break;
        }
    }
    if (!request->begun) {
        request->begun = true;
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
    if (request->first_event == time_point{}) {
        request->first_event = now();
        const dispatch::grant_news news{.id = request->work.id,
                                        .kind = dispatch::grant_news::what::first_token};
        link_->note(news);
    }
    std::string bytes;
    for (const auto& event : events) {
        if (event.has_data) {
            const auto moment = now();
            if (request->events > 0) {
                request->longest_pause =
                    std::max(request->longest_pause, moment - request->progressed);
            }
            request->progressed = moment;
        }
        const auto seen = event.id && request->last_event && *event.id <= *request->last_event;
        if (seen) {
            continue;
        }
        if (event.id) {
            request->last_event = event.id;
        }
        ++request->events;
        bytes += event.bytes;
    }
    if (!request->begun) {
        request->begun = true;
        request->status = head.status;
        auto headers = head.headers;
        const bool alive = co_await with.begin_stream(head.status, {}, std::move(headers));
        if (!alive) {
            co_return false;
        }
    }
    request->bytes_out += bytes.size();
    co_return co_await with.write(std::move(bytes));
}

} // namespace tarragonspar::gateway
