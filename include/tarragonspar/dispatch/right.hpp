#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "tarragonspar/types/ids.hpp"

namespace tarragonspar::dispatch {

/// @brief The right to dispatch one request, held by the instance that issued its id.
///
/// The owner of a backend server acquires the right just before it writes the request's first byte.
/// The right is granted to at most one owner at a time, and is returned only if that owner proves
/// that it wrote nothing. Once a byte may have been written, the right is never granted again.
/// All functions are thread-safe.
class dispatch_right {
public:
    /// State of the right.
    enum class state : std::uint8_t { held, granted, withdrawn };

    /// @brief Grants the right for a dispatch to `server`.
    /// @return false when it is already granted or has been withdrawn
    [[nodiscard]] bool grant(server_id server) noexcept {
        auto expected = pack(state::held, {});
        return word_.compare_exchange_strong(expected, pack(state::granted, server));
    }

    /// @brief Returns the right to its holder after a dispatch that wrote nothing.
    /// @return false when it is not granted for this server
    bool reclaim(server_id server) noexcept {
        auto expected = pack(state::granted, server);
        return word_.compare_exchange_strong(expected, pack(state::held, {}));
    }

    /// @brief Withdraws the right for good, because the caller is gone or the deadline has passed.
    /// @return true when it was not granted: the request has not run and never will
    [[nodiscard]] bool withdraw() noexcept {
        auto expected = pack(state::held, {});
        return word_.compare_exchange_strong(expected, pack(state::withdrawn, {})) ||
               expected == pack(state::withdrawn, {});
    }

    /// @brief Returns the server that the right is granted for, if any.
    [[nodiscard]] std::optional<server_id> granted_to() const noexcept {
        const auto word = word_.load();
        if (static_cast<state>(word >> state_shift) != state::granted) {
            return std::nullopt;
        }
        return server_id{static_cast<std::uint32_t>(word)};
    }

    [[nodiscard]] state current() const noexcept {
        return static_cast<state>(word_.load() >> state_shift);
    }

private:
    static constexpr int state_shift = 32;

    static constexpr std::uint64_t pack(state which, server_id server) noexcept {
        return (static_cast<std::uint64_t>(which) << state_shift) | server.value;
    }

    std::atomic<std::uint64_t> word_{pack(state::held, {})};
};

} // namespace tarragonspar::dispatch
