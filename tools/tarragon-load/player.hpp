#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mix.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::load {

/// @brief What to send and where.
struct load_options {
    std::vector<settings::endpoint> targets; ///< entry instances; taken in turn, as a balancer does
    std::string mix{"amman"};
    double rate{50.0}; ///< requests a second, whether or not earlier ones have ended
    double seconds{10.0};
    std::uint64_t seed{1};
    std::vector<std::string> journals; ///< of the fake servers, to check what really ran
    bool json{false};
};

/// @brief Counts of one tier.
struct tier_counts {
    std::uint64_t offered{};
    std::uint64_t in_time{};
    std::uint64_t late{};
    std::uint64_t not_executed{};
    std::uint64_t unknown{};
    std::uint64_t connection_lost{}; ///< the caller heard nothing
    std::uint64_t malformed{};       ///< an answer that was not whole or not its own
};

/// @brief Results of a run.
struct load_report {
    std::map<int, tier_counts> tiers;
    std::vector<double> total_seconds;       ///< of answers in time
    std::vector<double> first_token_seconds; ///< of streamed answers
    std::set<std::string> told_not_executed; ///< request ids
    std::uint64_t double_runs{};             ///< ids that servers ran more than once
    std::uint64_t ran_though_denied{};       ///< told "not executed" but ran
    std::uint64_t journal_prompt_tokens{};
    std::uint64_t journal_cached_tokens{};
    std::uint64_t journal_wasted_tokens{};
};

/// @brief Sends the load and waits for all answers.
[[nodiscard]] load_report play(const load_options& options);

/// @brief Compares what callers were told with what the servers' journals say.
void check_journals(const std::vector<std::string>& files, load_report& report);

} // namespace tarragonspar::load
