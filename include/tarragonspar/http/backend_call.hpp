#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::http {

/// @brief Bounds of a call to a backend server.
struct backend_call_options {
    /// Time for a connection to be established: many round trips inside a region. A server that is
    /// overrun drops the opening packet, and the next one comes a second later, so waiting longer
    /// brings nothing before that.
    std::chrono::milliseconds connect_timeout{200};
    /// Time without any sign of life, after which a server counts as lost.
    std::chrono::milliseconds silence_timeout{2'500};
    /// Time from the first byte of a head to its end: heads are written at once, so many round
    /// trips are enough for a lost packet or two.
    std::chrono::milliseconds head_timeout{2'000};
    std::size_t max_header_bytes{64 * 1024};
    std::size_t read_bytes{16 * 1024}; ///< bytes of a body that one read takes
    /// Interim responses before the final one; servers send one or two.
    int max_interim_responses{8};
};

/// @brief Status and headers of an answer.
struct answer_head {
    unsigned status{};
    header_list headers; ///< without those that concern only one connection

    /// @brief Value of a header, or an empty string.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// @brief A part of an answer's body.
struct body_part {
    std::string bytes;
    bool whole{false};  ///< the body ended as the server had announced
    bool broken{false}; ///< the connection was lost or the bytes are not HTTP
};

/// @brief One request to a backend server, on a connection of its own.
///
/// A connection that carried another request before may still deliver bytes of it, or be dead
/// without a sign; a fresh one can't, at the price of a round trip. All functions are called from
/// one executor; `close` may be called while another one waits, which then fails.
class backend_call : public std::enable_shared_from_this<backend_call> {
public:
    explicit backend_call(boost::asio::any_io_executor executor,
                          const backend_call_options& options = {});

    /// @brief Connects; nothing of the request is sent.
    /// @return whether the server accepted the connection
    boost::asio::awaitable<bool> connect(settings::endpoint at);

    /// @brief Begins to send a request; the answer may be read while the body is still being sent.
    void send(std::string method, std::string target, header_list headers, std::string body);

    /// @brief Reads status and headers; interim responses are passed over.
    /// @return nothing if the connection is lost, the bytes are not HTTP, or the head exceeds its
    /// bounds in bytes, time or interim responses
    boost::asio::awaitable<std::optional<answer_head>> read_head();

    /// @brief Reads on; waits for the next bytes or the end. What is no body, such as extensions
    /// of chunks and trailers, is bounded in size like a head.
    boost::asio::awaitable<body_part> read_body();

    /// @brief Ends the connection, which also ends the work at most servers.
    void close();

private:
    using request_type = beast_http::request<beast_http::string_body>;

    boost::asio::awaitable<bool> read_one_head();

    backend_call_options options_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<request_type> request_;
    std::unique_ptr<beast_http::request_serializer<beast_http::string_body>> serializer_;
    std::unique_ptr<beast_http::response_parser<beast_http::buffer_body>> parser_;
    bool head_request_{false};
};

/// @brief Whether a header concerns only one connection, so that it is not passed on.
[[nodiscard]] bool is_hop_header(std::string_view name) noexcept;

} // namespace tarragonspar::http
