#include "tarragonspar/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <glog/logging.h>

#include "tarragonspar/http/detail/new_connections.hpp"
#include "tarragonspar/http/detail/serve.hpp"
#include "tarragonspar/settings/machine.hpp"

namespace tarragonspar::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Maximum number of connections that wait to be accepted.
constexpr int listen_backlog = 1024;
/// Delay after a failed accept, for example if no file descriptors are left.
constexpr auto accept_backoff = std::chrono::milliseconds{50};
/// Part of the limit by which the number of connections may exceed it for a moment.
constexpr std::size_t excess_divisor = 8;
/// Time for connections that are being established before the listening socket is closed: the
/// longest expected round trip between a caller and an instance.
constexpr auto handshake_grace = std::chrono::milliseconds{50};

/// Logs an exception that ended a connection; other connections are not affected.
void log_unexpected(const std::exception_ptr& error) {
    if (!error) {
        return;
    }
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& exception) {
        LOG(ERROR) << "event=unexpected_error what=\"" << exception.what() << '"';
    }
}

} // namespace

std::string exchange::header(std::string_view name) const {
    const auto found = request().find(boost::beast::string_view(name.data(), name.size()));
    return found == request().end() ? std::string{} : std::string(found->value());
}

server::server(asio::io_context& context, server_options options, handler handle)
    : context_(context), options_(std::move(options)), handle_(std::move(handle)),
      acceptor_(asio::make_strand(context)), idle_(std::make_shared<detail::idle_list>()),
      guard_(options_.guard), number_(0), tls_(options_.tls) {
    options_.limits = settings::with_defaults(options_.limits, settings::read_machine());
    if (!guard_) {
        guard_ = std::make_shared<caller_guard>(context, options_.limits.max_buffered_bytes,
                                                caller_guard::observers{});
    }
    number_ = guard_->add_server();
    set_limits(options_.limits);
    const tcp::endpoint endpoint(asio::ip::make_address(options_.listen.address),
                                 options_.listen.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    // Accepted sockets inherit the sizes. Bytes that have arrived but have not been read count
    // towards the memory of the process.
    if (options_.limits.socket_buffer_bytes > 0) {
        const auto size = static_cast<int>(options_.limits.socket_buffer_bytes);
        acceptor_.set_option(asio::socket_base::receive_buffer_size(size));
        acceptor_.set_option(asio::socket_base::send_buffer_size(size));
    }
    acceptor_.bind(endpoint);
    acceptor_.listen(listen_backlog);
}

void server::start() {
    asio::co_spawn(
        acceptor_.get_executor(), [self = shared_from_this()] { return self->accept_loop(); },
        asio::detached);
}

void server::stop_accepting() {
    draining_ = true;
    if (stopping_.exchange(true)) {
        return;
    }
    asio::co_spawn(
        acceptor_.get_executor(), [self = shared_from_this()] { return self->close_acceptor(); },
        asio::detached);
}

asio::awaitable<void> server::close_acceptor() {
    if (const auto error = detail::drop_new_connections(acceptor_.native_handle())) {
        LOG(WARNING) << "event=new_connections_not_dropped address=" << options_.listen.address
                     << " why=\"" << error.message() << '"';
    }
    asio::steady_timer delay(acceptor_.get_executor(), handshake_grace);
    co_await delay.async_wait(detail::as_result);
    accept_pending();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    closed_ = true;
}

void server::accept_pending() {
    // Closing the acceptor resets connections that wait to be accepted, even if a request was
    // already sent on them.
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(asio::make_strand(context_));
        acceptor_.accept(socket, error);
        if (!error) {
            start_session(std::move(socket));
        }
    }
}

void server::set_limits(const settings::http_limits& limits) {
    guard_->require(largest_request(limits.max_header_bytes, limits.max_body_bytes));
    limits_ = std::make_shared<const settings::http_limits>(limits);
}

void server::close_idle() {
    draining_ = true;
    idle_->close_all();
}

void server::set_tls(std::shared_ptr<asio::ssl::context> tls) {
    tls_ = std::move(tls);
}

std::uint16_t server::port() const {
    return acceptor_.local_endpoint().port();
}

asio::awaitable<void> server::accept_loop() {
    while (!closed_) {
        auto [error, socket] =
            co_await acceptor_.async_accept(asio::make_strand(context_), detail::as_result);
        if (error && closed_) {
            co_return;
        }
        if (error) {
            asio::steady_timer delay(acceptor_.get_executor(), accept_backoff);
            co_await delay.async_wait(detail::as_result);
            continue;
        }
        start_session(std::move(socket));
    }
}

void server::start_session(tcp::socket socket) {
    const auto limit = limits_.load()->max_connections;
    // Connections that are being closed still count, so the bound may be exceeded for a moment.
    const auto is_full = connections_ >= limit + limit / excess_divisor + 1;
    if (is_full || (connections_ >= limit && !guard_->make_room(number_))) {
        return; // the destructor closes the socket
    }
    // Counted here and not in the coroutine, so that `has_ended` includes connections whose
    // coroutine has not started.
    ++connections_;
    auto executor = socket.get_executor();
    asio::co_spawn(
        executor,
        [self = shared_from_this(), connection = std::move(socket)]() mutable {
            return self->serve(std::move(connection));
        },
        [self = shared_from_this()](const std::exception_ptr& error) {
            --self->connections_;
            log_unexpected(error);
        });
}

asio::awaitable<void> server::serve(tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto tls = tls_.load();
    const detail::session_context context{.limits = limits_,
                                          .draining = draining_,
                                          .handle = handle_,
                                          .idle = *idle_,
                                          .check_head = options_.check_head,
                                          .guard = guard_,
                                          .server = number_};
    if (tls) {
        co_await detail::serve_tls(std::move(socket), tls, context);
    } else {
        co_await detail::serve_plain(std::move(socket), context);
    }
}

std::shared_ptr<asio::ssl::context> make_server_tls(const settings::tls_files& files) {
    auto tls = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    tls->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1 |
                     asio::ssl::context::no_tlsv1_1);
    tls->use_certificate_chain_file(files.certificate);
    tls->use_private_key_file(files.private_key, asio::ssl::context::pem);
    if (!files.authorities.empty()) {
        tls->load_verify_file(files.authorities);
        tls->set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    }
    return tls;
}

} // namespace tarragonspar::http
