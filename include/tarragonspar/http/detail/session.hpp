#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include "tarragonspar/http/detail/serve.hpp"
#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::http::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Maximum time for which the rest of a rejected request is read and discarded.
constexpr auto linger_timeout = std::chrono::seconds{2};
/// Time for which a new connection without a request is exempt when idle connections are closed:
/// callers send their first request right after connecting.
constexpr auto first_request_timeout = std::chrono::seconds{1};
/// Maximum number of bytes of a rejected request that are read and discarded.
constexpr std::size_t max_discarded_bytes = 64 * 1024 * 1024;
/// Buffered bytes in addition to a head's limit. Bounds chunk extensions, which have no other
/// limit.
constexpr std::size_t max_unread_bytes = 64 * 1024;
/// Size of the first read of a request; most heads fit into it.
constexpr std::size_t first_read_bytes = 4096;

/// @brief Checks a request for ambiguous framing, with which it must not be forwarded.
/// @return an error message, or an empty string if the framing is valid
[[nodiscard]] std::string
find_framing_error(const beast_http::request<beast_http::string_body>& request);

/// @brief One connection of a caller, over plain TCP or TLS.
/// @tparam Stream  `beast::tcp_stream`, or an SSL stream on top of one
template <class Stream>
class session final : public exchange {
public:
    session(Stream stream, const session_context& context)
        : stream_(std::move(stream)), context_(context), limits_(context.limits.load()) {}

    /// @brief Serves requests until the connection ends.
    asio::awaitable<void> run(const std::function<asio::awaitable<void>(exchange&)>& handle) {
        while (alive_ && keep_alive_) {
            const bool received = co_await read_request();
            if (!received) {
                break;
            }
            co_await handle(*this);
            watch_.reset();
        }
        close();
    }

    [[nodiscard]] const request_message& request() const override {
        return request_;
    }

    asio::awaitable<bool> respond(reply response) override {
        beast_http::response<beast_http::string_body> message;
        message.version(request_.version());
        message.result(response.status);
        if (!response.content_type.empty()) {
            message.set(beast_http::field::content_type, response.content_type);
        }
        for (const auto& [name, value] : response.headers) {
            message.insert(name, value);
        }
        if (is_head_request()) {
            response.body.clear();
        }
        message.body() = std::move(response.body);
        decide_keep_alive();
        keep_alive_ = keep_alive_ && !response.close;
        message.keep_alive(keep_alive_);
        message.prepare_payload();
        set_write_deadline();
        const auto [error, size] = co_await beast_http::async_write(stream_, message, as_result);
        co_return finish_write(error);
    }

    asio::awaitable<bool> begin_stream(unsigned status, std::string content_type,
                                       header_list headers) override {
        beast_http::response<beast_http::empty_body> message;
        message.version(request_.version());
        message.result(status);
        if (!content_type.empty()) {
            message.set(beast_http::field::content_type, content_type);
            message.set(beast_http::field::cache_control, "no-store");
        }
        for (const auto& [name, value] : headers) {
            message.insert(name, value);
        }
        decide_keep_alive();
        // HTTP/1.0 has no chunked encoding: the end of the connection ends the response.
        chunked_ = request_.version() >= 11;
        keep_alive_ = keep_alive_ && chunked_;
        message.keep_alive(keep_alive_);
        message.chunked(chunked_);
        set_write_deadline();
        beast_http::response_serializer<beast_http::empty_body> serializer{message};
        const auto [error, size] =
            co_await beast_http::async_write_header(stream_, serializer, as_result);
        co_return finish_write(error);
    }

    asio::awaitable<bool> write(std::string piece) override {
        if (!alive_ || piece.empty() || is_head_request()) {
            co_return alive_;
        }
        set_write_deadline();
        if (!chunked_) {
            const auto [error, size] =
                co_await asio::async_write(stream_, asio::buffer(piece), as_result);
            co_return finish_write(error);
        }
        const auto [error, size] = co_await asio::async_write(
            stream_, beast_http::make_chunk(asio::buffer(piece)), as_result);
        co_return finish_write(error);
    }

    asio::awaitable<bool> end_stream() override {
        if (!alive_ || !chunked_ || is_head_request()) {
            co_return alive_;
        }
        set_write_deadline();
        const auto [error, size] =
            co_await asio::async_write(stream_, beast_http::make_chunk_last(), as_result);
        co_return finish_write(error);
    }

    void abort() override {
        keep_alive_ = false;
        alive_ = false;
        auto& socket = beast::get_lowest_layer(stream_).socket();
        beast::error_code ignored;
        if (!chunked_) {
            // Forces a reset: without chunked encoding, an orderly close would make the response
            // look complete.
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket.close(ignored);
    }

    void on_disconnect(std::function<void()> callback) override {
        watch_ = std::make_shared<std::function<void()>>(std::move(callback));
        watch_connection();
    }

private:
    /// State of the connection's receive buffer.
    enum class incoming : std::uint8_t { nothing, data, end };

    /// Waits until the caller closes the connection. A readiness notification may stem from the
    /// request itself, so the wait is repeated until the end of the stream or the next request's
    /// data has arrived.
    void watch_connection() {
        const auto next = peek();
        if (next == incoming::data) {
            return;
        }
        if (next == incoming::end) {
            alive_ = false;
            (*watch_)();
            return;
        }
        auto& socket = beast::get_lowest_layer(stream_).socket();
        socket.async_wait(asio::socket_base::wait_read,
                          [this, watch = std::weak_ptr(watch_)](beast::error_code error) {
                              const auto locked = watch.lock();
                              if (locked && !error) {
                                  watch_connection();
                              }
                          });
    }

    /// Waits for the first byte of a request; the connection may be closed as idle in the meantime.
    asio::awaitable<bool> wait_for_request() {
        if (buffer_.size() > 0) {
            co_return true;
        }
        auto& socket = beast::get_lowest_layer(stream_);
        std::function<void()> end = [this] {
            auto executor = beast::get_lowest_layer(stream_).get_executor();
            asio::post(executor, [watch = std::weak_ptr(lifetime_), this] {
                if (watch.lock() && !awaits_first_request()) {
                    beast::get_lowest_layer(stream_).cancel();
                }
            });
        };
        const auto key = context_.idle.add(std::move(end));
        socket.expires_after(limits_->idle_timeout);
        auto [error, size] =
            co_await stream_.async_read_some(buffer_.prepare(first_read_bytes), as_result);
        context_.idle.remove(key);
        if (error == asio::error::operation_aborted && peek() == incoming::data) {
            // A request that arrived just as the connection was being closed is still served.
            std::tie(error, size) =
                co_await stream_.async_read_some(buffer_.prepare(first_read_bytes), as_result);
        }
        socket.expires_never();
        if (error) {
            co_return false;
        }
        buffer_.commit(size);
        ++requests_;
        co_return true;
    }

    /// Whether the connection is new, so that its caller is probably sending its first request.
    [[nodiscard]] bool awaits_first_request() const {
        return requests_ == 0 && std::chrono::steady_clock::now() - opened_ < first_request_timeout;
    }

    asio::awaitable<bool> read_request() {
        limits_ = context_.limits.load();
        const bool received = co_await wait_for_request();
        if (!received) {
            co_return false;
        }
        limits_ = context_.limits.load();
        beast_http::request_parser<beast_http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(limits_->max_header_bytes));
        parser.body_limit(limits_->max_body_bytes);
        buffer_.max_size(std::max(buffer_.size(), limits_->max_header_bytes + max_unread_bytes));
        auto& socket = beast::get_lowest_layer(stream_);
        socket.expires_after(limits_->header_timeout);
        const auto [header_error, header_size] =
            co_await beast_http::async_read_header(stream_, buffer_, parser, as_result);
        socket.expires_never();
        if (header_error) {
            co_await reject(header_error);
            co_return false;
        }
        if (const auto framing_error = find_framing_error(parser.get()); !framing_error.empty()) {
            co_await reject(400, framing_error);
            co_return false;
        }
        // Trailer fields must not replace header fields.
        beast_http::fields fields = parser.get().base();
        if (parser.get()[beast_http::field::expect].starts_with("100-")) {
            static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
            const auto [error, size] =
                co_await asio::async_write(stream_, asio::buffer(continue_response), as_result);
            if (error) {
                co_return false;
            }
        }
        socket.expires_after(limits_->idle_timeout);
        const auto [error, size] =
            co_await beast_http::async_read(stream_, buffer_, parser, as_result);
        socket.expires_never();
        if (error) {
            co_await reject(error);
            co_return false;
        }
        request_ = parser.release();
        static_cast<beast_http::fields&>(request_.base()) = std::move(fields);
        co_return true;
    }

    /// Responds to a request that could not be read, unless the connection failed.
    asio::awaitable<void> reject(beast::error_code error) {
        unsigned status = 400;
        if (error == beast_http::error::body_limit) {
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
        co_await reject(status, error.message());
    }

    asio::awaitable<void> reject(unsigned status, std::string detail) {
        request_ = {};
        request_.version(11);
        request_.keep_alive(false);
        reply problem;
        problem.status = status;
        problem.content_type = "application/problem+json";
        problem.body = R"({"title":"malformed request","detail":")" + detail +
                       R"(","outcome":"not_executed"})";
        problem.close = true;
        co_await respond(std::move(problem));
        co_await discard_rest();
    }

    /// Reads and discards the rest of a rejected request, so that a caller that is still sending
    /// receives the response instead of a reset.
    asio::awaitable<void> discard_rest() {
        auto& socket = beast::get_lowest_layer(stream_);
        beast::error_code ignored;
        socket.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        socket.expires_after(linger_timeout);
        std::array<char, 16 * 1024> bytes{};
        for (std::size_t total = 0; total < max_discarded_bytes;) {
            const auto [error, size] =
                co_await socket.async_read_some(asio::buffer(bytes), as_result);
            if (error) {
                break;
            }
            total += size;
        }
    }

    /// Whether the response has no body, nor the end of one.
    [[nodiscard]] bool is_head_request() const {
        return request_.method() == beast_http::verb::head;
    }

    void decide_keep_alive() {
        keep_alive_ = request_.keep_alive() && !context_.draining.load();
    }

    void set_write_deadline() {
        beast::get_lowest_layer(stream_).expires_after(limits_->write_timeout);
    }

    bool finish_write(beast::error_code error) {
        beast::get_lowest_layer(stream_).expires_never();
        if (error) {
            alive_ = false;
        }
        return alive_;
    }

    incoming peek() {
        char byte{};
        auto& socket = beast::get_lowest_layer(stream_).socket();
        beast::error_code error;
        socket.non_blocking(true, error);
        const auto size =
            socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error == asio::error::would_block) {
            return incoming::nothing;
        }
        return error || size == 0 ? incoming::end : incoming::data;
    }

    void close() {
        auto& socket = beast::get_lowest_layer(stream_).socket();
        beast::error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        socket.close(ignored);
    }

    Stream stream_;
    session_context context_;
    std::shared_ptr<const settings::http_limits> limits_;
    /// Expires with the session; checked by late callbacks.
    std::shared_ptr<int> lifetime_{std::make_shared<int>()};
    std::chrono::steady_clock::time_point opened_{std::chrono::steady_clock::now()};
    std::uint64_t requests_{0}; ///< requests received on this connection
    bool chunked_{true};
    beast::flat_buffer buffer_;
    request_message request_;
    std::shared_ptr<std::function<void()>> watch_;
    bool alive_{true};
    bool keep_alive_{true};
};

} // namespace tarragonspar::http::detail
