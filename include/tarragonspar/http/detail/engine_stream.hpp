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
/// @return nothing when it is not of the documented shape
[[nodiscard]] std::optional<engine_event> parse_engine_event(std::string_view data);

/// @brief Splits a byte stream into the data of server-sent events.
class event_splitter {
public:
    /// @brief Adds received bytes.
    void append(std::string_view bytes) {
        buffer_.append(bytes);
    }

    /// @brief Takes the data of the next whole event; comments are passed over.
    [[nodiscard]] std::optional<std::string> next();

    /// @brief Bytes that belong to no event taken so far.
    [[nodiscard]] std::size_t unfinished() const noexcept {
        return buffer_.size() - begin_;
    }

private:
    std::string buffer_;
    std::size_t begin_{};
};

/// @brief Checks that the events of one answer follow each other and belong to it.
class answer_assembler {
public:
    /// What an event means for the answer.
    enum class verdict : std::uint8_t {
        use,       ///< the next part
        duplicate, ///< already delivered; to be dropped
        gap,       ///< something before it is missing; the stream must be resumed
        foreign,   ///< belongs to another request; to be dropped
    };

    answer_assembler(std::string id, std::uint64_t offset) : id_(std::move(id)), next_(offset) {}

    /// @brief Judges an event and, if it is to be used, moves on behind it.
    verdict judge(engine_event& event);

    /// @brief Tokens delivered so far.
    [[nodiscard]] std::uint64_t offset() const noexcept {
        return next_;
    }

private:
    std::string id_;
    std::uint64_t next_;
};

} // namespace tarragonspar::http::detail
