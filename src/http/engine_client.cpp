#include "tarragonspar/http/engine_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "tarragonspar/http/backend_call.hpp"
#include "tarragonspar/http/detail/engine_stream.hpp"
#include "tarragonspar/http/exchange.hpp"

namespace tarragonspar::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using dispatch::answer_event;
using dispatch::answer_finished;
using dispatch::answer_piece;
using dispatch::answer_started;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Maximum size of one read from a stream.
constexpr std::size_t read_bytes = 8 * 1024;

/// Bytes that the parser may leave buffered in addition to one read. Bounds what is not part of the
/// body, such as chunk extensions, which has no other limit.
constexpr std::size_t max_unread_bytes = 64 * 1024;

/// Maximum size of the body of a rejection that is relayed.
constexpr std::size_t max_rejection_bytes = 64 * 1024;

/// Maximum number of interim responses before the final one.
constexpr int max_interim_responses = 8;

/// Name of the header that carries the request id.
constexpr const char* id_header = "Tarragon-Request-Id";

std::optional<tcp::endpoint> resolve(const std::string& address) {
    const auto parsed = settings::parse_endpoint(address);
    if (!parsed) {
        return std::nullopt;
    }
    beast::error_code error;
    const auto ip = asio::ip::make_address(parsed->address, error);
    if (error) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, parsed->port);
}

asio::awaitable<bool> connect(beast::tcp_stream& stream, const std::string& address,
                              std::chrono::milliseconds timeout) {
    const auto endpoint = resolve(address);
    if (!endpoint) {
        co_return false;
    }
    stream.expires_after(timeout);
    const auto [error] = co_await stream.async_connect(*endpoint, as_result);
    if (error) {
        co_return false;
    }
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return true;
}

/// Reads the head of the final response; interim responses are skipped.
/// @param limit  maximum size of its body; nothing: unlimited
/// @return null if the connection is lost or the bytes are not valid HTTP
template <class Body>
asio::awaitable<std::unique_ptr<beast_http::response_parser<Body>>>
read_final_head(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                boost::optional<std::uint64_t> limit) {
    constexpr unsigned first_final = 200;
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        auto parser = std::make_unique<beast_http::response_parser<Body>>();
        parser->body_limit(limit);
        const auto [error, size] =
            co_await beast_http::async_read_header(stream, buffer, *parser, as_result);
        if (error) {
            co_return nullptr;
        }
        if (parser->get().result_int() >= first_final) {
            co_return has_unknown_coding(parser->get()) ? nullptr : std::move(parser);
        }
    }
    co_return nullptr;
}

request_message make_message(const upstream_request& request) {
    const auto verb = beast_http::string_to_verb(request.call.method);
    request_message message{verb, request.call.target, 11};
    if (verb == beast_http::verb::unknown) {
        message.method_string(request.call.method);
    }
    message.set(beast_http::field::host, request.address);
    message.set(id_header, to_string(request.id));
    if (!request.call.content_type.empty()) {
        message.set(beast_http::field::content_type, request.call.content_type);
    }
    message.keep_alive(false);
    message.body() = request.call.body;
    message.prepare_payload();
    return message;
}

/// How reading one engine stream ended.
enum class stream_end : std::uint8_t {
    done,      ///< the final event or a complete response that is not a stream was delivered
    broken,    ///< the stream must be resumed
    abandoned, ///< the answer is no longer needed
    unknown_id ///< the server does not know the request
};

/// State of one answer across the connections that carry it.
struct answer_reader {
    const engine_client_options& options;
    const upstream_request& request;
    const upstream_callbacks& callbacks;
    detail::answer_assembler assembler;
    bool started{false};
    token_count cached{};

    asio::awaitable<bool> deliver_start(unsigned status, std::string content_type) {
        if (started) {
            co_return true;
        }
        started = true;
        answer_event event{answer_started{.server = request.server,
                                          .status = status,
                                          .content_type = std::move(content_type),
                                          .cached = cached}};
        co_return co_await callbacks.deliver(std::move(event));
    }

    /// Delivers one event; returns how the stream ended if the event ends it.
    asio::awaitable<std::optional<stream_end>> handle_event(detail::engine_event event) {
        switch (assembler.accept(event)) {
        case detail::answer_assembler::disposition::duplicate:
        case detail::answer_assembler::disposition::foreign:
            co_return std::nullopt;
        case detail::answer_assembler::disposition::gap:
            co_return stream_end::broken;
        case detail::answer_assembler::disposition::use:
            break;
        }
        if (event.has_cached) {
            cached = event.cached;
        }
        const bool start_delivered = co_await deliver_start(200, "text/event-stream");
        if (!start_delivered) {
            co_return stream_end::abandoned;
        }
        if (event.done) {
            const auto generated = static_cast<std::uint32_t>(assembler.offset());
            answer_event last{answer_finished{.result = outcome::answered,
                                              .finish_reason = event.finish_reason,
                                              .prompt = event.prompt,
                                              .generated = {generated},
                                              .cached = cached}};
            co_await callbacks.deliver(std::move(last));
            co_return stream_end::done;
        }
        answer_event piece{answer_piece{
            .offset = event.offset, .tokens = event.tokens, .text = std::move(event.text)}};
        const bool delivered = co_await callbacks.deliver(std::move(piece));
        if (!delivered) {
            co_return stream_end::abandoned;
        }
        co_return std::nullopt;
    }

    /// Reads server-sent events until the stream ends.
    asio::awaitable<stream_end>
    read_events(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                beast_http::response_parser<beast_http::buffer_body>& parser) {
        detail::event_splitter events;
        std::array<char, read_bytes> bytes{};
        auto last_event_at = std::chrono::steady_clock::now();
        while (!parser.is_done()) {
            parser.get().body().data = bytes.data();
            parser.get().body().size = bytes.size();
            stream.expires_after(options.read_timeout);
            const auto [error, size] =
                co_await beast_http::async_read_some(stream, buffer, parser, as_result);
            if (error && error != beast_http::error::need_buffer) {
                co_return stream_end::broken;
            }
            events.append({bytes.data(), bytes.size() - parser.get().body().size});
            if (events.unfinished() > options.max_event_bytes ||
                std::chrono::steady_clock::now() - last_event_at > options.stall_timeout) {
                co_return stream_end::broken;
            }
            while (auto data = events.next()) {
                last_event_at = std::chrono::steady_clock::now();
                auto event = detail::parse_engine_event(*data);
                if (!event) {
                    co_return stream_end::broken;
                }
                const auto end = co_await handle_event(std::move(*event));
                if (end) {
                    co_return *end;
                }
            }
        }
        co_return stream_end::broken;
    }

    /// Reads the response to a dispatch or a resumption.
    asio::awaitable<stream_end> read_response(beast::tcp_stream& stream, bool resuming) {
        beast::flat_buffer buffer(max_unread_bytes + read_bytes);
        stream.expires_after(options.read_timeout);
        const auto parser =
            co_await read_final_head<beast_http::buffer_body>(stream, buffer, boost::none);
        if (!parser) {
            co_return stream_end::broken;
        }
        const auto status = parser->get().result_int();
        if (status == 200) {
            co_return co_await read_events(stream, buffer, *parser);
        }
        if (resuming) {
            co_return status == 404 ? stream_end::unknown_id : stream_end::broken;
        }
        co_return co_await relay_rejection(stream, buffer, *parser, status);
    }

    /// Relays a client error (4xx) of an engine, such as for a malformed body.
    asio::awaitable<stream_end>
    relay_rejection(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                    beast_http::response_parser<beast_http::buffer_body>& parser, unsigned status) {
        if (status < 400 || status >= 500) {
            co_return stream_end::unknown_id;
        }
        std::string body(max_rejection_bytes, '\0');
        parser.get().body().data = body.data();
        parser.get().body().size = body.size();
        const auto [error, size] =
            co_await beast_http::async_read(stream, buffer, parser, as_result);
        if (error) {
            co_return stream_end::unknown_id;
        }
        body.resize(body.size() - parser.get().body().size);
        const bool delivered = co_await deliver_start(status, "application/json");
        if (!delivered) {
            co_return stream_end::abandoned;
        }
        const auto length = static_cast<std::uint32_t>(body.size());
        answer_event piece{answer_piece{.offset = 0, .tokens = length, .text = std::move(body)}};
        co_await callbacks.deliver(std::move(piece));
        answer_event last{answer_finished{.result = outcome::answered}};
        co_await callbacks.deliver(std::move(last));
        co_return stream_end::done;
    }
};

/// Makes `request.control` interrupt the current operation of the stream.
void arm_interrupt(const upstream_request& request,
                   const std::shared_ptr<beast::tcp_stream>& stream) {
    if (!request.control) {
        return;
    }
    request.control->set_interrupt([weak_stream = std::weak_ptr(stream)] {
        const auto locked = weak_stream.lock();
        if (locked) {
            asio::post(locked->get_executor(), [locked] { locked->cancel(); });
        }
    });
}

void disarm_interrupt(const upstream_request& request) {
    if (request.control) {
        request.control->set_interrupt({});
    }
}

bool is_cancelled(const upstream_request& request) {
    return request.control && request.control->cancelled();
}

asio::awaitable<void> sleep_for(std::chrono::milliseconds length) {
    asio::steady_timer timer(co_await asio::this_coro::executor, length);
    co_await timer.async_wait(as_result);
}

/// Opens a new connection and resumes the stream on it.
asio::awaitable<stream_end> resume_once(answer_reader& reader) {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const auto& request = reader.request;
    if (!co_await connect(stream, request.address, reader.options.connect_timeout)) {
        co_return stream_end::broken;
    }
    request_message message{beast_http::verb::get,
                            "/v1/streams/" + to_string(request.id) +
                                "?offset=" + std::to_string(reader.assembler.offset()),
                            11};
    message.set(beast_http::field::host, request.address);
    message.keep_alive(false);
    stream.expires_after(reader.options.read_timeout);
    const auto [error, size] = co_await beast_http::async_write(stream, message, as_result);
    if (error) {
        co_return stream_end::broken;
    }
    co_return co_await reader.read_response(stream, true);
}

asio::awaitable<void> report_unknown(const upstream_callbacks& callbacks, reason why) {
    answer_event last{answer_finished{.result = outcome::unknown, .why = why}};
    co_await callbacks.deliver(std::move(last));
}

asio::awaitable<void> cancel_at_server(const engine_client_options& options,
                                       const upstream_request& request) {
    co_await fetch(options, request.address, "DELETE", "/v1/streams/" + to_string(request.id));
}

/// Resumes until the answer is complete, cancelled, unknown to the server, or the attempts are used
/// up.
asio::awaitable<void> finish_by_resuming(answer_reader& reader, stream_end end) {
    int attempts = 0;
    while (true) {
        if (end == stream_end::done) {
            co_return;
        }
        if (end == stream_end::abandoned || is_cancelled(reader.request)) {
            co_await cancel_at_server(reader.options, reader.request);
            co_await report_unknown(reader.callbacks, reason::caller_gone);
            co_return;
        }
        if (end == stream_end::unknown_id || attempts >= reader.options.max_resumptions) {
            co_await report_unknown(reader.callbacks, reason::server_lost);
            co_return;
        }
        const auto previous_offset = reader.assembler.offset();
        if (attempts > 0) {
            co_await sleep_for(reader.options.resume_backoff * attempts);
        }
        end = co_await resume_once(reader);
        attempts = reader.assembler.offset() > previous_offset ? 0 : attempts + 1;
    }
}

/// @param sent  result of sending the request
asio::awaitable<void> run_service(const engine_client_options& options,
                                  const upstream_request& request,
                                  const upstream_callbacks& callbacks, beast::tcp_stream& stream,
                                  beast::error_code sent) {
    beast::flat_buffer buffer(max_unread_bytes + read_bytes);
    stream.expires_after(options.service_timeout);
    const auto parser =
        co_await read_final_head<beast_http::string_body>(stream, buffer, options.max_body_bytes);
    beast::error_code error = beast_http::error::end_of_stream;
    if (parser) {
        std::tie(error, std::ignore) =
            co_await beast_http::async_read(stream, buffer, *parser, as_result);
    }
    if (!error && parser->need_eof() && is_cut_off(sent)) {
        error = sent;
    }
    if (error) {
        co_await report_unknown(callbacks, reason::server_lost);
        co_return;
    }
    auto response = parser->release();
    if (!is_valid_status(response.result_int())) {
        co_await report_unknown(callbacks, reason::answer_corrupted);
        co_return;
    }
    answer_event start{
        answer_started{.server = request.server,
                       .status = response.result_int(),
                       .content_type = std::string(response[beast_http::field::content_type])}};
    co_await callbacks.deliver(std::move(start));
    const auto length = static_cast<std::uint32_t>(response.body().size());
    answer_event piece{
        answer_piece{.offset = 0, .tokens = length, .text = std::move(response.body())}};
    co_await callbacks.deliver(std::move(piece));
    answer_event last{answer_finished{.result = outcome::answered, .generated = {length}}};
    co_await callbacks.deliver(std::move(last));
}

} // namespace

void upstream_control::cancel() {
    cancelled_ = true;
    const std::lock_guard lock(mutex_);
    if (interrupt_) {
        interrupt_();
    }
}

void upstream_control::set_interrupt(std::function<void()> interrupt) {
    const std::lock_guard lock(mutex_);
    interrupt_ = std::move(interrupt);
}

asio::awaitable<upstream_end> run_upstream_request(engine_client_options options,
                                                   upstream_request request,
                                                   upstream_callbacks callbacks) {
    const auto shared = std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
    auto& stream = *shared;
    if (!co_await connect(stream, request.address, options.connect_timeout)) {
        co_return upstream_end::not_written;
    }
    if (!co_await callbacks.acquire_right()) {
        co_return upstream_end::right_refused;
    }
    if (is_cancelled(request)) {
        co_return upstream_end::not_written;
    }
    auto message = make_message(request);
    stream.expires_after(options.read_timeout);
    const auto [error, size] = co_await beast_http::async_write(stream, message, as_result);
    if (request.call.plain) {
        co_await run_service(options, request, callbacks, stream, error);
        co_return upstream_end::finished;
    }
    answer_reader reader{.options = options,
                         .request = request,
                         .callbacks = callbacks,
                         .assembler = {to_string(request.id), 0}};
    arm_interrupt(request, shared);
    auto end = stream_end::broken;
    if (!error) {
        end = co_await reader.read_response(stream, false);
    }
    disarm_interrupt(request);
    stream.close();
    co_await finish_by_resuming(reader, end);
    co_return upstream_end::finished;
}

asio::awaitable<void> resume_upstream_request(engine_client_options options,
                                              upstream_request request, std::uint64_t offset,
                                              upstream_callbacks callbacks) {
    answer_reader reader{.options = options,
                         .request = request,
                         .callbacks = callbacks,
                         .assembler = {to_string(request.id), offset},
                         .started = offset > 0};
    co_await finish_by_resuming(reader, stream_end::broken);
}

asio::awaitable<std::string> fetch(engine_client_options options, std::string address,
                                   std::string method, std::string target, std::string body) {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    if (!co_await connect(stream, address, options.connect_timeout)) {
        co_return std::string{};
    }
    request_message message{beast_http::string_to_verb(method), target, 11};
    message.set(beast_http::field::host, address);
    message.keep_alive(false);
    message.body() = std::move(body);
    message.prepare_payload();
    stream.expires_after(options.read_timeout);
    const auto [write_error, written] =
        co_await beast_http::async_write(stream, message, as_result);
    if (write_error) {
        co_return std::string{};
    }
    beast::flat_buffer buffer(max_unread_bytes + read_bytes);
    const auto parser =
        co_await read_final_head<beast_http::string_body>(stream, buffer, options.max_body_bytes);
    if (!parser) {
        co_return std::string{};
    }
    const auto [error, size] = co_await beast_http::async_read(stream, buffer, *parser, as_result);
    if (error || parser->get().result_int() != 200) {
        co_return std::string{};
    }
    co_return std::move(parser->get().body());
}

} // namespace tarragonspar::http
