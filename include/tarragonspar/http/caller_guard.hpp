#pragma once

#include <memory>
#include <mutex>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/http/caller_budget.hpp"

namespace tarragonspar::http {

/// @brief The budget for everything that callers make a process hold, shared by its HTTP servers.
///
/// Functions may be called from any thread.
class caller_guard : public std::enable_shared_from_this<caller_guard> {
public:
    /// Functions that record what the guard does; called without a lock.
    struct observers {
        std::function<void(caller_bound)> refused; ///< a request or connection was refused
        std::function<void(caller_bound)> closed;  ///< a connection was closed
        std::function<void(std::size_t)> held;     ///< bytes held, once a second while in use
    };

    caller_guard(boost::asio::io_context& context, std::size_t max_bytes, observers watch);

    /// @brief Returns a number for a server that uses this guard.
    [[nodiscard]] unsigned add_server();

    /// @brief Raises the limit so that it is at least twice as large as one request.
    void require(std::size_t request_bytes);

    /// @brief Closes the connection of a server that has been idle for the longest time.
    /// @return false if there is none, so that a new connection must be refused
    [[nodiscard]] bool make_room(unsigned server);

    [[nodiscard]] std::size_t used() const;

private:
    friend class caller_hold;
    using handle = caller_budget::handle;

    static void close(const caller_budget::victims& callers);
    void start_timer();
    void check();

    mutable std::mutex mutex_;
    caller_budget budget_;
    observers watch_;
    unsigned servers_{0};
    bool timer_runs_{false};
    boost::asio::steady_timer timer_;
};

/// @brief What one connection holds; returned to the budget when the connection ends.
class caller_hold {
public:
    /// @param close  ends the connection's pending operation; called in any thread, so it must post
    /// the closing to the connection's executor
    caller_hold(std::shared_ptr<caller_guard> guard, unsigned server, std::function<void()> close);
    caller_hold(const caller_hold&) = delete;
    caller_hold& operator=(const caller_hold&) = delete;
    caller_hold(caller_hold&&) = delete;
    caller_hold& operator=(caller_hold&&) = delete;
    ~caller_hold();

    /// @brief See `caller_budget::enter`.
    bool enter(caller_phase phase, std::chrono::milliseconds stall_timeout = {});
    /// @brief See `caller_budget::reserve`.
    [[nodiscard]] bool reserve(std::size_t bytes);
    /// @brief See `caller_budget::charge`.
    void charge(std::size_t bytes);
    /// @brief Records bytes that were received or sent.
    void record_progress(std::size_t bytes);
    void set_min_progress(std::size_t bytes);

    /// @brief The bound because of which the connection is being closed.
    [[nodiscard]] caller_bound closed_for() const;
    /// @brief The number of bytes held, as last set by this connection.
    [[nodiscard]] std::size_t held() const noexcept {
        return held_;
    }

private:
    std::shared_ptr<caller_guard> guard_;
    caller_budget::handle state_;
    std::size_t held_{0};
};

} // namespace tarragonspar::http
