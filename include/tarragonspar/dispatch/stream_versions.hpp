#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::dispatch {

/// @brief The software version of the server whose events a caller has got.
struct stream_origin {
    std::uint64_t stream{}; ///< see `work_item::stream`
    software_id software;
    time_point until{}; ///< from then on callers don't take the stream up any more
    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// How it is known which software version may continue a stream.
enum class version_source : std::uint8_t {
    any,      ///< the request begins a stream, or has none
    recorded, ///< the version that began the stream is recorded here
    only,     ///< the service has had servers of one version only while streams last
    unknown,  ///< the service has servers of several versions, and it isn't recorded which began it
};

/// @brief The software version that may continue a request's stream, and how it is known.
struct version_choice {
    version_source source{version_source::any};
    software_id software; ///< 0: any
};

/// @brief Returns when callers stop to take up a stream that a request began.
[[nodiscard]] time_point take_up_end(const work_item& work) noexcept;

/// @brief Which software version began each recent stream, and which versions services have had.
///
/// The events of two software versions don't fit together, and servers don't check it. A stream is
/// recorded when a server is granted for it, which is corrected by later grants, and for good when
/// its first event arrives. Bounded in size and age. Plain state without a clock. Not thread-safe.
class stream_versions {
public:
    /// @brief Records the server granted for a stream, which has no event yet as far as is known.
    void record_grant(const stream_origin& origin, time_point now);

    /// @brief Records the origin of a stream's events.
    /// @param own  its first event arrived at this instance, so that reports tell it to others
    void record_begin(const stream_origin& origin, bool own, time_point now);

    /// @brief Records the servers that are listed from now on.
    void record_servers(const std::vector<config::server>& listed, time_point now);

    [[nodiscard]] std::optional<software_id> find(std::uint64_t stream, time_point now) const;

    /// @brief Whether servers of several versions of a service were listed while streams last.
    [[nodiscard]] bool has_several(model_id service, time_point now) const;

    /// @brief Whether any recent list gave the software versions of servers.
    [[nodiscard]] bool has_versions() const noexcept {
        return !versions_.empty();
    }

    /// @brief Decides which software version may get a request.
    [[nodiscard]] version_choice choose(const work_item& work, time_point now) const;

    /// @brief Some of the origins that this instance recorded as its own, in order.
    struct own_origins {
        std::vector<stream_origin> list;
        std::uint64_t last{}; ///< number of the last one
    };
    /// @param after  number of the last one that the receiver has; 0: none
    [[nodiscard]] own_origins own_after(std::uint64_t after, time_point now) const;

private:
    struct known_stream {
        software_id software;
        time_point until{};
        bool begun{false}; ///< its events are from this version, not only its grant
    };
    struct listed_version {
        time_point last_listed{};
        bool is_listed{false};
    };

    void insert(const stream_origin& origin, bool begun, time_point now);
    void forget_old(time_point now);

    std::unordered_map<std::uint64_t, known_stream> streams_;
    std::deque<std::uint64_t> order_; ///< streams in the order in which they were recorded
    std::deque<stream_origin> own_;
    std::uint64_t own_recorded_{0}; ///< number of the newest own origin
    std::map<model_id, std::map<software_id, listed_version>> versions_;
};

} // namespace tarragonspar::dispatch
