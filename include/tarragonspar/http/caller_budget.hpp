#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <vector>

namespace tarragonspar::http {

/// What a caller's connection is doing.
enum class caller_phase : std::uint8_t {
    idle,    ///< no request is being read or answered
    reading, ///< a request is being read, or the rest of a refused one is being discarded
    running, ///< a complete request has not been answered yet
    writing  ///< a part of the answer is being sent
};

/// The bound because of which a caller is refused or its connection is closed.
enum class caller_bound : std::uint8_t {
    none,
    budget,      ///< the bytes that all callers hold
    progress,    ///< a request or an answer that does not move
    connections, ///< the number of connections
};

[[nodiscard]] std::string_view to_string(caller_bound value);

/// Minimum age of the last progress of a connection that is closed in favour of another request.
constexpr auto stalled_after = std::chrono::seconds{1};
/// Size up to which requests may use the whole budget. Larger ones may use three quarters of it, so
/// that large bodies do not keep out ordinary requests.
constexpr std::size_t small_request_bytes = 64UL * 1024;
/// Memory of a parsed field in addition to its name and value: the list and tree links, the element
/// itself and the allocator's header.
constexpr std::size_t field_overhead_bytes = 112;

/// @brief The largest number of bytes that one request within the limits makes a process hold.
[[nodiscard]] std::size_t largest_request(std::size_t max_header_bytes, std::size_t max_body_bytes);

/// @brief One connection of a caller.
struct caller_state {
    using time_point = std::chrono::steady_clock::time_point;
    unsigned server{0}; ///< the HTTP server that accepted it
    caller_phase phase{caller_phase::idle};
    std::size_t held{0};                       ///< bytes counted in the budget
    std::size_t moved{0};                      ///< bytes received or sent since `progress_at`
    std::size_t min_progress{};                ///< bytes that count as progress
    time_point progress_at;                    ///< last progress, or the beginning of the phase
    std::chrono::milliseconds stall_timeout{}; ///< 0: the phase is not bounded by progress
    caller_bound closed_for{caller_bound::none};
    std::function<void()> close; ///< ends the pending operation; set by the owner
};

/// @brief Decides which callers are refused and which connections are closed so that everything
/// that callers make a process hold stays within a number of bytes. Not thread-safe.
class caller_budget {
public:
    using time_point = caller_state::time_point;
    using handle = std::list<caller_state>::iterator;
    /// Connections that the owner must close.
    using victims = std::vector<handle>;

    explicit caller_budget(std::size_t limit) : limit_(limit) {}

    [[nodiscard]] handle add(unsigned server, time_point now);
    void remove(handle caller);

    /// @brief Raises the limit if it is below `limit`.
    void raise_limit(std::size_t limit);

    /// @brief Sets what a connection is doing.
    /// @param stall_timeout  time without progress after which it is closed; 0: unlimited
    /// @return false if the connection is being closed
    bool enter(handle caller, caller_phase phase, std::chrono::milliseconds stall_timeout,
               time_point now);

    /// @brief Sets the number of bytes that a connection holds, unless they exceed the budget.
    /// @param close  receives connections without progress that are closed to make room
    /// @return false if the request must be refused
    [[nodiscard]] bool reserve(handle caller, std::size_t bytes, time_point now, victims& close);

    /// @brief Sets the number of bytes that a connection holds even if they exceed the budget.
    void charge(handle caller, std::size_t bytes);

    /// @brief Records bytes that were received or sent.
    static void record_progress(handle caller, std::size_t bytes, time_point now);

    /// @brief Closes the connection of a server that has been idle or without progress for the
    /// longest time; one that a request is running on is never closed.
    /// @return false if there is none
    [[nodiscard]] bool make_room(unsigned server, time_point now, victims& close);

    /// @brief Closes connections whose progress is below the minimum.
    void close_stalled(time_point now, victims& close);

    /// @brief Whether the bytes held or the number of connections have fallen so far that free
    /// memory should be returned to the operating system. The next call returns false until they
    /// have risen again.
    [[nodiscard]] bool take_trim();

    /// @brief Whether `close_stalled` and `take_trim` must be called again.
    [[nodiscard]] bool needs_checks() const;

    [[nodiscard]] std::size_t used() const noexcept {
        return used_;
    }
    [[nodiscard]] std::size_t limit() const noexcept {
        return limit_;
    }
    [[nodiscard]] std::size_t connections() const noexcept {
        return callers_.size();
    }

private:
    void mark_closed(handle caller, caller_bound why, victims& close);
    void close_to_free(std::size_t wanted, handle except, time_point now, victims& close);

    std::list<caller_state> callers_;
    std::size_t limit_;
    std::size_t used_{0};
    std::size_t peak_{0}; ///< largest number of bytes held since memory was last returned
    std::size_t peak_connections_{0}; ///< the same of connections
};

} // namespace tarragonspar::http
