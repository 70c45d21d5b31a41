#include "tarragonspar/rollout/judge.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "latency_model.hpp"

namespace tarragonspar::rollout {
namespace {

// Alternatives: by how much the share of bad answers exceeds the old version's. The first one is
// replaced by `min_bad_share` and also decides when a version is good.
constexpr std::array<double, 3> excess{0.1, 0.03, 0.35};
// Failures that a good version may have beyond what was seen, as a share. A single failure then
// does not suffice for either verdict.
constexpr double min_failure_share = 0.002;
// Two failures alone stay below `bad_bound`: they may be the first ones of a fault that hits both
// versions, before any of the old version has been reported.
constexpr double max_failure_ratio = 4.4;
// Weight of the whole rollout's share, in answers, against the share at the same time.
constexpr double prior_answers = 8.0;
// Standard errors added to a share that is measured while the old version has bad answers.
constexpr double share_errors = 1.5;
// Ratio from which an answer of the old version counts as slow.
constexpr double slow_ratio = 3.0;
// Connections are lost for reasons outside the server more often than it fails.
constexpr double min_loss_share = 0.1;

/// Share of the old version's answers near a time that are bad in some way.
class baseline_shares {
public:
    template <class IsBad>
    baseline_shares(const std::deque<answer>& answers, duration nearby, const IsBad& is_bad)
        : nearby_(nearby) {
        times_.reserve(answers.size());
        for (const auto& item : answers) {
            if (item.result != outcome::refused) {
                times_.emplace_back(item.at, is_bad(item));
            }
        }
        std::sort(times_.begin(), times_.end());
        sums_.push_back(0);
        for (const auto& [at, bad] : times_) {
            sums_.push_back(sums_.back() + (bad ? 1U : 0U));
        }
    }
    [[nodiscard]] double share(time_point at, double floor) const {
        const auto first =
            std::lower_bound(times_.begin(), times_.end(), std::pair{at - nearby_, false}) -
            times_.begin();
        const auto last =
            std::upper_bound(times_.begin(), times_.end(), std::pair{at + nearby_, true}) -
            times_.begin();
        const auto overall =
            std::max(floor, sums_.back() / (static_cast<double>(times_.size()) + 20.0));
        const auto bad = static_cast<double>(sums_[static_cast<std::size_t>(last)] -
                                             sums_[static_cast<std::size_t>(first)]);
        const auto all = static_cast<double>(last - first) + prior_answers;
        const auto made = std::max(floor, (bad + prior_answers * overall) / all);
        // Several bad answers at once have a cause of their own, whose share is only estimated.
        return bad < 1.0
                   ? made
                   : std::min(0.95, made + share_errors * std::sqrt(made * (1.0 - made) / all));
    }

private:
    duration nearby_;
    std::vector<std::pair<time_point, bool>> times_;
    std::vector<std::uint32_t> sums_;
};

/// Log likelihood ratios of one group of answers, one per alternative.
struct ratios {
    std::array<double, excess.size()> sum{};
    std::array<double, excess.size()> since{}; ///< largest sum over the answers since any time
    void add(std::size_t which, double value) {
        sum[which] += value;
        since[which] = std::max(since[which] + value, 0.0);
    }
    [[nodiscard]] double largest() const {
        return *std::max_element(since.begin(), since.end());
    }
};

struct group {
    ratios failures;
    ratios slowness;
};

std::array<double, excess.size()> alternatives(const judge_options& options) {
    auto made = excess;
    made[0] = options.min_bad_share;
    return made;
}

/// Adds the answers of the target to the groups that they belong to, oldest first.
class comparison {
public:
    comparison(const evidence& of, const judge_options& options)
        : options_(options), latency_(of),
          failed_(of.baseline, options.nearby,
                  [](const answer& item) { return item.result == outcome::failed; }),
          lost_(of.baseline, options.nearby,
                [](const answer& item) { return item.result == outcome::lost; }),
          slow_(of.baseline, options.nearby, [this](const answer& item) {
              return latency_.slow_to_usual(item).value_or(0.0) > slow_ratio;
          }) {}

    void add(const answer& item) {
        const auto tried = alternatives(options_);
        std::array<double, excess.size()> failure{};
        std::array<double, excess.size()> slowness{};
        auto surprise = latency_.slow_to_usual(item);
        if (surprise) {
            const auto usual = slow_.share(item.at, 0.0);
            *surprise /= 1.0 - usual + usual * *surprise;
        }
        for (std::size_t i = 0; i < tried.size(); ++i) {
            failure[i] = failure_ratio(item, tried[i]);
            slowness[i] = surprise ? std::log1p(tried[i] * (*surprise - 1.0)) : 0.0;
        }
        if (item.result == outcome::lost) {
            last_loss_ = std::max(last_loss_, item.at);
        }
        add_to(service, failure, slowness);
        add_to(routes[item.route], failure, slowness);
        if (item.load >= options_.high_load) {
            add_to(loaded, failure, slowness);
        }
    }

    [[nodiscard]] const latency_model& latency() const {
        return latency_;
    }

    group service;
    group loaded;
    std::map<std::uint64_t, group> routes;

private:
    using values = std::array<double, excess.size()>;

    [[nodiscard]] double failure_ratio(const answer& item, double added) const {
        if (item.result == outcome::lost) {
            // Losses at nearly the same time have one cause.
            if (item.at - last_loss_ < options_.nearby) {
                return 0.0;
            }
            const auto usual = lost_.share(item.at, min_loss_share);
            return std::log((usual + added * (1.0 - usual)) / usual);
        }
        if (item.result != outcome::failed) {
            return std::log(1.0 - added);
        }
        const auto usual = failed_.share(item.at, min_failure_share);
        return std::min(std::log((usual + added * (1.0 - usual)) / usual), max_failure_ratio);
    }

    static void add_to(group& to, const values& failure, const values& slowness) {
        for (std::size_t i = 0; i < failure.size(); ++i) {
            to.failures.add(i, failure[i]);
            to.slowness.add(i, slowness[i]);
        }
    }

    judge_options options_;
    latency_model latency_;
    baseline_shares failed_;
    baseline_shares lost_;
    baseline_shares slow_;
    time_point last_loss_{};
};

/// Keeps the group with the largest ratio.
void consider(judgement& made, const group& of, std::uint64_t route) {
    for (const auto why : {reason::failures, reason::slow}) {
        const auto ratio = why == reason::failures ? of.failures.largest() : of.slowness.largest();
        if (ratio > made.log_ratio) {
            made.log_ratio = ratio;
            made.route = route;
            made.why = why;
        }
    }
}

} // namespace

void record_answer(evidence& target, const answer& made) {
    auto& kept = made.is_target ? target.target : target.baseline;
    kept.push_back(made);
    if (kept.size() > (made.is_target ? evidence::max_target : evidence::max_baseline)) {
        kept.pop_front();
    }
    if (made.is_target && made.result != outcome::refused) {
        ++target.target_answers;
        target.target_failures += made.result == outcome::answered ? 0 : 1;
    }
}

judgement judge(const evidence& of, time_point now, const judge_options& options) {
    judgement made;
    made.answers = static_cast<std::uint32_t>(of.target_answers);
    made.failures = static_cast<std::uint32_t>(of.target_failures);
    comparison compared(of, options);
    for (const auto& item : of.target) {
        if (item.result != outcome::refused && item.at + options.settle <= now) {
            compared.add(item);
        }
    }
    made.failure_ratio = compared.service.failures.sum[0];
    made.slowness_ratio = compared.service.slowness.sum[0];
    consider(made, compared.service, 0);
    consider(made, compared.loaded, 0);
    for (const auto& [route, group] : compared.routes) {
        consider(made, group, route);
    }
    // Scaled so that the bound for the distance corresponds to that for ratios.
    const auto distance = compared.latency().server_distance();
    const auto scaled = distance >= options.bad_distance       ? options.bad_bound
                        : distance >= options.suspect_distance ? options.suspect_bound + 0.1
                                                               : 0.0;
    if (scaled > made.log_ratio) {
        made.log_ratio = scaled;
        made.why = reason::slow_servers;
        made.route = 0;
    }
    made.suspected = made.log_ratio > options.suspect_bound;
    if (made.log_ratio >= options.bad_bound) {
        made.value = verdict::bad;
        return made;
    }
    const auto clean = made.failure_ratio <= -options.good_bound &&
                       compared.service.failures.sum[1] <= -options.few_failures_bound &&
                       made.slowness_ratio <= -options.not_slow_bound;
    made.value = clean && !made.suspected ? verdict::good : verdict::undecided;
    if (!made.suspected) {
        made.why = clean ? reason::clean : reason::thin;
    }
    return made;
}

const char* to_string(reason value) noexcept {
    switch (value) {
    case reason::clean:
        return "clean";
    case reason::failures:
        return "failures";
    case reason::slow:
        return "slow";
    case reason::slow_servers:
        return "slow_servers";
    default:
        return "thin";
    }
}

} // namespace tarragonspar::rollout
