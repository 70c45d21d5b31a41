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
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::http {

/// @brief Bounds of a call to a backend server.
struct backend_call_options {
    /// Time for a connection to be established; many round trips within a region. An overloaded
    /// server drops the SYN, which is retransmitted only after a second, so that a slightly longer
    /// timeout would not help.
    std::chrono::milliseconds connect_timeout{200};
    /// Time without an acknowledgement, of data or of keep-alive probes, after which the server
    /// counts as lost.
    std::chrono::milliseconds tcp_user_timeout{2'500};
    /// Time from the first byte of a head to its end. Servers write a head at once, so this only
    /// has to cover the retransmission of a lost packet or two.
    std::chrono::milliseconds head_timeout{2'000};
    std::size_t max_header_bytes{64 * 1024};
    std::size_t read_bytes{16 * 1024}; ///< maximum size of one read of a body
    /// Interim responses before the final one; servers send one or two.
    int max_interim_responses{8};
};

/// @brief Status and headers of a response.
struct answer_head {
    unsigned status{};
    header_list headers; ///< without hop-by-hop headers

    /// @brief Returns the value of a header, or an empty string.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// @brief A part of a response's body.
struct body_part {
    std::string bytes;
    bool complete{false}; ///< the body is complete as announced by the server
    bool broken{false};   ///< the connection was lost or the bytes are not valid HTTP
};

/// @brief One request to a backend server, on a connection of its own.
///
/// Connections are not reused: one that carried another request may still deliver bytes of it, or
/// may have been lost unnoticed. A new connection costs one round trip. All functions must be
/// called from one executor; `close` may be called while another one is suspended, which then
/// fails.
class backend_call : public std::enable_shared_from_this<backend_call> {
public:
    explicit backend_call(boost::asio::any_io_executor executor,
                          const backend_call_options& options = {});

    /// @brief Connects without sending any part of the request.
    /// @return whether the server accepted the connection
    boost::asio::awaitable<bool> connect(settings::endpoint server);

    /// @brief Starts to send a request; the response may be read while the body is still being
    /// sent.
    /// @param body  shared, so that each attempt does not copy it; null: empty
    void send(std::string method, std::string target, header_list headers,
              std::shared_ptr<const std::string> body);

    /// @brief Reads status and headers; skips interim responses.
    /// @return nothing if the connection is lost, the bytes are not valid HTTP, the status is none
    /// of HTTP's, or the head exceeds its bounds in bytes, time or interim responses
    boost::asio::awaitable<std::optional<answer_head>> read_head();

    /// @brief Waits for and returns the next part of the body. Chunk extensions and trailers are
    /// subject to the same size limit as a head.
    boost::asio::awaitable<body_part> read_body();

    /// @brief Whether the body has neither a length nor chunks and ends with the connection, so
    /// that its end does not tell whether the server finished it.
    [[nodiscard]] bool ends_with_connection() const;

    /// @brief Closes the connection; most servers then abort the request.
    void close();

    /// @brief Whether the server closed or reset the connection before its response was complete.
    /// False after a time-out, after bytes that are not valid HTTP, and if this side closed it.
    [[nodiscard]] bool was_lost() const noexcept;

    /// @brief Returns why the last read failed, for logs.
    [[nodiscard]] std::string failure() const;

    /// @brief Whether a part of the request has not been written.
    [[nodiscard]] bool is_upload_incomplete() const noexcept {
        return upload_incomplete_;
    }

private:
    using request_type = beast_http::request<beast_http::span_body<const char>>;

    void continue_upload();
    boost::asio::awaitable<bool> read_one_head();

    /// @brief Returns the error that ended a read, or the upload's if that is the cause.
    [[nodiscard]] boost::beast::error_code cause_of(const boost::beast::error_code& error) const;

    backend_call_options options_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::shared_ptr<const std::string> body_;
    std::unique_ptr<request_type> request_;
    std::unique_ptr<beast_http::request_serializer<beast_http::span_body<const char>>> serializer_;
    std::unique_ptr<beast_http::response_parser<beast_http::buffer_body>> parser_;
    boost::beast::error_code read_error_;
    boost::beast::error_code upload_error_;
    bool upload_incomplete_{false};
    bool head_request_{false};
};

/// @brief Whether the result of sending a request makes the end of the connection no end of a
/// response without a length. A connection reports an error once: if sending receives it, a later
/// read sees an orderly end. After a broken pipe the end is orderly, since the server had ended its
/// response before it reset the connection.
[[nodiscard]] bool is_cut_off(const boost::beast::error_code& sent) noexcept;

/// @brief Whether a status code is one of HTTP's classes, 100 to 599. A response with another one
/// is no answer (RFC 9110, section 15).
[[nodiscard]] bool is_valid_status(unsigned status) noexcept;

/// @brief Whether a header is hop-by-hop and must not be forwarded.
[[nodiscard]] bool is_hop_header(std::string_view name) noexcept;

/// @brief Whether a body is encoded for the connection in a way that is not decoded here, so that
/// its bytes are not the content.
[[nodiscard]] bool has_unknown_coding(const beast_http::fields& head);

} // namespace tarragonspar::http
