#pragma once

#include <array>
#include <optional>
#include <unordered_map>

#include "tarragonspar/rollout/judge.hpp"

namespace tarragonspar::rollout {

/// @brief Which latencies are usual, learnt from the old version, relative to each server's speed.
class latency_model {
public:
    explicit latency_model(const evidence& of);

    /// @brief How much likelier a latency is for a slow answer than for a usual one.
    /// @return nothing if the latency or the speed of its server is unknown
    [[nodiscard]] std::optional<double> slow_to_usual(const answer& item) const;

    /// @brief Difference between the servers of both versions, in standard errors; positive if
    /// those of the target are slower. 0 while there are too few servers.
    [[nodiscard]] double server_distance() const {
        return server_distance_;
    }

private:
    static constexpr std::size_t bins = 48;
    static constexpr double lowest = -1.6; ///< of the logarithms; the bins reach to 3.2
    static constexpr double width = 0.1;
    using histogram = std::array<double, bins>;

    [[nodiscard]] static std::size_t bin(double residual);
    void learn_speeds(const evidence& of);
    void learn_usual(const evidence& of);
    void compare_servers(const evidence& of);

    std::unordered_map<server_id, double> speeds_; ///< logarithm of a fast answer's latency
    histogram ratio_{};
    double server_distance_{};
};

} // namespace tarragonspar::rollout
