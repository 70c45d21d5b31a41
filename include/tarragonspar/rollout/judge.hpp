#pragma once

#include <cstdint>
#include <deque>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::rollout {

enum class outcome : std::uint8_t {
    answered, ///< complete answer
    failed,   ///< the server itself answered with a failure
    lost,     ///< connection lost or no answer; may be the network's fault
    refused,  ///< refused before execution (overload, draining); no evidence
};

/// @brief One answer of a server of either version.
struct answer {
    time_point at{};       ///< when it ended
    std::uint64_t route{}; ///< hash of the route, or of route and kind of work
    server_id server;
    bool is_target{false}; ///< by a server of the target version
    outcome result{outcome::answered};
    /// Measured time divided by the time predicted for this kind and size of work at this load on
    /// a reference server; only for `outcome::answered`, 0 if unknown. The prediction must be the
    /// same function for both versions. The speed of the server may be left out of it.
    double latency{};
    double load{}; ///< the server's requests in flight divided by its slots, at the start
};

struct judge_options {
    /// Time after which an answer of the target counts. The old version's answers of the same
    /// moment have been reported by then, so that a fault of both versions is seen as such.
    duration settle{std::chrono::milliseconds{300}};
    /// Smallest share of bad answers that is certain to be detected; the answers that are needed
    /// grow with its inverse.
    double min_bad_share{0.1};
    /// A version is good once its answers are this much (natural logarithm) less likely for a bad
    /// version than for a good one: log(100), since a sequential test with this bound accepts a
    /// bad version in at most 1 % of all cases.
    double good_bound{4.605};
    /// The same for slow answers, which say less than failures if the work's time is hard to
    /// predict: with the 60 answers that 20 requests a second allow, 4.6 is often not reached by
    /// good versions. The replays check the resulting errors.
    double not_slow_bound{3.0};
    /// The same for a share of 3 % failures, as far as the answers suffice to tell: with 60 answers
    /// and none of them a failure, the logarithm is -1.8.
    double few_failures_bound{1.0};
    /// A version is bad at this logarithm of the likelihood ratio: 0.01 % for each of the
    /// about ten comparisons (routes, load, late start) that are made again with each answer.
    double bad_bound{9.0};
    /// Below `bad_bound`, above which nothing is judged good: a single failure among the last
    /// few answers reaches 3.9.
    double suspect_bound{2.5};
    /// The same for the difference between the speeds of servers, in standard errors. 2.6 occurs
    /// in 0.5 % of comparisons of equal versions.
    double suspect_distance{2.6};
    double bad_distance{3.8};
    double high_load{0.6};                             ///< `answer::load` that counts as high
    duration nearby{std::chrono::milliseconds{1'000}}; ///< failures of both versions at once
};

/// @brief The answers that a rollout is judged by; bounded in size.
struct evidence {
    static constexpr std::size_t max_target = 1'024;
    static constexpr std::size_t max_baseline = 4'096;
    std::deque<answer> target;   ///< oldest first
    std::deque<answer> baseline; ///< oldest first
    std::uint64_t target_answers{};
    std::uint64_t target_failures{};
};

enum class verdict : std::uint8_t { undecided, good, bad };

enum class reason : std::uint8_t {
    thin,         ///< too few answers, or a suspicion that is not yet settled
    clean,        ///< enough answers without difference
    failures,     ///< more failures than the old version at the same time
    slow,         ///< answers slower than the same server's other answers
    slow_servers, ///< all servers slower than the old version's
};

/// @brief Verdict with its evidence, for decisions and logs.
struct judgement {
    verdict value{verdict::undecided};
    reason why{reason::thin};
    bool suspected{false};   ///< some comparison exceeds `suspect_bound`
    double log_ratio{};      ///< largest log likelihood ratio, bad over good
    std::uint64_t route{};   ///< that it was found on; 0: the service as a whole
    std::uint32_t answers{}; ///< of the target, without refused ones
    std::uint32_t failures{};
    /// Logarithms of the likelihood ratios, bad over good, of all answers; good below
    /// `-good_bound`.
    double failure_ratio{};
    double slowness_ratio{};
};

/// @brief Adds an answer; the oldest one of its version is dropped beyond the bound.
void record_answer(evidence& target, const answer& made);

/// @brief Compares the versions. Takes time proportional to the evidence (below a millisecond for
/// a thousand answers), so it is called with `step` rather than for each answer.
[[nodiscard]] judgement judge(const evidence& of, time_point now,
                              const judge_options& options = {});

/// @brief Name of a reason, as logs show it.
[[nodiscard]] const char* to_string(reason value) noexcept;

} // namespace tarragonspar::rollout
