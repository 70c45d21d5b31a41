#include "latency_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <vector>

namespace tarragonspar::rollout {
namespace {

// The speed of a server is taken from this quantile of its answers, so that it stays that of its
// usual answers as long as no more than about 80 % of them are slow.
constexpr double fast_quantile = 0.2;
constexpr std::size_t min_answers_for_speed = 4;
// Slow answers take 2 to 5 times as long; logarithms with a margin for the error of the speed.
constexpr double least_slow = 0.6;
constexpr double most_slow = 1.65;
// Answers that are counted in addition to those of the old version, spread over all latencies.
constexpr double prior_answers = 2.0;
// A single slow answer never decides: it may have a cause that the old version's few hundred
// answers did not show.
constexpr double max_ratio = 40.0;
// Variance of the servers' speeds (logarithm) that is assumed before any is known, and its weight
// in servers: that of speeds spread evenly over a factor of four. Few servers of one version may
// have nearly equal speeds by chance.
constexpr double prior_speed_variance = 0.16;
constexpr double prior_speed_weight = 4.0;
constexpr std::size_t min_servers = 3;
// Spread of speeds within one version: servers differ up to four times, with a margin for errors.
constexpr double max_speed_spread = 1.386 + 0.35;
// Suffices against a good verdict and not for a bad one, since the fastest server's speed may have
// been measured from a few answers only.
constexpr double suspect_distance = 3.0;

bool has_latency(const answer& item) {
    return item.result == outcome::answered && item.latency > 0.0;
}

double quantile(std::vector<double>& values, double part) {
    std::sort(values.begin(), values.end());
    // The position has the same expected rank for any number of values; otherwise servers with few
    // answers, such as the new ones, seem slower.
    const auto position = std::max(part * static_cast<double>(values.size() + 1) - 1.0, 0.0);
    const auto below = static_cast<std::size_t>(position);
    const auto above = std::min(below + 1, values.size() - 1);
    return values[below] + (values[above] - values[below]) * (position - std::floor(position));
}

struct moments {
    double mean{};
    double variance{};
};

moments moments_of(const std::vector<double>& values) {
    const auto n = static_cast<double>(values.size());
    moments made;
    made.mean = std::accumulate(values.begin(), values.end(), 0.0) / n;
    for (const auto value : values) {
        made.variance += (value - made.mean) * (value - made.mean) / std::max(n - 1.0, 1.0);
    }
    return made;
}

} // namespace

latency_model::latency_model(const evidence& of) {
    learn_speeds(of);
    learn_usual(of);
    compare_servers(of);
}

std::size_t latency_model::bin(double residual) {
    const auto position = std::clamp((residual - lowest) / width, 0.0, bins - 1.0);
    return static_cast<std::size_t>(position);
}

void latency_model::learn_speeds(const evidence& of) {
    std::unordered_map<server_id, std::vector<double>> latencies;
    for (const auto* answers : {&of.target, &of.baseline}) {
        for (const auto& item : *answers) {
            if (has_latency(item)) {
                latencies[item.server].push_back(std::log(item.latency));
            }
        }
    }
    for (auto& [server, values] : latencies) {
        if (values.size() >= min_answers_for_speed) {
            speeds_[server] = quantile(values, fast_quantile);
        }
    }
}

void latency_model::learn_usual(const evidence& of) {
    histogram seen{};
    double all = 0.0;
    for (const auto& item : of.baseline) {
        const auto speed = speeds_.find(item.server);
        if (has_latency(item) && speed != speeds_.end()) {
            seen[bin(std::log(item.latency) - speed->second)] += 1.0;
            all += 1.0;
        }
    }
    histogram usual{};
    for (std::size_t i = 0; i < bins; ++i) {
        const auto before = seen[i > 0 ? i - 1 : 0];
        const auto after = seen[std::min(i + 1, bins - 1)];
        usual[i] = (0.25 * before + 0.5 * seen[i] + 0.25 * after + prior_answers / bins) /
                   (all + prior_answers);
    }
    // Slow answers are usual ones, later by any factor within the range.
    histogram slow{};
    const auto first = static_cast<std::size_t>(least_slow / width);
    const auto last = static_cast<std::size_t>(most_slow / width);
    for (std::size_t i = 0; i < bins; ++i) {
        for (std::size_t shift = first; shift <= last; ++shift) {
            slow[std::min(i + shift, bins - 1)] += usual[i] / static_cast<double>(last - first + 1);
        }
    }
    for (std::size_t i = 0; i < bins; ++i) {
        ratio_[i] = std::min(slow[i] / usual[i], max_ratio);
    }
}

std::optional<double> latency_model::slow_to_usual(const answer& item) const {
    const auto speed = speeds_.find(item.server);
    if (!has_latency(item) || speed == speeds_.end()) {
        return std::nullopt;
    }
    return ratio_[bin(std::log(item.latency) - speed->second)];
}

void latency_model::compare_servers(const evidence& of) {
    std::set<server_id> targets;
    for (const auto& item : of.target) {
        targets.insert(item.server);
    }
    std::vector<double> target;
    std::vector<double> baseline;
    for (const auto& [server, speed] : speeds_) {
        (targets.contains(server) ? target : baseline).push_back(speed);
    }
    if (target.empty() || baseline.size() < min_servers) {
        return;
    }
    const auto usual = moments_of(baseline);
    const auto new_ones = moments_of(target);
    const auto count = static_cast<double>(target.size());
    const auto old_count = static_cast<double>(baseline.size());
    const auto spread =
        (prior_speed_weight * prior_speed_variance + (old_count - 1.0) * usual.variance) /
        (prior_speed_weight + old_count - 1.0);
    const auto variance = spread * (1.0 / count + 1.0 / old_count);
    if (target.size() < min_servers) {
        return;
    }
    server_distance_ = (new_ones.mean - usual.mean) / std::sqrt(variance);
    // A server cannot be slower than the fastest one by more than the servers of a service differ.
    const auto fastest = *std::min_element(baseline.begin(), baseline.end());
    if (new_ones.mean > fastest + max_speed_spread) {
        server_distance_ = std::max(server_distance_, suspect_distance);
    }
}

} // namespace tarragonspar::rollout
