#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/config/catalogue.hpp"
#include "tarragonspar/dispatch/grant_desk.hpp"
#include "tarragonspar/gateway/dialect.hpp"
#include "tarragonspar/http/backend_call.hpp"
#include "tarragonspar/http/event_splitter.hpp"

namespace tarragonspar::gateway {

/// How one attempt at a backend server ended.
enum class attempt_end : std::uint8_t {
    done,          ///< the caller has its final answer
    not_connected, ///< nothing was sent
    not_executed,  ///< the server said that it did not run the request
    failed,        ///< the server failed or broke off; it may have run the request
    stopped,       ///< the caller left or the time ran out
};

/// @brief A caller's request while it is open; used on the entry instance's thread only.
struct relayed_request {
    relayed_request(boost::asio::any_io_executor executor, caller_request from)
        : caller(std::move(from)), wake(executor), limit(executor), quiet(executor) {}

    caller_request caller;
    std::shared_ptr<const config::catalogue_index> catalogue;
    const config::route* route{nullptr}; ///< belongs to `catalogue`
    std::string service;
    std::string workspace; ///< empty: anonymous
    std::uint32_t tokens_per_event{1};
    work_item work;
    std::string method;
    std::string target;
    std::string body;

    boost::asio::steady_timer wake;  ///< cancelled when something below changes
    boost::asio::steady_timer limit; ///< ends the request at its deadline
    boost::asio::steady_timer quiet; ///< ends an attempt that makes no progress
    time_point progressed{};         ///< start of the attempt, or its last event
    duration max_quiet{};            ///< time without progress that ends the attempt
    duration longest_pause{};        ///< between two events of the answer
    std::optional<dispatch::verdict> verdict;
    bool gone{false};      ///< the caller closed its connection
    bool timed_out{false}; ///< the deadline has passed
    std::shared_ptr<http::backend_call> call;
    std::optional<dispatch::grant> running_at;
    std::optional<duration> server_pause; ///< what the last server that declined asked for

    std::uint32_t attempts{0};    ///< servers that the request was sent to
    std::uint32_t unreachable{0}; ///< servers that took no connection
    bool may_have_run{false};     ///< some server was sent the request and did not decline it
    bool again{false};            ///< another attempt was allowed already
    bool begun{false};            ///< the caller has the head of its answer
    std::optional<std::uint64_t> last_event;
    std::uint32_t events{0};
    std::uint64_t bytes_out{0};
    unsigned status{0}; ///< what the caller was told

    time_point granted{};
    bool granted_alone{false}; ///< without a scheduler in reach
    time_point first_event{};

    [[nodiscard]] bool is_over() const noexcept {
        return gone || timed_out;
    }
};

} // namespace tarragonspar::gateway
