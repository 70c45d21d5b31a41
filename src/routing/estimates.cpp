#include "tarragonspar/routing/estimates.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonspar::routing {

namespace {

/// Weight of a new sample once the estimate has converged; also the lower bound of the weight.
constexpr double min_gain = 0.1;
/// Shorter prompts update the fixed cost, as it dominates their time to the first token.
constexpr std::uint32_t min_prefill_sample_tokens = 64;
/// Weight above which a histogram's counts are halved.
constexpr float halving_weight = 256.0F;
/// Weight from which on a histogram is used for predictions.
constexpr double min_weight = 8.0;

double gain(std::uint32_t samples) {
    return std::max(min_gain, 1.0 / (1.0 + samples));
}

std::size_t bucket_of(token_count length) {
    const auto value = std::max<std::uint32_t>(1, length.value);
    const auto index = static_cast<std::size_t>(2.0 * std::log2(static_cast<double>(value)));
    return std::min(index, length_histogram::bucket_count - 1);
}

token_count upper_edge(std::size_t bucket) {
    return {static_cast<std::uint32_t>(std::ceil(std::exp2((bucket + 1) / 2.0)))};
}

} // namespace

void observe_prefill(speed_estimate& target, token_count computed, duration elapsed) {
    const auto seconds = to_seconds(elapsed);
    if (computed.value < min_prefill_sample_tokens) {
        target.fixed_seconds += min_gain * (std::min(seconds, 1.0) - target.fixed_seconds);
        return;
    }
    const auto rate = computed.value / std::max(1e-6, seconds - target.fixed_seconds);
    const auto weight = gain(target.prefill_samples);
    const auto log_rate = std::log(target.prefill_tokens_per_second);
    target.prefill_tokens_per_second = std::exp(log_rate + weight * (std::log(rate) - log_rate));
    ++target.prefill_samples;
}

void observe_decode(speed_estimate& target, token_count generated, duration elapsed) {
    if (generated.value == 0) {
        return;
    }
    const auto interval = to_seconds(elapsed) / generated.value;
    const auto weight = gain(target.decode_samples);
    target.decode_seconds_per_token += weight * (interval - target.decode_seconds_per_token);
    ++target.decode_samples;
}

void length_histogram::add(token_count length) {
    counts_.at(bucket_of(length)) += 1.0F;
    total_ += 1.0F;
    if (total_ <= halving_weight) {
        return;
    }
    for (auto& count : counts_) {
        count *= 0.5F;
    }
    total_ *= 0.5F;
}

token_count length_histogram::quantile(double fraction) const {
    if (total_ <= 0.0F) {
        return {0};
    }
    double below = 0.0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        below += counts_.at(bucket);
        if (below >= fraction * total_) {
            return upper_edge(bucket);
        }
    }
    return upper_edge(bucket_count - 1);
}

void length_estimator::add(std::uint64_t key, token_count length) {
    auto found = entries_.find(key);
    if (found == entries_.end()) {
        recency_.push_front(key);
        found = entries_.emplace(key, entry{.lengths = {}, .position = recency_.begin()}).first;
    } else {
        recency_.splice(recency_.begin(), recency_, found->second.position);
    }
    found->second.lengths.add(length);
    if (entries_.size() > capacity_) {
        entries_.erase(recency_.back());
        recency_.pop_back();
    }
}

void length_estimator::observe(std::uint64_t profile, workspace_id workspace, token_count length) {
    add(profile, length);
    add(hash_pair(profile, workspace.value), length);
}

token_count length_estimator::predict(std::uint64_t profile, workspace_id workspace,
                                      token_count limit, double fraction) const {
    for (const auto key : {hash_pair(profile, workspace.value), profile}) {
        const auto found = entries_.find(key);
        if (found == entries_.end() || found->second.lengths.weight() < min_weight) {
            continue;
        }
        return std::min(limit, found->second.lengths.quantile(fraction));
    }
    return {std::max<std::uint32_t>(1, limit.value / 2)};
}

} // namespace tarragonspar::routing
