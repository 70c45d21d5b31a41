#pragma once

#include <algorithm>
#include <cstddef>

namespace tarragonspar::http {

/// @brief Bound on the bytes that all unfinished answers of an instance hold together.
struct buffer_budget {
    /// An eighth of the memory of a small entry instance (260 MB).
    std::size_t limit{32UL * 1024 * 1024};
    /// What each answer may hold even if the others use up the limit; most answers are smaller.
    std::size_t min_share{64UL * 1024};
    std::size_t used{0};
};

/// @brief Returns how many bytes one answer may hold.
/// @param held     what it holds now, as part of `used`
/// @param largest  what it may hold if the budget is not used otherwise
[[nodiscard]] inline std::size_t allowed_bytes(const buffer_budget& budget, std::size_t held,
                                               std::size_t largest) {
    const auto others = budget.used - held;
    const auto rest = budget.limit - std::min(budget.limit, others);
    return std::min(largest, std::max(rest, budget.min_share));
}

/// @brief The bytes that one answer holds; returned to the budget when it ends.
class buffered_bytes {
public:
    explicit buffered_bytes(buffer_budget& budget) : budget_(budget) {}
    buffered_bytes(const buffered_bytes&) = delete;
    buffered_bytes& operator=(const buffered_bytes&) = delete;
    ~buffered_bytes() {
        set(0);
    }

    /// @brief Sets the number of bytes held.
    void set(std::size_t size) {
        budget_.used += size;
        budget_.used -= held_;
        held_ = size;
    }

    /// @brief Whether the answer holds more than it may.
    /// @param largest  see `allowed_bytes`
    [[nodiscard]] bool is_excessive(std::size_t largest) const {
        return held_ > allowed_bytes(budget_, held_, largest);
    }

private:
    buffer_budget& budget_;
    std::size_t held_{0};
};

} // namespace tarragonspar::http
