#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::http {

namespace detail {
class idle_list;
}

/// @brief What a server needs to know.
struct server_options {
    settings::endpoint listen;
    settings::http_limits limits;
    std::shared_ptr<boost::asio::ssl::context> tls; ///< null: plain TCP
};

/// @brief Handles one request; must send exactly one response.
using handler = std::function<boost::asio::awaitable<void>(exchange&)>;

/// @brief Accepts connections and runs a coroutine for each.
class server : public std::enable_shared_from_this<server> {
public:
    /// @throw boost::system::system_error if the address can't be bound
    server(boost::asio::io_context& context, server_options options, handler handle);

    /// @brief Starts to accept.
    void start();

    /// @brief Accepts what has connected already and what is being opened, then nothing more.
    void stop_accepting();

    /// @brief Whether nothing more is accepted and no connection is open.
    [[nodiscard]] bool has_ended() const noexcept {
        return closed_ && connections_ == 0;
    }

    /// @brief Replaces the limits on requests to come.
    void set_limits(const settings::http_limits& limits);

    /// @brief Closes connections on which no request is being read or answered, and has the others
    /// close after their answer. New connections are still accepted, and one that has just been
    /// opened is left a second for its first request.
    void close_idle();

    /// @brief Replaces the certificates for connections to come.
    void set_tls(std::shared_ptr<boost::asio::ssl::context> tls);

    /// @brief The port bound, useful when 0 was asked for.
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Open connections.
    [[nodiscard]] std::size_t connections() const noexcept {
        return connections_.load();
    }

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> close_acceptor();
    void accept_waiting();
    void take(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& context_;
    server_options options_;
    handler handle_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<std::size_t> connections_{0};
    std::atomic<bool> leaving_{false};  ///< connections end after their next answer
    std::atomic<bool> stopping_{false}; ///< the acceptor is being closed
    std::atomic<bool> closed_{false};   ///< nothing more is accepted
    std::atomic<std::shared_ptr<const settings::http_limits>> limits_;
    std::shared_ptr<detail::idle_list> idle_;
    std::atomic<std::shared_ptr<boost::asio::ssl::context>> tls_;
};

/// @brief Loads certificates.
/// @throw boost::system::system_error if a file can't be used
[[nodiscard]] std::shared_ptr<boost::asio::ssl::context>
make_server_tls(const settings::tls_files& files);

} // namespace tarragonspar::http
