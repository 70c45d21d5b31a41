#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "tarragonspar/dispatch/answer.hpp"

namespace tarragonspar::http::detail {

/// @brief One server-sent event of an engine's answer.
struct engine_event {
    std::string id;
    std::uint64_t offset{};
    std::uint32_t tokens{};
    std::string text;
    bool done{false};
    std::string finish_reason;
    token_count prompt;
    token_count cached;
    bool has_cached{false};
};

/// @brief Parses the data of an event.
/// @return nothing if it does not have the documented form
[[nodiscard]] std::optional<engine_event> parse_engine_event(std::string_view data);

/// @brief Splits a byte stream into the data of server-sent events.
class event_splitter {
public:
    /// @brief Adds received bytes.
    void append(std::string_view bytes) {
        buffer_.append(bytes);
    }

    /// @brief Removes and returns the data of the next complete event; skips comments.
    [[nodiscard]] std::optional<std::string> next();

    /// @brief Returns the number of buffered bytes that belong to no event returned so far.
    [[nodiscard]] std::size_t unfinished() const noexcept {
        return buffer_.size() - begin_;
    }

private:
    std::string buffer_;
    std::size_t begin_{};
};

/// @brief Checks that events belong to one answer and are consecutive.
class answer_assembler {
public:
    /// @brief How an event is to be handled.
    enum class disposition : std::uint8_t {
        use,       ///< the next part; to be delivered
        duplicate, ///< already delivered; to be dropped
        gap,       ///< events before it are missing; the stream must be resumed
        foreign,   ///< belongs to another request; to be dropped
    };

    answer_assembler(std::string id, std::uint64_t offset) : id_(std::move(id)), next_(offset) {}

    /// @brief Classifies an event and, if it is the next one, advances the offset past it.
    disposition accept(engine_event& event);

    /// @brief Returns the number of tokens delivered so far.
    [[nodiscard]] std::uint64_t offset() const noexcept {
        return next_;
    }

private:
    std::string id_;
    std::uint64_t next_;
};

} // namespace tarragonspar::http::detail
