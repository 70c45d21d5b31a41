#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include "tarragonspar/http/caller_guard.hpp"
#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::http {

namespace detail {
class idle_list;
}

/// @brief Settings of a server.
struct server_options {
    settings::endpoint listen;
    settings::http_limits limits;
    std::shared_ptr<boost::asio::ssl::context> tls; ///< null: plain TCP
    std::shared_ptr<caller_guard> guard;            ///< null: the server has its own
    head_check check_head;                          ///< may be empty
};

/// @brief Handles one request; must send exactly one response.
using handler = std::function<boost::asio::awaitable<void>(exchange&)>;

/// @brief Accepts connections and runs one coroutine per connection.
class server : public std::enable_shared_from_this<server> {
public:
    /// @throw boost::system::system_error if the address is invalid or can't be bound
    server(boost::asio::io_context& context, server_options options, handler handle);

    /// @brief Starts to accept connections.
    void start();

    /// @brief Accepts connections that are established or being established, then stops listening.
    void stop_accepting();

    /// @brief Whether the server no longer accepts connections and none is open.
    [[nodiscard]] bool has_ended() const noexcept {
        return closed_ && connections_ == 0;
    }

    /// @brief Replaces the limits for future requests.
    void set_limits(const settings::http_limits& limits);

    /// @brief Closes connections on which no request is being read or answered, and makes the
    /// others close after their response. New connections are still accepted; a connection that has
    /// just been opened stays open for up to a second to receive its first request.
    void close_idle();

    /// @brief Replaces the certificates for future connections.
    void set_tls(std::shared_ptr<boost::asio::ssl::context> tls);

    /// @brief Returns the bound port, for a server that was configured with port 0.
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Returns the number of open connections.
    [[nodiscard]] std::size_t connections() const noexcept {
        return connections_.load();
    }

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> close_acceptor();
    void accept_pending();
    void start_session(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& context_;
    server_options options_;
    handler handle_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<std::size_t> connections_{0};
    std::atomic<bool> draining_{false}; ///< connections close after their next response
    std::atomic<bool> stopping_{false}; ///< the acceptor is being closed
    std::atomic<bool> closed_{false};   ///< the acceptor is closed
    std::atomic<std::shared_ptr<const settings::http_limits>> limits_;
    std::shared_ptr<detail::idle_list> idle_;
    std::shared_ptr<caller_guard> guard_;
    unsigned number_; ///< at the guard
    std::atomic<std::shared_ptr<boost::asio::ssl::context>> tls_;
};

/// @brief Creates a TLS context from certificate files.
/// @throw boost::system::system_error if a file can't be read or is invalid
[[nodiscard]] std::shared_ptr<boost::asio::ssl::context>
make_server_tls(const settings::tls_files& files);

} // namespace tarragonspar::http
