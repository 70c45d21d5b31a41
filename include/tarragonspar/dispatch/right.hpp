#pragma once

#include <atomic>
#include <cstdint>
#include <optional>

#include "tarragonspar/types/ids.hpp"

namespace tarragonspar::dispatch {

/// @brief The right to dispatch one request, held by the instance that issued its id.
///
/// An owner of a backend server asks for the right just before it writes the request's first byte.
/// The right is given at most once at a time; it comes back only if the owner proves that nothing
/// was written. Once a byte may have been written, it is never given again.
/// All functions are safe to call from several threads.
class dispatch_right {
public:
    /// What has become of the right.
    enum class state : std::uint8_t { held, granted, withdrawn };

    /// @brief Gives the right for a dispatch to `server`.
    /// @return false when it is granted already or was withdrawn
    [[nodiscard]] bool grant(server_id server) noexcept {
        auto expected = pack(state::held, {});
        return word_.compare_exchange_strong(expected, pack(state::granted, server));
    }

    /// @brief Takes the right back after a dispatch that wrote nothing.
    /// @return false when it was not granted for this server
    bool take_back(server_id server) noexcept {
        auto expected = pack(state::granted, server);
        return word_.compare_exchange_strong(expected, pack(state::held, {}));
    }

    /// @brief Ends the right, because the caller is gone or the time has run out.
    /// @return true when nothing was granted: the request did not run and never will
    [[nodiscard]] bool withdraw() noexcept {
        auto expected = pack(state::held, {});
        return word_.compare_exchange_strong(expected, pack(state::withdrawn, {})) ||
               expected == pack(state::withdrawn, {});
    }

    /// @brief The server that the right is granted for, if any.
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
