#include "chart.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace tarragonspar::bench {

namespace {

constexpr double bar_width = 9.0;
constexpr double group_gap = 18.0;
constexpr double plot_height = 240.0;
constexpr double left_margin = 48.0;
constexpr double top_margin = 44.0;
constexpr double label_height = 90.0;
const char* const colours[] = {"#b0b7c3", "#8d99ae", "#6b7a99", "#4a5a7d", "#c8102e",
                               "#2a9d8f", "#e9c46a", "#f4a261", "#264653", "#6d597a"};

template <class Rows, class Member>
std::vector<std::string> distinct(const Rows& rows, Member member) {
    std::vector<std::string> names;
    for (const auto& row : rows) {
        if (std::find(names.begin(), names.end(), row.*member) == names.end()) {
            names.push_back(row.*member);
        }
    }
    return names;
}

std::string text(double x, double y, const std::string& content, const std::string& extra = "") {
    return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) +
           "\" font-family=\"sans-serif\" font-size=\"10\"" + extra + ">" + content + "</text>\n";
}

std::string rectangle(double x, double y, double width, double height, const char* colour) {
    return "<rect x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) + "\" width=\"" +
           std::to_string(width) + "\" height=\"" + std::to_string(height) + "\" fill=\"" + colour +
           "\"/>\n";
}

} // namespace

void chart_data::add(const std::string& scenario, const std::string& policy, double top_goodput,
                     double total_goodput, double waste) {
    rows_.push_back({scenario, policy, {top_goodput, total_goodput, waste}});
}

void chart_data::write(const std::string& folder) const {
    std::filesystem::create_directories(folder);
    const auto scenarios = distinct(rows_, &row::scenario);
    const auto policies = distinct(rows_, &row::policy);
    const char* const files[] = {"top-goodput", "total-goodput", "wasted-prefill"};
    const char* const titles[] = {"Top-tier answers in time, % of offered",
                                  "All answers in time, % of offered",
                                  "Prompt tokens computed and discarded, % of computed"};
    const auto group_width = static_cast<double>(policies.size()) * bar_width + group_gap;
    const auto width = left_margin + group_width * static_cast<double>(scenarios.size()) + 20.0;
    for (std::size_t chart = 0; chart < 3; ++chart) {
        double highest = 1.0;
        for (const auto& item : rows_) {
            highest = std::max(highest, item.values[chart]);
        }
        std::ofstream out(folder + "/" + files[chart] + ".svg");
        out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\""
            << top_margin + plot_height + label_height << "\">\n";
        out << text(left_margin, 14, titles[chart], " font-weight=\"bold\"");
        for (std::size_t p = 0; p < policies.size(); ++p) {
            const auto x = left_margin + static_cast<double>(p) * 120.0;
            out << rectangle(x, 22, 8, 8, colours[p % std::size(colours)]);
            out << text(x + 12, 30, policies[p]);
        }
        for (const double tick : {0.0, 0.25, 0.5, 0.75, 1.0}) {
            const auto y = top_margin + plot_height * (1.0 - tick);
            out << "<line x1=\"" << left_margin << "\" x2=\"" << width << "\" y1=\"" << y
                << "\" y2=\"" << y << "\" stroke=\"#ddd\"/>\n";
            out << text(4, y + 3, std::to_string(highest * tick).substr(0, 5));
        }
        for (const auto& item : rows_) {
            const auto s = static_cast<double>(
                std::find(scenarios.begin(), scenarios.end(), item.scenario) - scenarios.begin());
            const auto p =
                std::find(policies.begin(), policies.end(), item.policy) - policies.begin();
            const auto height = plot_height * item.values[chart] / highest;
            out << rectangle(left_margin + s * group_width + static_cast<double>(p) * bar_width,
                             top_margin + plot_height - height, bar_width - 1.0, height,
                             colours[static_cast<std::size_t>(p) % std::size(colours)]);
        }
        for (std::size_t s = 0; s < scenarios.size(); ++s) {
            const auto x = left_margin + static_cast<double>(s) * group_width + 4.0;
            const auto y = top_margin + plot_height + 14.0;
            out << text(x, y, scenarios[s],
                        " transform=\"rotate(30 " + std::to_string(x) + " " + std::to_string(y) +
                            ")\"");
        }
        out << "</svg>\n";
    }
}

} // namespace tarragonspar::bench
