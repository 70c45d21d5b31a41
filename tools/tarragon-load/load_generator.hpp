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

/// @brief Settings of a load run.
struct load_options {
    std::vector<settings::endpoint> targets; ///< entry instances, used in round-robin order
    std::string mix{"amman"};
    double rate{50.0};    ///< requests per second, independent of completions (open loop)
    double seconds{10.0}; ///< duration of sending
    std::uint64_t seed{1};
    std::vector<std::string> journals; ///< journals of the fake servers, to check what was executed
    bool json{false};
};

/// @brief Request counts of one tier.
struct tier_counts {
    std::uint64_t offered{};
    std::uint64_t in_time{};
    std::uint64_t late{};
    std::uint64_t not_executed{};
    std::uint64_t unknown{};
    std::uint64_t connection_lost{}; ///< no complete response arrived
    std::uint64_t malformed{}; ///< an incomplete answer, or one that belongs to another request
};

/// @brief Results of a run.
struct load_report {
    std::map<int, tier_counts> tiers;
    std::vector<double> total_seconds;       ///< latency of answers in time
    std::vector<double> first_token_seconds; ///< time to the first byte of streamed answers in time
    std::set<std::string> reported_not_executed; ///< ids of requests answered "not executed"
    std::uint64_t double_runs{};                 ///< ids of requests executed more than once
    std::uint64_t ran_though_denied{}; ///< requests answered "not executed" that were executed
    std::uint64_t journal_prompt_tokens{};
    std::uint64_t journal_cached_tokens{};
    std::uint64_t journal_wasted_tokens{};
};

/// @brief Sends the load and waits for all answers.
[[nodiscard]] load_report run_load(const load_options& options);

/// @brief Compares the outcomes that callers received with the servers' journals and adds the
/// differences to the report.
void check_journals(const std::vector<std::string>& files, load_report& report);

} // namespace tarragonspar::load
