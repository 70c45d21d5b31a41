#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/config/catalogue.hpp"
#include "tarragonspar/dispatch/grant_scheduler.hpp"
#include "tarragonspar/gateway/dialect.hpp"
#include "tarragonspar/http/backend_call.hpp"
#include "tarragonspar/http/event_splitter.hpp"

namespace tarragonspar::gateway {

/// How one attempt at a backend server ended.
enum class attempt_end : std::uint8_t {
    done,          ///< the caller has its final answer
    not_connected, ///< nothing was sent
    not_executed,  ///< the server reported that it did not run the request
    failed,        ///< the server failed; it may have run the request
    /// The server ended the connection before the end of its answer, as a crash does; it may have
    /// run the request.
    server_lost,
    stopped, ///< the caller disconnected or the deadline passed
};

/// @brief A caller's request while it is open. Used on the entry instance's thread only.
struct relayed_request {
    relayed_request(boost::asio::any_io_executor executor, caller_request from)
        : caller(std::move(from)), wakeup(executor), deadline_timer(executor),
          stall_timer(executor) {}

    caller_request caller;
    std::shared_ptr<const config::catalogue_index> catalogue;
    const config::route* route{nullptr}; ///< belongs to `catalogue`
    std::string service;
    std::string workspace; ///< empty: anonymous
    std::uint32_t tokens_per_event{1};
    work_item work;
    std::string method;
    std::string target;
    std::shared_ptr<const std::string> body; ///< shared with the calls to servers

    boost::asio::steady_timer wakeup;         ///< cancelled when one of the members below changes
    boost::asio::steady_timer deadline_timer; ///< ends the request at its deadline
    boost::asio::steady_timer stall_timer;    ///< ends an attempt that makes no progress
    time_point last_progress{}; ///< time of the last event, or of the start of the attempt
    duration stall_timeout{};   ///< time without progress after which the attempt is aborted
    duration failover_after{};  ///< time without progress after which another server is asked for
    /// Time of the last event at the moment when another server was last asked for.
    std::optional<time_point> failover_asked_in;
    /// Id of the request for another server, until it is refused, withdrawn or used.
    std::optional<request_id> failover_id;
    std::optional<dispatch::grant> failover_grant; ///< the other server
    time_point failover_retry_at{};                ///< when its retry was acquired
    duration longest_gap{}; ///< longest time between two events of the answer
    std::optional<dispatch::grant_result> grant_result;
    bool caller_gone{false}; ///< the caller closed its connection
    bool timed_out{false};   ///< the deadline has passed
    std::shared_ptr<http::backend_call> call;
    std::optional<dispatch::grant> current_grant;
    /// What became of the last server that was lost.
    dispatch::server_fate lost_server_fate{dispatch::server_fate::unknown};
    std::optional<duration> server_backoff; ///< backoff requested by the last server that declined

    std::uint32_t attempts{0};    ///< servers that the request was sent to
    std::uint32_t unreachable{0}; ///< servers that accepted no connection
    bool may_have_run{false};     ///< the request was sent to a server that did not decline it
    bool retry_allowed{false};    ///< the retry allowance has already granted another attempt
    /// A complete answer with an error, for the case that no other server gives a better one.
    std::optional<http::reply> kept_answer;
    bool response_started{false}; ///< the head of the answer has been sent to the caller
    /// The last event that the caller has received, on an earlier connection if the stream may be
    /// continued.
    std::optional<std::uint64_t> last_event;
    std::uint32_t events{0};
    std::uint64_t bytes_sent{0};
    unsigned status{0}; ///< status of the answer to the caller

    time_point granted_at{};
    time_point sent_at{};        ///< to the last server
    bool granted_locally{false}; ///< by the local grant scheduler, without a reachable leader
    time_point first_event_at{};

    [[nodiscard]] bool is_over() const noexcept {
        return caller_gone || timed_out;
    }
};

} // namespace tarragonspar::gateway
