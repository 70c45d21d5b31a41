#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include <getopt.h>
#include <nlohmann/json.hpp>

#include "load_generator.hpp"

namespace {

using namespace tarragonspar;

constexpr const char* help = R"(tarragon-load: sends open-loop load to a running deployment

  --target IP:PORT   an entry instance; may be repeated
  --mix NAME         traffic mix: amman or cairo (default amman)
  --rate N           requests per second (default 50)
  --seconds N        duration of the load in seconds (default 10)
  --seed N           seed of the random generator (default 1)
  --journal FILE     journal of a fake server; may be repeated
  --json             print the report as JSON
  --help, --version

exit codes: 0 all guarantees held, 1 a guarantee was violated, 2 usage error
)";

constexpr int exit_usage = 2;

double quantile(std::vector<double> values, double fraction) {
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

void print_table(const load::load_report& report) {
    std::printf("%-5s %8s %8s %6s %8s %8s %6s %9s %8s\n", "tier", "offered", "in_time", "late",
                "not_run", "unknown", "lost", "malformed", "goodput");
    for (const auto& [tier, counts] : report.tiers) {
        std::printf("%-5d %8lu %8lu %6lu %8lu %8lu %6lu %9lu %7.2f%%\n", tier, counts.offered,
                    counts.in_time, counts.late, counts.not_executed, counts.unknown,
                    counts.connection_lost, counts.malformed,
                    100.0 * static_cast<double>(counts.in_time) /
                        static_cast<double>(std::max<std::uint64_t>(1, counts.offered)));
    }
    std::printf("first token s  p50 %.3f  p95 %.3f    total s  p50 %.3f  p95 %.3f\n",
                quantile(report.first_token_seconds, 0.5),
                quantile(report.first_token_seconds, 0.95), quantile(report.total_seconds, 0.5),
                quantile(report.total_seconds, 0.95));
    std::printf("prompt tokens %lu, of them cached %lu, wasted prefill %lu\n",
                report.journal_prompt_tokens, report.journal_cached_tokens,
                report.journal_wasted_tokens);
    std::printf("executed more than once %lu, executed despite outcome \"not executed\" %lu\n",
                report.double_runs, report.ran_though_denied);
}

void print_json(const load::load_report& report) {
    nlohmann::json document;
    for (const auto& [tier, counts] : report.tiers) {
        document["tiers"][std::to_string(tier)] = {
            {"offered", counts.offered},    {"in_time", counts.in_time},
            {"late", counts.late},          {"not_executed", counts.not_executed},
            {"unknown", counts.unknown},    {"connection_lost", counts.connection_lost},
            {"malformed", counts.malformed}};
    }
    document["double_runs"] = report.double_runs;
    document["ran_though_denied"] = report.ran_though_denied;
    document["wasted_prefill_tokens"] = report.journal_wasted_tokens;
    document["first_token_p95_seconds"] = quantile(report.first_token_seconds, 0.95);
    std::printf("%s\n", document.dump(2).c_str());
}

bool read_options(int argc, char** argv, load::load_options& options, int& exit_code) {
    const option long_options[] = {
        {"target", required_argument, nullptr, 't'}, {"mix", required_argument, nullptr, 'm'},
        {"rate", required_argument, nullptr, 'r'},   {"seconds", required_argument, nullptr, 's'},
        {"seed", required_argument, nullptr, 'd'},   {"journal", required_argument, nullptr, 'j'},
        {"json", no_argument, nullptr, 'o'},         {"help", no_argument, nullptr, 'h'},
        {"version", no_argument, nullptr, 'v'},      {nullptr, 0, nullptr, 0}};
    exit_code = exit_usage;
    for (int code = 0; (code = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
        switch (code) {
        case 't': {
            const auto parsed = settings::parse_endpoint(optarg);
            if (!parsed) {
                return false;
            }
            options.targets.push_back(*parsed);
            break;
        }
        case 'm':
            options.mix = optarg;
            break;
        case 'r':
            options.rate = std::strtod(optarg, nullptr);
            break;
        case 's':
            options.seconds = std::strtod(optarg, nullptr);
            break;
        case 'd':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'j':
            options.journals.emplace_back(optarg);
            break;
        case 'o':
            options.json = true;
            break;
        case 'h':
            exit_code = 0;
            std::fputs(help, stdout);
            return false;
        case 'v':
            exit_code = 0;
            std::puts("tarragon-load 0.1.0");
            return false;
        default:
            return false;
        }
    }
    return !options.targets.empty() && options.rate > 0.0 &&
           load::find_mix(options.mix).has_value();
}

/// Whether no request ran twice, none ran after the answer "not executed", and every answer
/// was complete and belonged to its request.
bool guarantees_hold(const load::load_report& report) {
    std::uint64_t malformed = 0;
    for (const auto& [tier, counts] : report.tiers) {
        malformed += counts.malformed;
    }
    return report.double_runs == 0 && report.ran_though_denied == 0 && malformed == 0;
}

} // namespace

int main(int argc, char** argv) {
    load::load_options options;
    int exit_code = 0;
    if (!read_options(argc, argv, options, exit_code)) {
        if (exit_code != 0) {
            std::fputs(help, stderr);
        }
        return exit_code;
    }
    auto report = load::run_load(options);
    load::check_journals(options.journals, report);
    if (options.json) {
        print_json(report);
    } else {
        print_table(report);
    }
    return guarantees_hold(report) ? 0 : 1;
}
