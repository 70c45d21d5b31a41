#include "policy_command.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include <getopt.h>
#include <nlohmann/json.hpp>

#include "chart.hpp"
#include "policies.hpp"

namespace tarragonspar::bench {

namespace {

constexpr int exit_tier_inversion = 1;
constexpr int exit_usage = 2;

struct policy_options {
    std::vector<std::string> scenarios;
    std::vector<std::string> policies;
    std::uint64_t first_seed{1};
    std::uint64_t last_seed{1};
    bool json{false};
    std::string svg_folder;
};

/// Sums of the results of one policy in one scenario over all seeds.
struct summary {
    run_result total;
    std::size_t runs{};
};

void add(summary& target, const run_result& result) {
    ++target.runs;
    for (const auto& [tier, counts] : result.tiers) {
        auto& sum = target.total.tiers[tier];
        sum.offered += counts.offered;
        sum.in_time += counts.in_time;
        sum.late += counts.late;
        sum.shed += counts.shed;
        sum.expired += counts.expired;
        sum.lost += counts.lost;
    }
    target.total.prefill_tokens += result.prefill_tokens;
    target.total.wasted_prefill_tokens += result.wasted_prefill_tokens;
    target.total.prefix_hit_tokens += result.prefix_hit_tokens;
    target.total.oracle_hit_tokens += result.oracle_hit_tokens;
    target.total.tier_inversions += result.tier_inversions;
    auto& ttft = target.total.ttft_seconds;
    ttft.insert(ttft.end(), result.ttft_seconds.begin(), result.ttft_seconds.end());
    auto& tbt = target.total.tbt_seconds;
    tbt.insert(tbt.end(), result.tbt_seconds.begin(), result.tbt_seconds.end());
}

double quantile_ms(std::vector<double>& values, double fraction) {
    if (values.empty()) {
        return 0.0;
    }
    const auto index =
        static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)] * 1000.0;
}

double percentage(std::uint64_t numerator, std::uint64_t denominator) {
    return denominator == 0
               ? 0.0
               : 100.0 * static_cast<double>(numerator) / static_cast<double>(denominator);
}

nlohmann::json to_json(const std::string& policy, summary& aggregate) {
    nlohmann::json document{{"policy", policy}, {"runs", aggregate.runs}};
    for (const auto& [tier, counts] : aggregate.total.tiers) {
        document["tiers"][std::to_string(tier)] = {
            {"offered", counts.offered}, {"in_time", counts.in_time}, {"late", counts.late},
            {"shed", counts.shed},       {"expired", counts.expired}, {"lost", counts.lost}};
    }
    document["prefill_tokens"] = aggregate.total.prefill_tokens;
    document["wasted_prefill_tokens"] = aggregate.total.wasted_prefill_tokens;
    document["prefix_hit_tokens"] = aggregate.total.prefix_hit_tokens;
    document["oracle_hit_tokens"] = aggregate.total.oracle_hit_tokens;
    document["tier_inversions"] = aggregate.total.tier_inversions;
    for (const auto& [name, values] : {std::pair{"ttft_ms", &aggregate.total.ttft_seconds},
                                       std::pair{"tbt_ms", &aggregate.total.tbt_seconds}}) {
        document[name] = {{"p50", quantile_ms(*values, 0.5)},
                          {"p95", quantile_ms(*values, 0.95)},
                          {"p99", quantile_ms(*values, 0.99)}};
    }
    return document;
}

struct totals_row {
    std::uint64_t offered{};
    std::uint64_t in_time{};
};

totals_row totals_of(const summary& aggregate) {
    totals_row row;
    for (const auto& [tier, counts] : aggregate.total.tiers) {
        row.offered += counts.offered;
        row.in_time += counts.in_time;
    }
    return row;
}

void print_row(const std::string& scenario, const std::string& policy, summary& aggregate) {
    const auto row = totals_of(aggregate);
    const auto& top = aggregate.total.tiers[0];
    std::printf("%-21s %-24s %7.2f %7.2f %7.2f %8.2f %8.1f %8.0f %7.1f %5lu\n", scenario.c_str(),
                policy.c_str(), percentage(top.in_time, top.offered),
                percentage(row.in_time, row.offered),
                percentage(aggregate.total.wasted_prefill_tokens, aggregate.total.prefill_tokens),
                percentage(aggregate.total.prefix_hit_tokens,
                           aggregate.total.prefix_hit_tokens + aggregate.total.prefill_tokens),
                percentage(aggregate.total.prefix_hit_tokens, aggregate.total.oracle_hit_tokens),
                quantile_ms(aggregate.total.ttft_seconds, 0.95),
                quantile_ms(aggregate.total.tbt_seconds, 0.95), aggregate.total.tier_inversions);
}

bool read_seeds(const std::string& text, policy_options& options) {
    const auto separator = text.find("..");
    if (separator == std::string::npos) {
        return false;
    }
    options.first_seed = std::strtoull(text.c_str(), nullptr, 10);
    options.last_seed = std::strtoull(text.c_str() + separator + 2, nullptr, 10);
    return options.first_seed <= options.last_seed;
}

bool read_options(int argc, char** argv, policy_options& options) {
    const option long_options[] = {{"scenario", required_argument, nullptr, 's'},
                                   {"seed", required_argument, nullptr, 'd'},
                                   {"seeds", required_argument, nullptr, 'r'},
                                   {"policy", required_argument, nullptr, 'p'},
                                   {"json", no_argument, nullptr, 'j'},
                                   {"svg", required_argument, nullptr, 'v'},
                                   {nullptr, 0, nullptr, 0}};
    for (int code = 0; (code = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
        const std::string value = optarg == nullptr ? "" : optarg;
        switch (code) {
        case 's':
            if (value == "all") {
                options.scenarios = scenario_names();
            } else {
                options.scenarios.push_back(value);
            }
            break;
        case 'd':
            options.first_seed = options.last_seed = std::strtoull(value.c_str(), nullptr, 10);
            break;
        case 'r':
            if (!read_seeds(value, options)) {
                return false;
            }
            break;
        case 'p':
            options.policies.push_back(value);
            break;
        case 'j':
            options.json = true;
            break;
        case 'v':
            options.svg_folder = value;
            break;
        default:
            return false;
        }
    }
    if (options.policies.empty()) {
        options.policies = policy_names();
    }
    for (const auto& name : options.policies) {
        if (!make_policy(name, 1)) {
            return false;
        }
    }
    return !options.scenarios.empty();
}

summary run_seeds(const std::string& name, const std::string& policy_name,
                  const policy_options& options) {
    summary sum;
    for (auto seed = options.first_seed; seed <= options.last_seed; ++seed) {
        const auto experiment = make_scenario(name, seed);
        const auto policy = make_policy(policy_name, seed);
        simulation trial(*experiment, *policy);
        add(sum, trial.run());
    }
    return sum;
}

} // namespace

int run_policy_command(int argc, char** argv) {
    policy_options options;
    if (!read_options(argc, argv, options)) {
        std::fputs("usage: tarragon-bench policy --scenario NAME|all [--seed N|--seeds A..B]\n",
                   stderr);
        return exit_usage;
    }
    if (!options.json) {
        std::printf("%-21s %-24s %7s %7s %7s %8s %8s %8s %7s %5s\n", "scenario", "policy", "top%",
                    "all%", "waste%", "hit%", "hit/or%", "ttft95", "tbt95", "inv");
    }
    nlohmann::json document = nlohmann::json::object();
    std::uint64_t inversions = 0;
    chart_data chart;
    for (const auto& name : options.scenarios) {
        if (!make_scenario(name, 1)) {
            std::fprintf(stderr, "no scenario is named %s\n", name.c_str());
            return exit_usage;
        }
        for (const auto& policy_name : options.policies) {
            auto sum = run_seeds(name, policy_name, options);
            inversions += sum.total.tier_inversions;
            const auto row = totals_of(sum);
            const auto& top = sum.total.tiers[0];
            chart.add(name, policy_name, percentage(top.in_time, top.offered),
                      percentage(row.in_time, row.offered),
                      percentage(sum.total.wasted_prefill_tokens, sum.total.prefill_tokens));
            if (options.json) {
                document[name].push_back(to_json(policy_name, sum));
            } else {
                print_row(name, policy_name, sum);
                std::fflush(stdout);
            }
        }
    }
    if (options.json) {
        std::printf("%s\n", document.dump(2).c_str());
    }
    if (!options.svg_folder.empty()) {
        chart.write(options.svg_folder);
    }
    return inversions == 0 ? 0 : exit_tier_inversion;
}

} // namespace tarragonspar::bench
