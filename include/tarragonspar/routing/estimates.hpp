#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::routing {

/// @brief Learned speeds of one backend server.
struct speed_estimate {
    double prefill_tokens_per_second{4000.0};
    double decode_seconds_per_token{0.02};
    double fixed_seconds{0.002}; ///< time to the first byte that does not depend on the prompt
    std::uint32_t prefill_samples{};
    std::uint32_t decode_samples{};
};

/// @brief Learns from a first token.
/// @param computed  prompt tokens that the server had to compute, without cached ones
/// @param elapsed   from the dispatch to the first token
void observe_prefill(speed_estimate& target, token_count computed, duration elapsed);

/// @brief Learns from a stretch of generated tokens.
void observe_decode(speed_estimate& target, token_count generated, duration elapsed);

/// @brief Distribution of answer lengths for one (profile, workspace), with forgetting.
class length_histogram {
public:
    /// Buckets, two per power of two, up to about 90,000 tokens.
    static constexpr std::size_t bucket_count = 33;

    /// @brief Adds an observed answer length.
    void add(token_count length);

    /// @brief Value below which a fraction of the observed lengths lies.
    /// @param fraction  from 0 to 1
    /// @return the upper edge of the bucket; 0 when nothing was observed
    [[nodiscard]] token_count quantile(double fraction) const;

    [[nodiscard]] double weight() const noexcept {
        return total_;
    }

private:
    std::array<float, bucket_count> counts_{};
    float total_{};
};

/// @brief Answer lengths by profile and workspace, falling back to the profile, then to a prior.
///
/// Holds a bounded number of histograms; the least recently used one is dropped.
class length_estimator {
public:
    static constexpr std::size_t default_capacity = 16384;

    /// @param capacity  histograms kept, about 160 bytes each
    explicit length_estimator(std::size_t capacity) : capacity_(capacity) {}
    length_estimator() : length_estimator(default_capacity) {}

    /// @brief Learns the length of a finished answer.
    void observe(std::uint64_t profile, workspace_id workspace, token_count length);

    /// @brief Predicted length, never above the caller's own limit.
    /// @par Complexity  constant
    [[nodiscard]] token_count predict(std::uint64_t profile, workspace_id workspace,
                                      token_count limit, double fraction) const;

    [[nodiscard]] std::size_t size() const noexcept {
        return entries_.size();
    }

private:
    struct entry {
        length_histogram lengths;
        std::list<std::uint64_t>::iterator position;
    };

    void add(std::uint64_t key, token_count length);

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, entry> entries_;
    std::list<std::uint64_t> recency_;
};

} // namespace tarragonspar::routing
