#pragma once

#include <algorithm>
#include <atomic>
#include <memory>
#include <tuple>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include "tarragonspar/http/caller_guard.hpp"
#include "tarragonspar/http/detail/serve.hpp"
#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::http::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// Maximum time for which the rest of a rejected request is read and discarded.
constexpr auto linger_timeout = std::chrono::seconds{2};
/// Time for the answer to a request that is given up because of a bound.
constexpr auto last_answer_timeout = std::chrono::seconds{1};
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
/// Size of the reads of a body.
constexpr std::size_t body_read_bytes = 16UL * 1024;
/// Steps in which a growing body reserves budget, so that not every read does.
constexpr std::size_t reserve_step_bytes = 64UL * 1024;
/// Largest part of an answer that is sent in one write.
constexpr std::size_t max_write_bytes = 64UL * 1024;

/// @brief Checks a request for ambiguous framing, with which it must not be forwarded.
/// @return an error message, or an empty string if the framing is valid
[[nodiscard]] std::string
find_framing_error(const beast_http::request<beast_http::string_body>& request);

/// @brief Frees the memory of a message. Assigning an empty string would keep the body's capacity.
inline void release(request_message& message) {
    std::string().swap(message.body());
    message = {};
}

/// @brief One connection of a caller, over plain TCP or TLS.
/// @tparam Stream  `beast::tcp_stream`, or an SSL stream on top of one
template <class Stream>
class session final : public exchange {
public:
    session(Stream stream, const session_context& context)
        : stream_(std::move(stream)), context_(context), limits_(context.limits.load()),
          hold_(context.guard, context.server, closer()) {}

    /// @brief Serves requests until the connection ends.
    asio::awaitable<void> run(const std::function<asio::awaitable<void>(exchange&)>& handle) {
        while (alive_ && keep_alive_) {
            const auto next = co_await read_request();
            if (next == received::ended) {
                break;
            }
            if (next == received::complete) {
                co_await handle(*this);
            }
            watch_.reset();
            release(request_);
            if (buffer_.size() == 0 && buffer_.capacity() > first_read_bytes) {
                buffer_ = {};
            }
            hold_.charge(0);
            hold_.enter(caller_phase::idle);
        }
        close();
    }

    [[nodiscard]] const request_message& request() const override {
        return request_;
    }

    std::string take_body() override {
        return std::exchange(request_.body(), {});
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
        begin_write(message.body().size());
        beast_http::response_serializer<beast_http::string_body> serializer{message};
        beast::error_code failure;
        while (!serializer.is_done() && !failure) {
            const auto [error, size] =
                co_await beast_http::async_write_some(stream_, serializer, as_result);
            failure = error;
            if (!serializer.is_done()) {
                hold_.record_progress(size);
            }
        }
        co_return finish_write(failure);
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
        begin_write(0);
        beast_http::response_serializer<beast_http::empty_body> serializer{message};
        const auto [error, size] =
            co_await beast_http::async_write_header(stream_, serializer, as_result);
        co_return finish_write(error);
    }

    asio::awaitable<bool> write(std::string piece) override {
        if (!alive_ || piece.empty() || is_head_request()) {
            co_return alive_;
        }
        begin_write(piece.size());
        std::size_t sent = 0;
        const auto count = [this, &sent](const beast::error_code& error, std::size_t total) {
            if (total > sent) {
                hold_.record_progress(total - std::exchange(sent, total));
            }
            return error ? std::size_t{0} : max_write_bytes;
        };
        if (!chunked_) {
            const auto [error, size] =
                co_await asio::async_write(stream_, asio::buffer(piece), count, as_result);
            co_return finish_write(error);
        }
        const auto chunk = beast_http::make_chunk(asio::buffer(piece));
        const auto [error, size] = co_await asio::async_write(stream_, chunk, count, as_result);
        co_return finish_write(error);
    }

    asio::awaitable<bool> end_stream() override {
        if (!alive_ || !chunked_ || is_head_request()) {
            co_return alive_;
        }
        begin_write(0);
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

    /// What became of a request.
    enum class received : std::uint8_t {
        complete,
        refused, ///< it was answered on its head, and its body has been discarded
        ended    ///< the connection must be closed
    };
    using parser_type = beast_http::request_parser<beast_http::string_body>;

    asio::awaitable<received> read_request();
    /// Reads more bytes of a request into the buffer.
    asio::awaitable<beast::error_code> read_more(std::size_t wanted);
    asio::awaitable<beast::error_code> read_head(parser_type& parser);
    /// Reads a body.
    /// @param keeps  false: its bytes are discarded
    asio::awaitable<beast::error_code> read_body(parser_type& parser, bool keeps);
    /// Answers a request whose body has not been read yet and discards the body.
    asio::awaitable<received> refuse_head(parser_type& parser, reply refusal);
    /// Responds to a request that could not be read, unless the connection failed.
    asio::awaitable<void> reject(beast::error_code error);
    asio::awaitable<void> reject(unsigned status, std::string detail);
    /// Reads and discards the rest of a rejected request, so that a caller that is still sending
    /// receives the response instead of a reset.
    asio::awaitable<void> discard_rest();
    /// Whether the whole body of a request is in the buffer already.
    [[nodiscard]] bool has_body(const parser_type& parser) const {
        const auto rest = parser.content_length_remaining();
        return parser.is_done() || (rest && *rest <= buffer_.size());
    }

    /// Whether the response has no body, nor the end of one.
    [[nodiscard]] bool is_head_request() const {
        return request_.method() == beast_http::verb::head;
    }

    void decide_keep_alive() {
        keep_alive_ = request_.keep_alive() && !context_.draining.load();
    }

    /// Time without progress after which a read or write is given up.
    [[nodiscard]] std::chrono::milliseconds
    stall_timeout(std::chrono::milliseconds fallback) const {
        const auto interval = limits_->min_progress_interval;
        return interval.count() > 0 ? interval : fallback;
    }

    void begin_write(std::size_t bytes) {
        hold_.enter(caller_phase::writing, stall_timeout(limits_->write_timeout));
        queued_ = bytes >= first_read_bytes ? bytes : 0;
        if (queued_ > 0) {
            hold_.charge(hold_.held() + queued_);
        }
    }

    bool finish_write(beast::error_code error) {
        if (queued_ > 0) {
            hold_.charge(hold_.held() - std::exchange(queued_, 0));
        }
        const bool is_open = hold_.enter(caller_phase::running);
        if (error || !is_open) {
            alive_ = false;
        }
        return alive_;
    }

    /// Returns a function that ends the pending read or write in the connection's thread.
    [[nodiscard]] std::function<void()> closer() {
        return [this, watch = std::weak_ptr(lifetime_),
                executor = beast::get_lowest_layer(stream_).get_executor()] {
            asio::post(executor, [this, watch] {
                if (watch.lock()) {
                    beast::get_lowest_layer(stream_).cancel();
                }
            });
        };
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
    caller_hold hold_;
    std::chrono::steady_clock::time_point opened_{std::chrono::steady_clock::now()};
    std::uint64_t requests_{0}; ///< requests received on this connection
    std::size_t queued_{0};     ///< bytes of the answer that are being sent
    bool chunked_{true};
    beast::flat_buffer buffer_;
    request_message request_;
    std::shared_ptr<std::function<void()>> watch_;
    bool alive_{true};
    bool keep_alive_{true};
};

} // namespace tarragonspar::http::detail

#include "tarragonspar/http/detail/session_reading.hpp"
