#pragma once

// Reading of requests; included by session.hpp.

#include <array>

#include "tarragonspar/http/detail/session.hpp"

namespace tarragonspar::http::detail {

/// @brief Returns the memory of a head's fields.
[[nodiscard]] std::size_t field_bytes(const beast_http::fields& fields);

template <class Stream>
asio::awaitable<typename session<Stream>::received> session<Stream>::read_request() {
    limits_ = context_.limits.load();
    const bool begun = co_await wait_for_request();
    if (!begun) {
        co_return received::ended;
    }
    limits_ = context_.limits.load();
    hold_.set_min_progress(limits_->min_progress_bytes);
    parser_type parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_->max_header_bytes));
    parser.body_limit(limits_->max_body_bytes);
    buffer_.max_size(std::max(buffer_.size(), limits_->max_header_bytes + max_unread_bytes));
    const auto header_error = co_await read_head(parser);
    if (header_error) {
        release(parser.get());
        co_await reject(header_error);
        co_return received::ended;
    }
    if (const auto framing_error = find_framing_error(parser.get()); !framing_error.empty()) {
        co_await reject(400, framing_error);
        co_return received::ended;
    }
    if (context_.check_head && !has_body(parser)) {
        if (auto refusal = context_.check_head(parser.get())) {
            co_return co_await refuse_head(parser, std::move(*refusal));
        }
    }
    // Trailer fields must not replace header fields.
    std::optional<beast_http::fields> fields;
    if (parser.chunked()) {
        fields = parser.get().base();
    }
    if (parser.get()[beast_http::field::expect].starts_with("100-")) {
        static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        const auto [error, size] =
            co_await asio::async_write(stream_, asio::buffer(continue_response), as_result);
        if (error) {
            co_return received::ended;
        }
    }
    const auto body_error = co_await read_body(parser, true);
    if (body_error) {
        release(parser.get());
        co_await reject(body_error);
        co_return received::ended;
    }
    request_ = parser.release();
    if (fields) {
        static_cast<beast_http::fields&>(request_.base()) = std::move(*fields);
    }
    const bool is_open = hold_.enter(caller_phase::running);
    if (!is_open) {
        co_await reject(beast::error::timeout);
        co_return received::ended;
    }
    co_return received::complete;
}

template <class Stream>
asio::awaitable<beast::error_code> session<Stream>::read_more(std::size_t wanted) {
    const auto space = std::min(std::max(buffer_.capacity() - buffer_.size(), wanted),
                                buffer_.max_size() - buffer_.size());
    if (space == 0) {
        co_return beast_http::make_error_code(beast_http::error::buffer_overflow);
    }
    const auto [error, size] = co_await stream_.async_read_some(buffer_.prepare(space), as_result);
    buffer_.commit(size);
    if (error == asio::error::operation_aborted && hold_.closed_for() != caller_bound::none) {
        co_return beast::error::timeout;
    }
    co_return error;
}

template <class Stream>
asio::awaitable<beast::error_code> session<Stream>::read_head(parser_type& parser) {
    constexpr std::size_t least_read = 512;
    auto& socket = beast::get_lowest_layer(stream_);
    hold_.enter(caller_phase::reading);
    socket.expires_after(limits_->header_timeout);
    beast::error_code failure;
    while (!parser.is_header_done() && !failure) {
        const auto used = parser.put(buffer_.data(), failure);
        buffer_.consume(used);
        if (failure != beast_http::error::need_more) {
            continue;
        }
        if (!hold_.reserve(2 * buffer_.capacity() + least_read)) {
            failure = make_error_code(boost::system::errc::not_enough_memory);
            continue;
        }
        failure = co_await read_more(least_read);
    }
    socket.expires_never();
    if (!failure && !hold_.reserve(buffer_.capacity() + field_bytes(parser.get()))) {
        failure = make_error_code(boost::system::errc::not_enough_memory);
    }
    co_return failure;
}

template <class Stream>
asio::awaitable<beast::error_code> session<Stream>::read_body(parser_type& parser, bool keeps) {
    if (parser.is_done()) {
        co_return beast::error_code{};
    }
    hold_.enter(caller_phase::reading, stall_timeout(limits_->idle_timeout));
    parser.eager(true);
    const auto base = hold_.held();
    const auto& body = parser.get().body();
    beast::error_code failure;
    while (!parser.is_done() && !failure) {
        std::size_t used = 0;
        if (buffer_.size() > 0) {
            used = parser.put(buffer_.data(), failure);
            buffer_.consume(used);
            if (!keeps) {
                parser.get().body().clear();
            }
        }
        if (failure == beast_http::error::need_more) {
            failure = {};
            used = 0;
        }
        if (failure || used > 0 || parser.is_done()) {
            continue;
        }
        const auto rest = parser.content_length_remaining();
        const auto wanted =
            std::min<std::uint64_t>(rest.value_or(body_read_bytes), body_read_bytes);
        const auto needed = base + body.size() + buffer_.size() + body_read_bytes;
        if (needed > hold_.held() &&
            !hold_.reserve(needed + std::min(body.size(), reserve_step_bytes))) {
            failure = make_error_code(boost::system::errc::not_enough_memory);
            continue;
        }
        failure = co_await read_more(std::max<std::size_t>(wanted, 1));
        hold_.record_progress(buffer_.size());
    }
    if (!failure && !hold_.reserve(buffer_.capacity() + field_bytes(parser.get()) + body.size())) {
        failure = make_error_code(boost::system::errc::not_enough_memory);
    }
    co_return failure;
}

template <class Stream>
asio::awaitable<typename session<Stream>::received>
session<Stream>::refuse_head(parser_type& parser, reply refusal) {
    request_.base() = parser.get().base();
    // Without an interim response, the caller may omit the body.
    refusal.close = refusal.close || parser.get().count(beast_http::field::expect) > 0;
    co_await respond(std::move(refusal));
    if (!alive_) {
        co_return received::ended;
    }
    if (!keep_alive_) {
        co_await discard_rest();
        co_return received::ended;
    }
    const auto error = co_await read_body(parser, false);
    co_return error ? received::ended : received::refused;
}

template <class Stream>
asio::awaitable<void> session<Stream>::reject(beast::error_code error) {
    unsigned status = 400;
    std::string detail = error.message();
    if (error == boost::system::errc::not_enough_memory) {
        status = 503;
        detail = "too many requests are held";
    } else if (error == beast_http::error::body_limit) {
        status = 413;
    } else if (error == beast_http::error::header_limit) {
        status = 431;
    } else if (error == beast::error::timeout) {
        status = 408;
    } else if (error.category() !=
                   beast_http::make_error_code(beast_http::error::bad_method).category() ||
               error == beast_http::error::end_of_stream ||
               error == beast_http::error::partial_message) {
        co_return;
    }
    co_await reject(status, std::move(detail));
}

template <class Stream>
asio::awaitable<void> session<Stream>::reject(unsigned status, std::string detail) {
    const bool is_closed = hold_.closed_for() != caller_bound::none;
    release(request_);
    request_.version(11);
    request_.keep_alive(false);
    buffer_ = {};
    hold_.charge(0);
    reply problem;
    problem.status = status;
    problem.content_type = "application/problem+json";
    if (status == 503) {
        problem.headers.emplace_back("Retry-After", "1");
    }
    problem.body =
        R"({"title":"malformed request","detail":")" + detail + R"(","outcome":"not_executed"})";
    problem.close = true;
    if (is_closed) {
        // The budget no longer watches the progress of a connection that it closes.
        beast::get_lowest_layer(stream_).expires_after(last_answer_timeout);
    }
    co_await respond(std::move(problem));
    if (!is_closed) {
        co_await discard_rest();
    }
}

template <class Stream>
asio::awaitable<void> session<Stream>::discard_rest() {
    hold_.enter(caller_phase::reading);
    auto& socket = beast::get_lowest_layer(stream_);
    beast::error_code ignored;
    socket.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    socket.expires_after(linger_timeout);
    std::array<char, first_read_bytes> bytes{};
    for (std::size_t total = 0; total < max_discarded_bytes;) {
        const auto [error, size] = co_await socket.async_read_some(asio::buffer(bytes), as_result);
        if (error) {
            break;
        }
        total += size;
    }
}

} // namespace tarragonspar::http::detail
