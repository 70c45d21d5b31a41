#include "scenario.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace tarragonspar::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t engine_count = 12;
constexpr std::size_t domain_count = 4;
constexpr double run_seconds = 60.0;
const model_id scenario_model{hash_name("blend-7b")};

/// One kind of request. Shares and sizes follow the descriptions of the project's first users.
struct request_kind {
    const char* profile;
    int tier;
    double share;
    double deadline_seconds;
    double prompt_median;
    double output_median;
    std::uint32_t max_output;
    std::size_t documents; ///< long documents per workspace that prompts reuse; 0: none
    double document_tokens;
};

/// Load parameters that differ between scenarios.
struct load_shape {
    double rate{24.0};            ///< requests per second outside bursts
    double burst_factor{1.0};     ///< factor on the rate from second 20 to second 32
    double long_share{0.0};       ///< share of requests with size factor 100
    bool workspace_floods{false}; ///< one workspace sends three times as much as all others
    bool rereads{false};          ///< most prompts reuse a long document
};

const std::vector<request_kind>& kinds_of(bool rereads) {
    static const std::vector<request_kind> default_kinds{
        {"blend-recipe", 0, 0.18, 20.0, 300, 220, 1024, 0, 0},
        {"quick-answer", 1, 0.42, 6.0, 150, 40, 256, 0, 0},
        {"history-summary", 1, 0.15, 15.0, 200, 90, 512, 12, 3000},
        {"certificate-summary", 2, 0.15, 30.0, 3500, 90, 512, 0, 0},
        {"newsletter", 3, 0.10, 45.0, 200, 300, 1024, 0, 0}};
    static const std::vector<request_kind> reread_kinds{
        {"care-plan", 0, 0.25, 15.0, 150, 120, 512, 8, 4000},
        {"history-summary", 1, 0.45, 15.0, 150, 80, 512, 8, 6000},
        {"quick-answer", 1, 0.20, 6.0, 150, 40, 256, 0, 0},
        {"newsletter", 3, 0.10, 45.0, 200, 300, 1024, 0, 0}};
    return rereads ? reread_kinds : default_kinds;
}

std::uint32_t draw_length(double median, std::mt19937_64& random) {
    std::lognormal_distribution<double> length(std::log(median), 0.5);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(length(random)));
}

/// Chained block hashes of a prompt: a prefix shared with other requests, then its own part.
std::vector<block_hash> make_blocks(std::uint64_t shared_seed, std::uint32_t shared_tokens,
                                    std::uint64_t unique_seed, std::uint32_t unique_tokens) {
    std::vector<block_hash> blocks;
    std::uint64_t chain = 0;
    for (std::uint32_t i = 0; i < shared_tokens / block_tokens; ++i) {
        chain = hash_pair(hash_pair(shared_seed, i), chain);
        blocks.push_back({chain});
    }
    for (std::uint32_t i = 0; i < unique_tokens / block_tokens; ++i) {
        chain = hash_pair(hash_pair(unique_seed, i), chain);
        blocks.push_back({chain});
    }
    return blocks;
}

std::size_t draw_workspace(const load_shape& shape, std::mt19937_64& random) {
    const std::vector<double> weights = shape.workspace_floods ? std::vector<double>{24, 2, 2, 2, 2}
                                                               : std::vector<double>{4, 3, 1, 1, 1};
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

simulated_request draw_request(const load_shape& shape, std::uint64_t sequence, double at,
                               std::mt19937_64& random) {
    const auto& kinds = kinds_of(shape.rereads);
    std::vector<double> shares;
    shares.reserve(kinds.size());
    for (const auto& item : kinds) {
        shares.push_back(item.share);
    }
    const auto& chosen =
        kinds[std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random)];
    const auto workspace = draw_workspace(shape, random);
    // Prompt and output each scale with the square root of the size factor.
    const auto size_factor =
        std::uniform_real_distribution<double>(0, 1)(random) < shape.long_share ? 100.0 : 1.0;
    const auto unique_tokens = static_cast<std::uint32_t>(
        std::min(60'000.0, draw_length(chosen.prompt_median, random) * std::sqrt(size_factor)));
    std::uint32_t shared_tokens = 0;
    std::uint64_t shared_seed = 0;
    if (chosen.documents > 0) {
        const auto document = random() % chosen.documents;
        shared_seed = hash_pair(hash_pair(hash_name(chosen.profile), workspace), document);
        shared_tokens = static_cast<std::uint32_t>(
            chosen.document_tokens * (0.5 + static_cast<double>(shared_seed % 100) / 100));
    }
    simulated_request result;
    result.work.id = {.issuer = {1}, .issued_in = {1}, .sequence = sequence};
    result.work.urgency = {static_cast<std::uint8_t>(chosen.tier)};
    result.work.workspace = {hash_name("workspace-" + std::to_string(workspace))};
    result.work.model = scenario_model;
    result.work.profile = hash_name(chosen.profile);
    result.work.arrival = time_point{from_seconds(at)};
    result.work.deadline = result.work.arrival + from_seconds(chosen.deadline_seconds);
    result.work.prompt = {shared_tokens + unique_tokens};
    result.work.max_output = {chosen.max_output};
    result.work.blocks = make_blocks(shared_seed, shared_tokens, random(), unique_tokens);
    const auto length = draw_length(chosen.output_median, random) * std::sqrt(size_factor);
    result.output = {std::min(chosen.max_output, static_cast<std::uint32_t>(length))};
    return result;
}

void add_engines(scenario& target, bool mixed_generations) {
    for (std::size_t i = 0; i < engine_count; ++i) {
        simulated_engine engine;
        engine.id = {static_cast<std::uint32_t>(i + 1)};
        engine.domain = i % domain_count;
        engine.hardware_class = "gen1";
        if (mixed_generations && i % 3 == 0) {
            engine.hardware_class = "gen2";
            engine.options.prefill_tokens_per_second *= 2.5;
            engine.options.decode_base_seconds /= 2.0;
            engine.options.slots = 12;
        }
        target.engines.push_back(engine);
    }
    target.instance_domain = {0, 0, 1, 1, 2, 3};
}

void add_requests(scenario& target, const load_shape& shape, std::mt19937_64& random) {
    double at = 0.0;
    std::uint64_t sequence = 0;
    while (true) {
        const auto in_burst = at >= 20.0 && at < 32.0;
        const auto rate = shape.rate * (in_burst ? shape.burst_factor : 1.0);
        at += std::exponential_distribution<double>(rate)(random);
        if (at > run_seconds) {
            return;
        }
        auto request = draw_request(shape, ++sequence, at, random);
        request.entry = random() % target.instance_domain.size();
        target.requests.push_back(std::move(request));
    }
}

time_point at_second(double value) {
    return time_point{from_seconds(value)};
}

void add_incidents(scenario& target, const std::string& name) {
    using enum incident_kind;
    if (name == "straggler" || name == "all_at_once") {
        target.incidents.push_back({at_second(15), engine_slowdown, 4, 6.0});
        target.incidents.push_back({at_second(45), engine_slowdown, 4, 1.0});
    }
    if (name == "engine_loss" || name == "all_at_once") {
        target.incidents.push_back({at_second(18), engine_failure, 1, 1.0});
        target.incidents.push_back({at_second(26), engine_failure, 6, 1.0});
        target.incidents.push_back({at_second(40), engine_recovery, 1, 1.0});
    }
    if (name == "domain_cut" || name == "all_at_once") {
        target.incidents.push_back({at_second(22), domain_partition, 3, 1.0});
        target.incidents.push_back({at_second(42), domain_reconnection, 3, 1.0});
    }
    std::stable_sort(target.incidents.begin(), target.incidents.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; });
}

load_shape shape_of(const std::string& name) {
    load_shape shape;
    if (name == "burst") {
        shape.burst_factor = 3.0;
    } else if (name == "long_tail") {
        shape.long_share = 0.01;
    } else if (name == "rereads") {
        shape.rereads = true;
    } else if (name == "mixed_generations") {
        shape.rate *= 1.4;
    } else if (name == "one_workspace_floods") {
        shape.rate *= 2.2;
        shape.workspace_floods = true;
    } else if (name == "all_at_once") {
        shape.burst_factor = 2.0;
        shape.long_share = 0.01;
    }
    return shape;
}

} // namespace

const std::vector<std::string>& scenario_names() {
    static const std::vector<std::string> names{"steady",
                                                "burst",
                                                "long_tail",
                                                "straggler",
                                                "engine_loss",
                                                "domain_cut",
                                                "rereads",
                                                "mixed_generations",
                                                "one_workspace_floods",
                                                "all_at_once"};
    return names;
}

std::optional<scenario> make_scenario(const std::string& name, std::uint64_t seed) {
    const auto& names = scenario_names();
    if (std::find(names.begin(), names.end(), name) == names.end()) {
        return std::nullopt;
    }
    scenario result;
    result.name = name;
    std::mt19937_64 random(hash_pair(seed, hash_name(name)));
    add_engines(result, name == "mixed_generations" || name == "all_at_once");
    add_requests(result, shape_of(name), random);
    add_incidents(result, name);
    return result;
}

} // namespace tarragonspar::bench
