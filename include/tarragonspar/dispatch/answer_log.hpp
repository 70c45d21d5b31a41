#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "tarragonspar/dispatch/answer.hpp"

namespace tarragonspar::dispatch {

/// @brief The answer to one request as far as it has come, kept for readers that come back.
///
/// Pieces stay until the bytes kept exceed the limit; then those that the reader has taken are
/// dropped from the front. Not safe for several threads by itself.
class answer_log {
public:
    /// @param max_bytes  text that is kept
    explicit answer_log(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// @brief Appends an event.
    /// @return false when it repeats or skips a part, or comes after the end; it is then ignored
    bool append(answer_event event);

    /// @brief The event at a position, or nothing when it has not come yet.
    /// @param position  counted in events from the first one, as given by `position_of`
    [[nodiscard]] const answer_event* at(std::uint64_t position) const;

    /// @brief Position of the first event at or after a token offset.
    /// @return nothing when that part of the answer is no longer kept
    [[nodiscard]] std::optional<std::uint64_t> position_of(std::uint64_t token_offset) const;

    /// @brief Notes that the reader has taken all events before a position.
    void consume(std::uint64_t position);

    /// @brief Whether the writer should wait for the reader.
    [[nodiscard]] bool is_full() const noexcept {
        return bytes_ > max_bytes_ && consumed_ < first_ + events_.size();
    }

    /// @brief Tokens appended so far.
    [[nodiscard]] std::uint64_t next_offset() const noexcept {
        return next_offset_;
    }

    /// @brief The final event, if it has come.
    [[nodiscard]] const answer_finished* finished() const;

    /// @brief The first event, if it has come.
    [[nodiscard]] const answer_started* started() const noexcept {
        return started_ ? &*started_ : nullptr;
    }

private:
    void drop_taken();

    std::size_t max_bytes_;
    std::deque<answer_event> events_;
    std::uint64_t first_{};    ///< position of the first event kept
    std::uint64_t consumed_{}; ///< position up to which the reader has taken events
    std::uint64_t next_offset_{};
    std::size_t bytes_{};
    std::optional<answer_started> started_;
    bool ended_{false};
};

} // namespace tarragonspar::dispatch
