#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonspar::http {

/// @brief One event of an event stream, with the bytes that ended it.
struct stream_event {
    std::string bytes;
    std::optional<std::uint64_t> id; ///< its `id` field, if that is a number
    bool has_data{false};            ///< without data it only keeps the connection alive
};

/// @brief Cuts the bytes of an event stream into whole events.
class event_splitter {
public:
    /// @brief Takes bytes and returns the events that they complete.
    /// @par Complexity  linear in the bytes, and in the last line of an unfinished event
    [[nodiscard]] std::vector<stream_event> take(std::string_view bytes);

    /// @brief Bytes of an event that has not ended.
    [[nodiscard]] std::size_t unfinished() const noexcept {
        return kept_.size();
    }

    /// @brief Forgets an unfinished event.
    void clear() {
        kept_.clear();
        line_ = 0;
    }

private:
    std::string kept_;
    std::size_t line_{0}; ///< where the last line of `kept_` begins
};

} // namespace tarragonspar::http
