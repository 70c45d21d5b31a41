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

/// Time for which a refused request is read on.
constexpr auto linger_time = std::chrono::seconds{2};
/// Time that a new connection is left for its first request when idle ones are closed: callers send
/// it right after connecting.
constexpr auto first_request_time = std::chrono::seconds{1};
/// Bytes of a refused request that are read on.
constexpr std::size_t max_discarded_bytes = 64 * 1024 * 1024;
/// Bytes beside a head's limit that are kept unread: extensions of chunks have no other bound.
constexpr std::size_t max_unread_bytes = 64 * 1024;
/// Room for the first read of a request; most headers fit.
constexpr std::size_t first_read_bytes = 4096;

/// @brief What makes a request's framing doubtful, so that it must not be passed on.
/// @return an empty string if nothing does
[[nodiscard]] std::string
find_framing_fault(const beast_http::request<beast_http::string_body>& request);

/// @brief One connection of a caller, over plain TCP or TLS.
/// @tparam Stream  a `beast::tcp_stream` or an SSL stream above one
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

    asio::awaitable<bool> respond(reply what) override {
        beast_http::response<beast_http::string_body> message;
        message.version(request_.version());
        message.result(what.status);
        if (!what.content_type.empty()) {
            message.set(beast_http::field::content_type, what.content_type);
        }
        for (const auto& [name, value] : what.headers) {
            message.insert(name, value);
        }
        if (request_.method() == beast_http::verb::head) {
            what.body.clear();
        }
        message.body() = std::move(what.body);
        decide_keep_alive();
        keep_alive_ = keep_alive_ && !what.close;
        message.keep_alive(keep_alive_);
        message.prepare_payload();
        set_write_deadline();
        const auto [error, size] = co_await beast_http::async_write(stream_, message, as_result);
        co_return note(error);
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
        // HTTP/1.0 knows no chunks: there the end of the connection ends the answer.
        chunked_ = request_.version() >= 11;
        keep_alive_ = keep_alive_ && chunked_;
        message.keep_alive(keep_alive_);
        message.chunked(chunked_);
        set_write_deadline();
        beast_http::response_serializer<beast_http::empty_body> serializer{message};
        const auto [error, size] =
            co_await beast_http::async_write_header(stream_, serializer, as_result);
        co_return note(error);
    }

    asio::awaitable<bool> write(std::string piece) override {
        if (!alive_ || piece.empty()) {
            co_return alive_;
        }
        set_write_deadline();
        if (!chunked_) {
            const auto [error, size] =
                co_await asio::async_write(stream_, asio::buffer(piece), as_result);
            co_return note(error);
        }
        const auto [error, size] = co_await asio::async_write(
            stream_, beast_http::make_chunk(asio::buffer(piece)), as_result);
        co_return note(error);
    }

    asio::awaitable<bool> end_stream() override {
        if (!alive_ || !chunked_) {
            co_return alive_;
        }
        set_write_deadline();
        const auto [error, size] =
            co_await asio::async_write(stream_, beast_http::make_chunk_last(), as_result);
        co_return note(error);
    }

    void abort() override {
        keep_alive_ = false;
        alive_ = false;
        auto& socket = beast::get_lowest_layer(stream_).socket();
        beast::error_code ignored;
        if (!chunked_) {
            // A reset, since an answer that its connection ends would look whole without one.
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket.close(ignored);
    }

    void when_gone(std::function<void()> gone) override {
        watch_ = std::make_shared<std::function<void()>>(std::move(gone));
        watch_connection();
    }

private:
    /// What stands at the front of the connection.
    enum class incoming : std::uint8_t { nothing, data, end };

    /// Waits for the caller's end. A wake-up may be left over from the request itself, so the wait
    /// goes on until the end or the next request's data is really there.
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
                              const auto held = watch.lock();
                              if (held && !error) {
                                  watch_connection();
                              }
                          });
    }

    /// Waits for the first byte of a request; the connection may be closed meanwhile.
    asio::awaitable<bool> wait_for_request() {
        if (buffer_.size() > 0) {
            co_return true;
        }
        auto& socket = beast::get_lowest_layer(stream_);
        std::function<void()> end = [this] {
            auto executor = beast::get_lowest_layer(stream_).get_executor();
            asio::post(executor, [watch = std::weak_ptr(life_), this] {
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
            // A request that came at the moment of the end is still served.
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

    /// Whether the connection is new and its caller is likely to be sending.
    [[nodiscard]] bool awaits_first_request() const {
        return requests_ == 0 && std::chrono::steady_clock::now() - opened_ < first_request_time;
    }

    asio::awaitable<bool> read_request() {
        limits_ = context_.limits.load();
        const bool waiting = co_await wait_for_request();
        if (!waiting) {
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
            co_await refuse(header_error);
            co_return false;
        }
        if (const auto fault = find_framing_fault(parser.get()); !fault.empty()) {
            co_await refuse(400, fault);
            co_return false;
        }
        // Fields that come behind the body must not replace those before it.
        beast_http::fields fields = parser.get().base();
        if (parser.get()[beast_http::field::expect].starts_with("100-")) {
            static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
            const auto [error, size] =
                co_await asio::async_write(stream_, asio::buffer(go_on), as_result);
            if (error) {
                co_return false;
            }
        }
        socket.expires_after(limits_->idle_timeout);
        const auto [error, size] =
            co_await beast_http::async_read(stream_, buffer_, parser, as_result);
        socket.expires_never();
        if (error) {
            co_await refuse(error);
            co_return false;
        }
        request_ = parser.release();
        static_cast<beast_http::fields&>(request_.base()) = std::move(fields);
        co_return true;
    }

    /// Tells a caller what was wrong with a request that could not be read.
    asio::awaitable<void> refuse(beast::error_code error) {
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
        co_await refuse(status, error.message());
    }

    asio::awaitable<void> refuse(unsigned status, std::string detail) {
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

    /// Reads on for a moment, so that a caller still sending gets to see the refusal instead of a
    /// reset connection.
    asio::awaitable<void> discard_rest() {
        auto& socket = beast::get_lowest_layer(stream_);
        beast::error_code ignored;
        socket.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        socket.expires_after(linger_time);
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

    void decide_keep_alive() {
        keep_alive_ = request_.keep_alive() && !context_.leaving.load();
    }

    void set_write_deadline() {
        beast::get_lowest_layer(stream_).expires_after(limits_->write_timeout);
    }

    bool note(beast::error_code error) {
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
    std::shared_ptr<int> life_{std::make_shared<int>()}; ///< tells late callbacks of the end
    std::chrono::steady_clock::time_point opened_{std::chrono::steady_clock::now()};
    std::uint64_t requests_{0}; ///< begun on this connection
    bool chunked_{true};
    beast::flat_buffer buffer_;
    request_message request_;
    std::shared_ptr<std::function<void()>> watch_;
    bool alive_{true};
    bool keep_alive_{true};
};

} // namespace tarragonspar::http::detail
