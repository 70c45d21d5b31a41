#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>

#include "tarragonspar/dispatch/answer_log.hpp"
#include "tarragonspar/dispatch/right.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::runtime {

/// @brief A request at the instance that holds its dispatch right, with the answer received so far.
///
/// Thread-safe. One reader at a time follows the answer.
class request_record {
public:
    using signal = boost::asio::experimental::concurrent_channel<void(boost::system::error_code)>;

    /// @param max_bytes  answer text kept for readers that reconnect
    request_record(const boost::asio::any_io_executor& executor, work_item work_in,
                   dispatch::call_body call_in, std::size_t max_bytes);

    /// @brief Appends an event; waits while a slow reader is too far behind.
    /// @return false when the rest of the answer is no longer wanted
    boost::asio::awaitable<bool> append(dispatch::answer_event event);

    /// @brief Appends an event at once, without waiting for the reader.
    void append_now(dispatch::answer_event event);

    /// @brief Returns the event at a position; waits until it has arrived.
    /// @return nothing when another reader took over or that part is no longer kept
    boost::asio::awaitable<std::optional<dispatch::answer_event>> read(std::uint64_t reader,
                                                                       std::uint64_t position);

    /// @brief Makes the caller the only reader.
    /// @return the reader's number, to be passed to `read`
    [[nodiscard]] std::uint64_t attach();

    /// @brief Whether a reader is attached.
    [[nodiscard]] bool has_reader() const noexcept {
        return attached_.load();
    }

    /// @brief Ends a reader's attachment.
    /// @return false when another reader has already taken over
    bool detach(std::uint64_t reader);

    /// @brief Position to read from for the answer starting at a token offset.
    [[nodiscard]] std::optional<std::uint64_t> position_of(std::uint64_t token_offset);

    /// @brief The final event, if it has arrived.
    [[nodiscard]] std::optional<dispatch::answer_finished> finished();

    /// @brief Calls `done` when the final event has arrived; at once if it already has.
    void when_finished(std::function<void()> done);

    /// @brief The answer as one text, as far as it is kept.
    struct assembled_answer {
        unsigned status{200};
        std::string content_type;
        std::string body;
        bool complete{true}; ///< false: its start is no longer kept
    };
    [[nodiscard]] assembled_answer assemble();

    /// @brief Tokens received so far.
    [[nodiscard]] std::uint64_t next_offset();

    /// @brief Marks the rest of the answer as no longer wanted.
    void abandon();

    [[nodiscard]] bool abandoned() const noexcept {
        return abandoned_.load();
    }

    const work_item work;
    const dispatch::call_body call;
    dispatch::dispatch_right right;
    std::string profile_name;
    std::string workspace_name;
    std::atomic<std::uint32_t> placed_at{0};     ///< instance whose owner handles it; 0: none yet
    std::atomic<std::uint8_t> transfers{0};      ///< number of transfers between owners
    std::atomic<std::int64_t> dispatched_at{0};  ///< microseconds of the decision clock
    std::atomic<std::int64_t> first_token_at{0}; ///< microseconds of the decision clock

private:
    std::mutex mutex_;
    dispatch::answer_log log_;
    signal readable_;
    signal writable_;
    std::vector<std::function<void()>> finish_callbacks_;
    std::atomic<std::uint64_t> reader_{0};
    std::atomic<bool> attached_{false};
    std::atomic<bool> abandoned_{false};
};

} // namespace tarragonspar::runtime
