#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "tarragonspar/dispatch/answer.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

/// @brief Adapter to backend servers; docs/ENGINES.md describes the interface it speaks.
namespace tarragonspar::http {

/// @brief Bounds on talking to one backend server.
struct engine_client_options {
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds silence_timeout{2500}; ///< without a byte, a stream counts as silent
    /// Without an event, a stream is resumed even if other bytes come, such as comments: long
    /// enough for an engine that preempts a request and reads it again.
    std::chrono::milliseconds stall_timeout{20'000};
    std::chrono::milliseconds resume_pause{100}; ///< before the second and later resumptions
    int max_resumptions{6};                      ///< in a row without progress
    std::size_t max_body_bytes{8 * 1024 * 1024};
    std::size_t max_event_bytes{1024 * 1024}; ///< of one event that has not ended
    std::chrono::milliseconds service_timeout{30'000};
};

/// How a leg to a backend server ended.
enum class leg_end : std::uint8_t {
    not_written,   ///< no byte was written; the request did not run
    right_refused, ///< the dispatch right was refused; no byte was written
    finished,      ///< `answer_finished` was delivered
};

/// @brief Ends a leg from outside.
///
/// Safe to call from several threads.
class leg_control {
public:
    /// @brief Asks the leg to stop and cancel the request at the server.
    void cancel();

    [[nodiscard]] bool cancelled() const noexcept {
        return cancelled_.load();
    }

    /// @brief Sets what interrupts the operation under way; called by the leg.
    void set_interrupt(std::function<void()> interrupt);

private:
    std::atomic<bool> cancelled_{false};
    std::mutex mutex_;
    std::function<void()> interrupt_;
};

/// @brief What a leg asks of its surroundings.
struct leg_hooks {
    /// Asks for the dispatch right; nothing is written unless it returns true.
    std::function<boost::asio::awaitable<bool>()> acquire_right;
    /// Delivers an event; returns false when nobody wants the answer any more.
    std::function<boost::asio::awaitable<bool>(dispatch::answer_event)> deliver;
};

/// @brief A request to a backend server.
struct leg_request {
    request_id id;
    server_id server;
    std::string address; ///< `IP:port`
    dispatch::call_body call;
    std::shared_ptr<leg_control> control;
};

/// @brief Dispatches a request to an engine or a plain service and relays the whole answer.
///
/// Connects freshly, asks for the right, then writes. After the first byte a broken or silent
/// engine stream is resumed by id and offset, never dispatched again.
boost::asio::awaitable<leg_end> run_leg(engine_client_options options, leg_request request,
                                        leg_hooks hooks);

/// @brief Picks up the stream of a request that was dispatched by someone else.
/// @param offset  tokens that the caller already has
boost::asio::awaitable<void> resume_leg(engine_client_options options, leg_request request,
                                        std::uint64_t offset, leg_hooks hooks);

/// @brief A short request to a backend server, such as one for its load report.
/// @return the body of a 200 response, or an empty string
boost::asio::awaitable<std::string> fetch(engine_client_options options, std::string address,
                                          std::string method, std::string target,
                                          std::string body = {});

} // namespace tarragonspar::http
