#include "tarragonspar/settings/detail/map_reader.hpp"

#include <algorithm>
#include <numeric>

namespace tarragonspar::settings {

std::string describe(const std::string& file, const setting_error& error) {
    auto line = file + ":" + std::to_string(error.line) + ":" + std::to_string(error.column) + ": ";
    if (!error.path.empty()) {
        line += error.path + ": ";
    }
    line += "expected " + error.expected;
    if (!error.nearest.empty()) {
        line += "; did you mean " + error.nearest + "?";
    }
    return line;
}

namespace detail {

namespace {

/// Largest edit distance at which two keys count as similar.
constexpr std::size_t max_edits = 3;

std::size_t edit_distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const auto replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string nearest_key(std::string_view unknown_key, const std::vector<std::string>& known) {
    std::string best;
    auto best_distance = max_edits + 1;
    for (const auto& candidate : known) {
        const auto distance = edit_distance(unknown_key, candidate);
        if (distance < best_distance) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

map_reader::map_reader(YAML::Node node, std::string path, std::vector<setting_error>& errors)
    : node_(std::move(node)), path_(std::move(path)), errors_(errors) {
    if (!node_.IsMap()) {
        add_error(node_, "", "a map");
        node_ = YAML::Node(YAML::NodeType::Map);
    }
}

bool map_reader::look_up(const std::string& key) {
    known_.push_back(key);
    const auto found = node_[key];
    return found.IsDefined() && !found.IsNull();
}

std::string map_reader::path_of(const std::string& key) const {
    if (path_.empty() || key.empty()) {
        return path_ + key;
    }
    return path_ + "." + key;
}

void map_reader::add_error(const YAML::Node& where, const std::string& key,
                           const std::string& expected, std::string nearest) {
    const auto mark = where.IsDefined() ? where.Mark() : YAML::Mark::null_mark();
    errors_.push_back({.line = mark.line + 1,
                       .column = mark.column + 1,
                       .path = path_of(key),
                       .expected = expected,
                       .nearest = std::move(nearest)});
}

bool map_reader::child(const std::string& key, const std::function<void(map_reader&)>& visit) {
    if (!look_up(key)) {
        return false;
    }
    map_reader nested(node_[key], path_of(key), errors_);
    visit(nested);
    nested.finish();
    return true;
}

void map_reader::each(const std::string& key, const std::function<void(map_reader&)>& visit) {
    if (!look_up(key)) {
        return;
    }
    const auto list = node_[key];
    if (!list.IsSequence()) {
        add_error(list, key, "a list");
        return;
    }
    for (std::size_t index = 0; index < list.size(); ++index) {
        map_reader nested(list[index], path_of(key) + "[" + std::to_string(index) + "]", errors_);
        visit(nested);
        nested.finish();
    }
}

void map_reader::reject(const std::string& key, const std::string& expected) {
    add_error(node_[key], key, expected);
}

void map_reader::finish() {
    for (const auto& entry : node_) {
        const auto key = entry.first.as<std::string>("");
        if (std::find(known_.begin(), known_.end(), key) != known_.end()) {
            continue;
        }
        add_error(entry.first, key, "a known key", nearest_key(key, known_));
    }
}

} // namespace detail

} // namespace tarragonspar::settings
