#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "tarragonspar/dispatch/answer.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

/// @brief Client of backend servers; docs/ENGINES.md describes the interface that it uses.
namespace tarragonspar::http {

/// @brief Bounds of requests to one backend server.
struct engine_client_options {
    std::chrono::milliseconds connect_timeout{500};
    /// Time without a byte after which a stream counts as stalled.
    std::chrono::milliseconds read_timeout{2500};
    /// Time without an event after which a stream is resumed even if other bytes arrive, such as
    /// comments. Long enough for an engine that preempts a request and computes its prompt again.
    std::chrono::milliseconds stall_timeout{20'000};
    /// Delay before a resumption that follows one without progress, multiplied by the number of
    /// consecutive resumptions without progress.
    std::chrono::milliseconds resume_backoff{100};
    int max_resumptions{6}; ///< consecutive resumptions without progress
    std::size_t max_body_bytes{8 * 1024 * 1024};
    std::size_t max_event_bytes{1024 * 1024}; ///< maximum size of an incomplete event
    std::chrono::milliseconds service_timeout{30'000};
};

/// @brief How an upstream request ended.
enum class upstream_end : std::uint8_t {
    not_written,   ///< no byte was written; the request did not run
    right_refused, ///< the dispatch right was refused; no byte was written
    finished,      ///< `answer_finished` was delivered
};

/// @brief Cancels an upstream request.
///
/// Thread-safe.
class upstream_control {
public:
    /// @brief Requests that the upstream request be ended and cancelled at the server.
    void cancel();

    [[nodiscard]] bool cancelled() const noexcept {
        return cancelled_.load();
    }

    /// @brief Sets the function that interrupts the current operation; called by the upstream
    /// request.
    void set_interrupt(std::function<void()> interrupt);

private:
    std::atomic<bool> cancelled_{false};
    std::mutex mutex_;
    std::function<void()> interrupt_;
};

/// @brief Callbacks of an upstream request.
struct upstream_callbacks {
    /// Acquires the dispatch right; nothing is written unless it returns true.
    std::function<boost::asio::awaitable<bool>()> acquire_right;
    /// Delivers an event; returns false if the answer is no longer needed.
    std::function<boost::asio::awaitable<bool>(dispatch::answer_event)> deliver;
};

/// @brief A request to a backend server.
struct upstream_request {
    request_id id;
    server_id server;
    std::string address; ///< `IP:port`
    dispatch::call_body call;
    std::shared_ptr<upstream_control> control;
};

/// @brief Dispatches a request to an engine or a plain service and relays the complete answer.
///
/// Opens a new connection, acquires the dispatch right, then writes. After the first byte, a broken
/// or stalled engine stream is resumed by id and offset; the request is never dispatched again.
boost::asio::awaitable<upstream_end> run_upstream_request(engine_client_options options,
                                                          upstream_request request,
                                                          upstream_callbacks callbacks);

/// @brief Resumes the stream of a request that another instance dispatched.
/// @param offset  number of tokens that the caller has already received
boost::asio::awaitable<void> resume_upstream_request(engine_client_options options,
                                                     upstream_request request, std::uint64_t offset,
                                                     upstream_callbacks callbacks);

/// @brief Sends a short request to a backend server, such as one for its load report.
/// @return the body of a 200 response, or an empty string
boost::asio::awaitable<std::string> fetch(engine_client_options options, std::string address,
                                          std::string method, std::string target,
                                          std::string body = {});

} // namespace tarragonspar::http
