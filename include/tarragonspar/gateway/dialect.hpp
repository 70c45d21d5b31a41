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

/// @brief Serving callers on a platform that speaks its own protocol.
namespace tarragonspar::gateway {

/// @brief A part of a prompt that several requests may share.
struct prompt_part {
    std::uint64_t key{}; ///< equal parts have equal keys
    token_count tokens;
};

/// @brief What a caller's request says about itself.
struct caller_request {
    std::string name; ///< the caller's own id of this request
    std::string host;
    std::string workspace_key;
    std::optional<std::chrono::milliseconds> time_left; ///< as the caller said it
    token_count prompt;
    token_count max_output;
    token_count expected_output; ///< the caller's estimate; 0: none
    std::vector<prompt_part> parts;
    std::optional<std::uint64_t> resume_after; ///< last event that the caller has
    http::header_list passed_on;               ///< headers for the server, as they came
    std::string fault;                         ///< not empty: why the request is malformed
};

/// @brief What the system itself says in a request to a backend server.
struct dispatch_terms {
    std::chrono::milliseconds time_left{};
    std::string server_name; ///< a server of another name must not run the request
    std::string workspace;   ///< empty: none
    std::optional<std::uint64_t> resume_after;
};

/// @brief What an answer says about itself.
struct answer_marks {
    std::string request_name; ///< id of the request that it answers; empty: not said
    bool not_executed{false}; ///< the server did not run the request
    bool signed_by_server{false};
    bool server_leaves{false}; ///< the server stops soon and wants no further work
    /// Time for which the server wants nothing from this instance; only in refusals.
    std::optional<duration> wanted_pause;
};

/// @brief An operator publishes a document.
struct publish_call {
    std::string content;
};
/// @brief An operator reads the newest document.
struct read_call {};
using operator_call = std::variant<std::monostate, publish_call, read_call>;

/// @brief A document that was read, or why it is invalid.
struct catalogue_result {
    config::catalogue value;
    std::vector<std::string> faults;
};

/// @brief A page of the platform's list of backend servers.
struct server_page {
    bool readable{false};
    std::vector<config::server> servers;
    std::optional<std::string> next; ///< token of the following page
};

/// @brief The platform's names and formats. It translates and decides nothing.
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

    /// @brief The headers of a request to a backend server.
    [[nodiscard]] virtual http::header_list server_headers(const caller_request& from,
                                                           const dispatch_terms& terms) const = 0;

    [[nodiscard]] virtual answer_marks read_marks(const http::answer_head& head) const = 0;

    [[nodiscard]] virtual operator_call
    read_operator_call(const http::request_message& request) const = 0;

    [[nodiscard]] virtual catalogue_result read_catalogue(const std::string& content) const = 0;

    /// @brief Path of a page of the list of backend servers.
    [[nodiscard]] virtual std::string
    server_list_target(const std::optional<std::string>& page) const = 0;

    [[nodiscard]] virtual server_page read_server_page(const std::string& content) const = 0;

    /// @brief Whether a request asks if this instance is ready.
    [[nodiscard]] virtual bool asks_readiness(const http::request_message& request) const = 0;
};

} // namespace tarragonspar::gateway
