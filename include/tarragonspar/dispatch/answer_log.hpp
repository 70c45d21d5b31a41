#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "tarragonspar/dispatch/answer.hpp"

namespace tarragonspar::dispatch {

/// @brief Buffers the events of one answer so that a reader can reconnect and resume.
///
/// Events are kept until the buffered text exceeds the limit; then events that the reader has
/// already consumed are dropped from the front. Not thread-safe.
class answer_log {
public:
    /// @param max_bytes  bytes of answer text above which consumed events are dropped
    explicit answer_log(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// @brief Appends an event.
    /// @return false when the event repeats or skips a part, or follows the final event; it is then
    /// ignored
    bool append(answer_event event);

    /// @brief Returns the event at a position, or null when it has not been appended yet or has
    /// been dropped.
    /// @param position  index counted from the first event, as returned by `position_of`
    [[nodiscard]] const answer_event* at(std::uint64_t position) const;

    /// @brief Returns the position from which a reader resumes at a token offset.
    /// @return nothing when that part of the answer is no longer buffered, or no event starts there
    [[nodiscard]] std::optional<std::uint64_t> position_of(std::uint64_t token_offset) const;

    /// @brief Marks all events before a position as consumed by the reader.
    void consume(std::uint64_t position);

    /// @brief Whether the writer should wait until the reader has consumed more.
    [[nodiscard]] bool is_full() const noexcept {
        return bytes_ > max_bytes_ && consumed_ < first_ + events_.size();
    }

    /// @brief Returns the number of tokens appended so far.
    [[nodiscard]] std::uint64_t next_offset() const noexcept {
        return next_offset_;
    }

    /// @brief Returns the final event, or null when it has not been appended yet.
    [[nodiscard]] const answer_finished* finished() const;

    /// @brief Returns the start event, or null when it has not been appended yet.
    [[nodiscard]] const answer_started* started() const noexcept {
        return started_ ? &*started_ : nullptr;
    }

private:
    void drop_consumed();

    std::size_t max_bytes_;
    std::deque<answer_event> events_;
    std::uint64_t first_{};    ///< position of the first buffered event
    std::uint64_t consumed_{}; ///< the reader has consumed all events before this position
    std::uint64_t next_offset_{};
    std::size_t bytes_{};
    std::optional<answer_started> started_;
    bool ended_{false};
};

} // namespace tarragonspar::dispatch
