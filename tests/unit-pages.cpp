#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <gtest/gtest.h>

#include "tarragonspar/telemetry/metrics.hpp"

namespace {

std::string read(const std::filesystem::path& path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::set<std::string> find_all(const std::string& text, const std::string& pattern) {
    std::set<std::string> found;
    const std::regex expression(pattern);
    for (std::sregex_iterator at(text.begin(), text.end(), expression), end; at != end; ++at) {
        found.insert((*at)[1]);
    }
    return found;
}

const std::filesystem::path root = TARRAGONSPAR_SOURCE_DIR;

} // namespace

TEST(Documentation, MetricsPageListsExactlyTheExposedSeries) {
    tarragonspar::telemetry::metrics metrics;
    metrics.record({.workspace = "w", .kind = "engine"});
    metrics.record_token_interval({}, {});
    metrics.count_dispatch({});
    const auto page = find_all(read(root / "docs/METRICS.md"), "\\| `(tarragonspar_[a-z_]+)`");
    const auto source =
        find_all(read(root / "src/telemetry/metrics.cpp"), "\"(tarragonspar_[a-z_]+)\"");
    EXPECT_EQ(page, source);
    for (const auto& name : find_all(metrics.expose(), "# TYPE (tarragonspar_[a-z_]+) ")) {
        EXPECT_TRUE(page.contains(name)) << name;
    }
}

TEST(Documentation, LogsPageListsEveryEventOfEntryAndControlInstances) {
    std::set<std::string> written;
    std::string text;
    for (const auto& item : std::filesystem::directory_iterator(root / "src/gateway")) {
        text += read(item.path());
    }
    text += read(root / "src/runtime/control_group.cpp");
    text += read(root / "src/runtime/control_service.cpp");
    for (const auto& expression : find_all(text, "log_line\\(([^;{]*?)\\)\\s*(\\.add|\\)|;)")) {
        for (const auto& name : find_all(expression, "\"([a-z_]+)\"")) {
            written.insert(name);
        }
    }
    const auto page = find_all(read(root / "docs/LOGS.md"), "`([a-z_]+)`");
    EXPECT_FALSE(written.empty());
    for (const auto& name : written) {
        EXPECT_TRUE(page.contains(name)) << name;
    }
}
