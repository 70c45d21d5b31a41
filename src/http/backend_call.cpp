#include "tarragonspar/http/backend_call.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "tarragonspar/http/detail/serve.hpp"

namespace tarragonspar::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

/// Idle time before the first keep-alive probe and interval between probes, in seconds.
constexpr int keep_alive_seconds = 1;
/// Unacknowledged probes after which the connection counts as lost.
constexpr int keep_alive_probes = 2;

void set_liveness_options(tcp::socket& socket, std::chrono::milliseconds timeout) {
    const int fd = socket.native_handle();
    const int enabled = 1;
    const auto milliseconds = static_cast<unsigned>(timeout.count());
    const auto set = [&](int level, int name, const void* value, socklen_t size) {
        // Errors are ignored: without the option, a lost server is only detected at the request's
        // deadline.
        static_cast<void>(::setsockopt(fd, level, name, value, size));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    set(IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_seconds, sizeof(keep_alive_seconds));
    set(IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_seconds, sizeof(keep_alive_seconds));
    set(IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes, sizeof(keep_alive_probes));
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
}

/// Whether the peer ended the connection in order.
bool is_end_of_file(const boost::system::error_code& error) {
    return error == asio::error::eof || error == beast_http::error::end_of_stream ||
           error == beast_http::error::partial_message;
}

/// Whether the peer ended the connection.
bool is_ended_by_peer(const boost::system::error_code& error) {
    return is_end_of_file(error) || error == asio::error::connection_reset ||
           error == asio::error::broken_pipe;
}

} // namespace

bool is_hop_header(std::string_view name) noexcept {
    constexpr std::array<std::string_view, 10> names{"connection",       "keep-alive",
                                                     "proxy-connection", "te",
                                                     "trailer",          "upgrade",
                                                     "expect",           "transfer-encoding",
                                                     "content-length",   "proxy-authorization"};
    return std::any_of(names.begin(), names.end(), [&](std::string_view hop) {
        return beast::iequals(hop, beast::string_view(name.data(), name.size()));
    });
}

bool has_unknown_coding(const beast_http::fields& head) {
    const auto coding = head[beast_http::field::transfer_encoding];
    return !coding.empty() && !beast::iequals(coding, "chunked");
}

bool is_valid_status(unsigned status) noexcept {
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

bool is_cut_off(const beast::error_code& sent) noexcept {
    return sent && sent != asio::error::broken_pipe;
}

std::string answer_head::header(std::string_view name) const {
    for (const auto& [known, value] : headers) {
        if (beast::iequals(known, beast::string_view(name.data(), name.size()))) {
            return value;
        }
    }
    return {};
}

backend_call::backend_call(asio::any_io_executor executor, const backend_call_options& options)
    : options_(options), socket_(std::move(executor)),
      buffer_(options.max_header_bytes + options.read_bytes) {}

asio::awaitable<bool> backend_call::connect(settings::endpoint server) {
    const auto self = shared_from_this();
    boost::system::error_code bad_address;
    const auto address = asio::ip::make_address(server.address, bad_address);
    if (bad_address) {
        co_return false;
    }
    asio::steady_timer timeout(socket_.get_executor(), options_.connect_timeout);
    timeout.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        if (const auto locked = weak.lock(); locked && !error) {
            locked->close();
        }
    });
    const tcp::endpoint endpoint(address, server.port);
    const auto [error] = co_await socket_.async_connect(endpoint, detail::as_result);
    timeout.cancel();
    if (error || !socket_.is_open()) {
        co_return false;
    }
    set_liveness_options(socket_, options_.tcp_user_timeout);
    boost::system::error_code failed;
    socket_.non_blocking(true, failed);
    co_return !failed;
}

void backend_call::send(std::string method, std::string target, header_list headers,
                        std::shared_ptr<const std::string> body) {
    body_ = body ? std::move(body) : std::make_shared<const std::string>();
    request_ = std::make_unique<request_type>();
    request_->version(11);
    request_->method_string(method);
    request_->target(target);
    for (const auto& [name, value] : headers) {
        request_->insert(name, value);
    }
    head_request_ = request_->method() == beast_http::verb::head;
    const auto bodiless = body_->empty() && (request_->method() == beast_http::verb::get ||
                                             request_->method() == beast_http::verb::head);
    if (!bodiless) {
        request_->content_length(body_->size());
    }
    request_->body() = {body_->data(), body_->size()};
    serializer_ =
        std::make_unique<beast_http::request_serializer<beast_http::span_body<const char>>>(
            *request_);
    upload_incomplete_ = true;
    continue_upload();
}

void backend_call::continue_upload() {
    beast::error_code error;
    while (!error && !serializer_->is_done()) {
        beast_http::write_some(socket_, *serializer_, error);
    }
    if (error == asio::error::would_block) {
        socket_.async_wait(tcp::socket::wait_write,
                           [self = shared_from_this()](const beast::error_code& stopped) {
                               if (!stopped) {
                                   self->continue_upload();
                               }
                           });
        return;
    }
    // The server may have responded before it read the entire request, so a failure does not end
    // the call.
    upload_incomplete_ = static_cast<bool>(error);
    upload_error_ = error;
}

beast::error_code backend_call::cause_of(const beast::error_code& error) const {
    return is_end_of_file(error) && is_cut_off(upload_error_) ? upload_error_ : error;
}

asio::awaitable<bool> backend_call::read_one_head() {
    parser_ = std::make_unique<beast_http::response_parser<beast_http::buffer_body>>();
    parser_->body_limit(boost::none);
    parser_->header_limit(static_cast<std::uint32_t>(options_.max_header_bytes));
    parser_->skip(head_request_);
    if (buffer_.size() == 0) {
        // No timeout until the first byte, which may take long; the caller bounds this wait.
        const auto space = buffer_.prepare(options_.read_bytes);
        const auto [error, size] = co_await socket_.async_read_some(space, detail::as_result);
        if (error) {
            read_error_ = cause_of(error);
            co_return false;
        }
        buffer_.commit(size);
    }
    asio::steady_timer timeout(socket_.get_executor(), options_.head_timeout);
    timeout.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        if (const auto locked = weak.lock(); locked && !error) {
            locked->close();
        }
    });
    const auto [error, size] =
        co_await beast_http::async_read_header(socket_, buffer_, *parser_, detail::as_result);
    read_error_ = cause_of(error);
    co_return !error;
}

asio::awaitable<std::optional<answer_head>> backend_call::read_head() {
    const auto self = shared_from_this();
    constexpr unsigned first_final = 200;
    bool is_final = false;
    for (int interim = 0; !is_final; ++interim) {
        const bool read = co_await read_one_head();
        if (!read || interim > options_.max_interim_responses ||
            !is_valid_status(parser_->get().result_int())) {
            co_return std::nullopt;
        }
        is_final = parser_->get().result_int() >= first_final;
    }
    if (has_unknown_coding(parser_->get())) {
        co_return std::nullopt;
    }
    answer_head head;
    head.status = parser_->get().result_int();
    for (const auto& field : parser_->get().base()) {
        const std::string name(field.name_string());
        if (!is_hop_header(name)) {
            head.headers.emplace_back(name, std::string(field.value()));
        }
    }
    co_return head;
}

asio::awaitable<body_part> backend_call::read_body() {
    const auto self = shared_from_this();
    body_part part;
    if (parser_->is_done()) {
        part.complete = true;
        co_return part;
    }
    part.bytes.resize(options_.read_bytes);
    auto& body = parser_->get().body();
    body.data = part.bytes.data();
    body.size = part.bytes.size();
    auto [error, size] =
        co_await beast_http::async_read_some(socket_, buffer_, *parser_, detail::as_result);
    if (error == beast_http::error::need_buffer) {
        error = {};
    }
    part.bytes.resize(part.bytes.size() - body.size);
    body.data = nullptr;
    body.size = 0;
    const auto ends_with_connection = !error && parser_->is_done() && parser_->need_eof();
    if (ends_with_connection && is_cut_off(upload_error_)) {
        error = upload_error_;
    }
    part.complete = !error && parser_->is_done();
    part.broken = static_cast<bool>(error);
    read_error_ = cause_of(error);
    co_return part;
}

bool backend_call::ends_with_connection() const {
    return parser_->need_eof();
}

bool backend_call::was_lost() const noexcept {
    return is_ended_by_peer(read_error_);
}

std::string backend_call::failure() const {
    return read_error_ ? read_error_.message() : "not a valid response";
}

void backend_call::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

} // namespace tarragonspar::http
