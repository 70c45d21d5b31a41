#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonspar::http {

/// @brief One event of an event stream, including the empty line that ends it.
struct stream_event {
    std::string bytes;
    std::optional<std::uint64_t> id; ///< value of its `id` field, if that is a number
    /// Whether it has a `data` field; if not, it only keeps the connection alive.
    bool has_data{false};
};

/// @brief Splits the bytes of an event stream into complete events.
class event_splitter {
public:
    /// @brief Appends bytes and returns the events that they complete.
    /// @par Complexity  linear in the bytes and in the last line of an incomplete event
    [[nodiscard]] std::vector<stream_event> append(std::string_view bytes);

    /// @brief Returns the number of bytes of an incomplete event.
    [[nodiscard]] std::size_t unfinished() const noexcept {
        return pending_.size();
    }

    /// @brief Discards an incomplete event.
    void clear() {
        pending_.clear();
        line_ = 0;
    }

private:
    std::string pending_;
    std::size_t line_{0}; ///< offset of the last line of `pending_`
};

} // namespace tarragonspar::http
