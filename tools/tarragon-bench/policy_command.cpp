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

constexpr int exit_inverted = 1;
constexpr int exit_usage = 2;

struct options {
    std::vector<std::string> scenarios;
    std::vector<std::string> policies;
    std::uint64_t first_seed{1};
    std::uint64_t last_seed{1};
    bool json{false};
    std::string svg_folder;
};

/// Sums over the seeds of one scenario and policy.
struct summary {
    run_result total;
    std::size_t runs{};
};

void add(summary& target, const run_result& what) {
    ++target.runs;
    for (const auto& [tier, counts] : what.tiers) {
        auto& sum = target.total.tiers[tier];
        sum.offered += counts.offered;
        sum.in_time += counts.in_time;
        sum.late += counts.late;
        sum.shed += counts.shed;
        sum.expired += counts.expired;
        sum.lost += counts.lost;
    }
    target.total.prefill_tokens += what.prefill_tokens;
    target.total.wasted_prefill_tokens += what.wasted_prefill_tokens;
    target.total.prefix_hit_tokens += what.prefix_hit_tokens;
    target.total.oracle_hit_tokens += what.oracle_hit_tokens;
    target.total.tier_inversions += what.tier_inversions;
    auto& ttft = target.total.ttft_seconds;
    ttft.insert(ttft.end(), what.ttft_seconds.begin(), what.ttft_seconds.end());
    auto& tbt = target.total.tbt_seconds;
    tbt.insert(tbt.end(), what.tbt_seconds.begin(), what.tbt_seconds.end());
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

double share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

nlohmann::json to_json(const std::string& policy, summary& what) {
    nlohmann::json out{{"policy", policy}, {"runs", what.runs}};
    for (const auto& [tier, counts] : what.total.tiers) {
        out["tiers"][std::to_string(tier)] = {
            {"offered", counts.offered}, {"in_time", counts.in_time}, {"late", counts.late},
            {"shed", counts.shed},       {"expired", counts.expired}, {"lost", counts.lost}};
    }
    out["prefill_tokens"] = what.total.prefill_tokens;
    out["wasted_prefill_tokens"] = what.total.wasted_prefill_tokens;
    out["prefix_hit_tokens"] = what.total.prefix_hit_tokens;
    out["oracle_hit_tokens"] = what.total.oracle_hit_tokens;
    out["tier_inversions"] = what.total.tier_inversions;
    for (const auto& [name, values] : {std::pair{"ttft_ms", &what.total.ttft_seconds},
                                       std::pair{"tbt_ms", &what.total.tbt_seconds}}) {
        out[name] = {{"p50", quantile_ms(*values, 0.5)},
                     {"p95", quantile_ms(*values, 0.95)},
                     {"p99", quantile_ms(*values, 0.99)}};
    }
    return out;
}

struct totals_row {
    std::uint64_t offered{};
    std::uint64_t in_time{};
};

totals_row totals_of(const summary& what) {
    totals_row row;
    for (const auto& [tier, counts] : what.total.tiers) {
        row.offered += counts.offered;
        row.in_time += counts.in_time;
    }
    return row;
}

void print_row(const std::string& scenario, const std::string& policy, summary& what) {
    const auto row = totals_of(what);
    const auto& top = what.total.tiers[0];
    std::printf("%-21s %-24s %7.2f %7.2f %7.2f %8.2f %8.1f %8.0f %7.1f %5lu\n", scenario.c_str(),
                policy.c_str(), share(top.in_time, top.offered), share(row.in_time, row.offered),
                share(what.total.wasted_prefill_tokens, what.total.prefill_tokens),
                share(what.total.prefix_hit_tokens,
                      what.total.prefix_hit_tokens + what.total.prefill_tokens),
                share(what.total.prefix_hit_tokens, what.total.oracle_hit_tokens),
                quantile_ms(what.total.ttft_seconds, 0.95),
                quantile_ms(what.total.tbt_seconds, 0.95), what.total.tier_inversions);
}

bool read_seeds(const std::string& text, options& out) {
    const auto dots = text.find("..");
    if (dots == std::string::npos) {
        return false;
    }
    out.first_seed = std::strtoull(text.c_str(), nullptr, 10);
    out.last_seed = std::strtoull(text.c_str() + dots + 2, nullptr, 10);
    return out.first_seed <= out.last_seed;
}

bool read_options(int count, char** values, options& out) {
    const option known[] = {{"scenario", required_argument, nullptr, 's'},
                            {"seed", required_argument, nullptr, 'd'},
                            {"seeds", required_argument, nullptr, 'r'},
                            {"policy", required_argument, nullptr, 'p'},
                            {"json", no_argument, nullptr, 'j'},
                            {"svg", required_argument, nullptr, 'v'},
                            {nullptr, 0, nullptr, 0}};
    for (int code = 0; (code = getopt_long(count, values, "", known, nullptr)) != -1;) {
        const std::string value = optarg == nullptr ? "" : optarg;
        switch (code) {
        case 's':
            if (value == "all") {
                out.scenarios = scenario_names();
            } else {
                out.scenarios.push_back(value);
            }
            break;
        case 'd':
            out.first_seed = out.last_seed = std::strtoull(value.c_str(), nullptr, 10);
            break;
        case 'r':
            if (!read_seeds(value, out)) {
                return false;
            }
            break;
        case 'p':
            out.policies.push_back(value);
            break;
        case 'j':
            out.json = true;
            break;
        case 'v':
            out.svg_folder = value;
            break;
        default:
            return false;
        }
    }
    if (out.policies.empty()) {
        out.policies = policy_names();
    }
    for (const auto& name : out.policies) {
        if (!make_policy(name, 1)) {
            return false;
        }
    }
    return !out.scenarios.empty();
}

summary run_seeds(const std::string& name, const std::string& policy_name, const options& chosen) {
    summary sum;
    for (auto seed = chosen.first_seed; seed <= chosen.last_seed; ++seed) {
        const auto setting = make_scenario(name, seed);
        const auto policy = make_policy(policy_name, seed);
        world trial(*setting, *policy);
        add(sum, trial.run());
    }
    return sum;
}

} // namespace

int run_policy_command(int count, char** values) {
    options chosen;
    if (!read_options(count, values, chosen)) {
        std::fputs("usage: tarragon-bench policy --scenario NAME|all [--seed N|--seeds A..B]\n",
                   stderr);
        return exit_usage;
    }
    if (!chosen.json) {
        std::printf("%-21s %-24s %7s %7s %7s %8s %8s %8s %7s %5s\n", "scenario", "policy", "top%",
                    "all%", "waste%", "hit%", "hit/or%", "ttft95", "tbt95", "inv");
    }
    nlohmann::json out = nlohmann::json::object();
    std::uint64_t inversions = 0;
    chart_data chart;
    for (const auto& name : chosen.scenarios) {
        if (!make_scenario(name, 1)) {
            std::fprintf(stderr, "no scenario is named %s\n", name.c_str());
            return exit_usage;
        }
        for (const auto& policy_name : chosen.policies) {
            auto sum = run_seeds(name, policy_name, chosen);
            inversions += sum.total.tier_inversions;
            const auto row = totals_of(sum);
            const auto& top = sum.total.tiers[0];
            chart.add(name, policy_name, share(top.in_time, top.offered),
                      share(row.in_time, row.offered),
                      share(sum.total.wasted_prefill_tokens, sum.total.prefill_tokens));
            if (chosen.json) {
                out[name].push_back(to_json(policy_name, sum));
            } else {
                print_row(name, policy_name, sum);
                std::fflush(stdout);
            }
        }
    }
    if (chosen.json) {
        std::printf("%s\n", out.dump(2).c_str());
    }
    if (!chosen.svg_folder.empty()) {
        chart.write(chosen.svg_folder);
    }
    return inversions == 0 ? 0 : exit_inverted;
}

} // namespace tarragonspar::bench
