#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::routing {

/// @brief Estimated speeds of one backend server.
struct speed_estimate {
    double prefill_tokens_per_second{4000.0};
    double decode_seconds_per_token{0.02};
    double fixed_seconds{0.002}; ///< time to the first byte that does not depend on the prompt
    std::uint32_t prefill_samples{};
    std::uint32_t decode_samples{};
};

/// @brief Updates the estimate from the time to a first token.
/// @param computed  prompt tokens that the server had to compute, without cached ones
/// @param elapsed   time from the dispatch to the first token
void observe_prefill(speed_estimate& target, token_count computed, duration elapsed);

/// @brief Updates the estimate from a number of generated tokens and the time that they took.
void observe_decode(speed_estimate& target, token_count generated, duration elapsed);

/// @brief Distribution of answer lengths for one (profile, workspace), weighted towards recent
/// ones.
class length_histogram {
public:
    /// Buckets, two per power of two, up to about 90,000 tokens.
    static constexpr std::size_t bucket_count = 33;

    /// @brief Adds an observed answer length.
    void add(token_count length);

    /// @brief Returns the value below which the given fraction of the observed lengths lies.
    /// @param fraction  from 0 to 1
    /// @return the upper edge of the bucket; 0 if nothing was observed
    [[nodiscard]] token_count quantile(double fraction) const;

    [[nodiscard]] double weight() const noexcept {
        return total_;
    }

private:
    std::array<float, bucket_count> counts_{};
    float total_{};
};

/// @brief Predicts answer lengths by profile and workspace.
///
/// Falls back to the profile, then to half the caller's limit. Holds a bounded number of
/// histograms; the least recently updated one is evicted.
class length_estimator {
public:
    static constexpr std::size_t default_capacity = 16384;

    /// @param capacity  maximum number of histograms, about 160 bytes each
    explicit length_estimator(std::size_t capacity) : capacity_(capacity) {}
    length_estimator() : length_estimator(default_capacity) {}

    /// @brief Adds the length of a finished answer.
    void observe(std::uint64_t profile, workspace_id workspace, token_count length);

    /// @brief Returns the predicted length, which never exceeds the caller's own limit.
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
