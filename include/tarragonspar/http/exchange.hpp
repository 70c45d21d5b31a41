#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tarragonspar::http {

namespace beast_http = boost::beast::http;

using request_message = beast_http::request<beast_http::string_body>;
using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief A complete response.
struct reply {
    unsigned status{200};
    std::string content_type{"application/json"};
    header_list headers;
    std::string body;
    bool close{false}; ///< whether to close the connection after this response
};

/// @brief Refuses a request on its head, before its body has been read; nothing: it may be read.
/// Not called for requests without a body, or whose body has arrived with the head.
using head_check = std::function<std::optional<reply>(const request_message&)>;

/// @brief One request of a caller and the functions to respond to it.
///
/// All functions must be called from the coroutine that handles the request. Functions that send
/// return false once the caller has disconnected. No function throws.
class exchange {
public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;
    virtual ~exchange() = default;

    [[nodiscard]] virtual const request_message& request() const = 0;

    /// @brief Returns the body and removes it from `request()`, so that it is kept only once. Its
    /// bytes count towards the budget for callers until the request has been handled.
    virtual std::string take_body() = 0;

    /// @brief Returns the value of a header, or an empty string.
    [[nodiscard]] std::string header(std::string_view name) const;

    /// @brief Sends a complete response.
    virtual boost::asio::awaitable<bool> respond(reply response) = 0;

    /// @brief Starts a response of unknown length.
    virtual boost::asio::awaitable<bool> begin_stream(unsigned status, std::string content_type,
                                                      header_list headers) = 0;

    /// @brief Sends a piece of a started response.
    virtual boost::asio::awaitable<bool> write(std::string piece) = 0;

    /// @brief Ends a started response.
    virtual boost::asio::awaitable<bool> end_stream() = 0;

    /// @brief Closes the connection so that the caller detects that the response is incomplete.
    virtual void abort() = 0;

    /// @brief Calls `callback` once if the caller closes its connection before the response ends.
    virtual void on_disconnect(std::function<void()> callback) = 0;
};

} // namespace tarragonspar::http
