#include "mix.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace tarragonspar::load {

namespace {

using std::chrono::milliseconds;

/// Bytes of prompt text per token, equal to the ratio that the fake engine uses.
constexpr std::uint32_t bytes_per_token = 4;

traffic_mix amman() {
    traffic_mix mix{.name = "amman"};
    const std::string model = "blend-7b";
    mix.kinds = {
        {"blend-recipe", 0, 3.0, milliseconds{20'000}, "", model, 300, 200, 0},
        {"quick-answer", 1, 4.0, milliseconds{5'000}, "", model, 120, 40, 0},
        {"certificate-summary", 2, 1.5, milliseconds{30'000}, "", model, 3000, 80, 40},
        {"order-booking", 0, 3.0, milliseconds{5'000}, "order-desk", "", 0, 0, 0},
        {"order-status", 1, 4.0, milliseconds{3'000}, "order-desk", "", 0, 0, 0},
    };
    mix.workspaces = {{"wholesale", 4.0},
                      {"restaurants", 3.0},
                      {"bakeries", 1.0},
                      {"retail", 1.0},
                      {"certificates", 1.0}};
    return mix;
}

traffic_mix cairo() {
    traffic_mix mix{.name = "cairo"};
    const std::string model = "paws-8b";
    mix.kinds = {
        {"care-plan", 0, 3.0, milliseconds{12'000}, "", model, 1200, 120, 60},
        {"history-summary", 1, 3.0, milliseconds{15'000}, "", model, 4000, 80, 60},
        {"newsletter", 3, 1.0, milliseconds{60'000}, "", model, 200, 300, 0},
        {"deposit", 0, 2.0, milliseconds{5'000}, "front-desk", "", 0, 0, 0},
        {"appointment-lookup", 1, 5.0, milliseconds{3'000}, "front-desk", "", 0, 0, 0},
    };
    mix.workspaces = {
        {"zamalek", 4.0}, {"maadi", 3.0}, {"heliopolis", 1.0}, {"giza", 1.0}, {"dokki", 1.0}};
    return mix;
}

template <class Items, class Weight>
std::size_t draw_index(const Items& items, Weight weight, std::mt19937_64& random) {
    std::vector<double> weights;
    weights.reserve(items.size());
    for (const auto& item : items) {
        weights.push_back(weight(item));
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
}

/// Generates the text of a document; equal seeds give equal texts.
std::string make_text(std::uint64_t seed, std::uint32_t tokens) {
    std::mt19937_64 letters(seed);
    std::string text;
    text.reserve(std::size_t{tokens} * bytes_per_token);
    while (text.size() < std::size_t{tokens} * bytes_per_token) {
        text.push_back(static_cast<char>('a' + letters() % 26));
    }
    return text;
}

} // namespace

std::optional<traffic_mix> find_mix(const std::string& name) {
    if (name == "amman") {
        return amman();
    }
    if (name == "cairo") {
        return cairo();
    }
    return std::nullopt;
}

drawn_request draw(const traffic_mix& mix, std::mt19937_64& random) {
    const auto kind = draw_index(
        mix.kinds, [](const auto& item) { return item.weight; }, random);
    const auto workspace = draw_index(
        mix.workspaces, [](const auto& item) { return item.second; }, random);
    drawn_request result;
    result.kind = &mix.kinds[kind];
    result.workspace = mix.workspaces[workspace].first;
    const auto number = random();
    if (!result.kind->service.empty()) {
        result.body = nlohmann::json{{"order", number}}.dump();
        return result;
    }
    const auto document = result.kind->documents == 0
                              ? number
                              : workspace * 1000 + kind * 100 + number % result.kind->documents;
    auto text = make_text(document, result.kind->prompt_tokens);
    text += " question " + std::to_string(number);
    result.body = nlohmann::json{
        {"model", result.kind->model},
        {"stream", true},
        {"max_tokens", result.kind->output_tokens},
        {"prompt",
         text}}.dump();
    return result;
}

} // namespace tarragonspar::load
