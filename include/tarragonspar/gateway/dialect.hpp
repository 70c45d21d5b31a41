#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/config/document.hpp"
#include "tarragonspar/http/backend_call.hpp"
#include "tarragonspar/http/exchange.hpp"

/// @brief Serves callers on a platform that has its own protocol.
namespace tarragonspar::gateway {

/// @brief A part of a prompt that several requests may share.
struct prompt_part {
    std::uint64_t key{}; ///< equal parts have equal keys
    token_count tokens;
};

/// @brief The metadata of a caller's request.
struct caller_request {
    std::string name; ///< the caller's id of this request
    std::string host;
    std::string workspace_key;
    std::optional<std::chrono::milliseconds> time_left; ///< as the caller gave it
    token_count prompt;
    token_count max_output;
    token_count expected_output; ///< the caller's estimate; 0: none
    std::vector<prompt_part> parts;
    std::optional<std::uint64_t> resume_after; ///< id of the last event that the caller received
    /// The caller's id of the earlier request whose answer began the stream that it takes up.
    std::string resumed_attempt;
    http::header_list forwarded_headers; ///< headers for the server, unchanged
    std::string error;                   ///< why the request is malformed; empty: it is not
};

/// @brief The values that the system itself sets in a request to a backend server.
struct dispatch_terms {
    std::chrono::milliseconds time_left{};
    std::string server_name; ///< name of the only server that may run the request
    std::string workspace;   ///< empty: none
    std::optional<std::uint64_t> resume_after;
};

/// @brief The metadata of an answer.
struct answer_metadata {
    std::string request_name;     ///< id of the request that it answers; empty: not given
    bool not_executed{false};     ///< the server did not run the request
    bool signed_by_server{false}; ///< it has the signature by which callers know a server's answer
    bool encoded{false};          ///< its body has a content coding, which callers don't request
    bool server_draining{false};  ///< the server shuts down soon and accepts no further work
    /// Time for which this instance must not send to the server; only in refusals.
    std::optional<duration> requested_backoff;
    bool names_request_limit{false}; ///< even if the named value can't be read
    /// Requests a second that the server accepts from all instances together.
    std::optional<double> request_limit;
};

/// @brief An operator's call that publishes a document.
struct publish_call {
    std::string content;
};
/// @brief An operator's call that reads the newest document.
struct read_call {};
using operator_call = std::variant<std::monostate, publish_call, read_call>;

/// @brief A catalogue read from a document, or the errors found in it.
struct catalogue_result {
    config::catalogue value;
    std::vector<std::string> errors;
};

/// @brief A page of the platform's list of backend servers.
struct server_page {
    bool readable{false};
    std::vector<config::server> servers;
    std::optional<std::string> next; ///< token of the following page
};

/// @brief Translates the platform's names and formats to the project's types. It decides nothing.
class dialect {
public:
    dialect() = default;
    dialect(const dialect&) = delete;
    dialect& operator=(const dialect&) = delete;
    dialect(dialect&&) = delete;
    dialect& operator=(dialect&&) = delete;
    virtual ~dialect() = default;

    [[nodiscard]] virtual caller_request
    read_request(const http::request_message& request) const = 0;

    /// @brief Returns the headers of a request to a backend server.
    [[nodiscard]] virtual http::header_list server_headers(const caller_request& from,
                                                           const dispatch_terms& terms) const = 0;

    [[nodiscard]] virtual answer_metadata read_metadata(const http::answer_head& head) const = 0;

    [[nodiscard]] virtual operator_call
    read_operator_call(const http::request_message& request) const = 0;

    [[nodiscard]] virtual catalogue_result read_catalogue(const std::string& content) const = 0;

    /// @brief Returns the target of a page of the list of backend servers.
    /// @param page  the token of the page; nothing: the first page
    [[nodiscard]] virtual std::string
    server_list_target(const std::optional<std::string>& page) const = 0;

    [[nodiscard]] virtual server_page read_server_page(const std::string& content) const = 0;

    /// @brief Whether a request is a readiness check of this instance.
    [[nodiscard]] virtual bool is_readiness_check(const http::request_message& request) const = 0;
};

} // namespace tarragonspar::gateway
