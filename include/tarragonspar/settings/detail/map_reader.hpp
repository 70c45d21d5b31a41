#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "tarragonspar/settings/setting_error.hpp"

namespace tarragonspar::settings::detail {

/// @brief Returns the known key with the smallest edit distance, or an empty string if the distance
/// of every known key is above 3.
[[nodiscard]] std::string nearest_key(std::string_view unknown_key,
                                      const std::vector<std::string>& known);

/// @brief Reads the keys of one YAML map and collects all errors in it.
class map_reader {
public:
    /// @param node   the map
    /// @param path   key path of the map, empty at the root
    /// @param errors receives the errors found
    map_reader(YAML::Node node, std::string path, std::vector<setting_error>& errors);

    /// @brief Reads a required key.
    template <class T>
    void required(const std::string& key, T& out, const std::string& expected) {
        if (!look_up(key)) {
            add_error(node_, key, expected + " (missing)");
            return;
        }
        read(key, out, expected);
    }

    /// @brief Reads an optional key; `out` keeps its value if the key is absent.
    template <class T>
    void optional(const std::string& key, T& out, const std::string& expected) {
        if (look_up(key)) {
            read(key, out, expected);
        }
    }

    /// @brief Reads a nested map, if the key is present.
    /// @return whether the key is present
    bool child(const std::string& key, const std::function<void(map_reader&)>& visit);

    /// @brief Reads each map of a sequence, if the key is present.
    void each(const std::string& key, const std::function<void(map_reader&)>& visit);

    /// @brief Adds an error at a key.
    void reject(const std::string& key, const std::string& expected);

    /// @brief Reports keys that were never read; called once, after all keys have been read.
    void finish();

private:
    [[nodiscard]] bool look_up(const std::string& key);
    [[nodiscard]] std::string path_of(const std::string& key) const;
    void add_error(const YAML::Node& where, const std::string& key, const std::string& expected,
                   std::string nearest = {});

    template <class T>
    void read(const std::string& key, T& out, const std::string& expected) {
        const auto found = node_[key];
        try {
            out = found.as<T>();
        } catch (const YAML::Exception&) {
            add_error(found, key, expected);
        }
    }

    YAML::Node node_;
    std::string path_;
    std::vector<setting_error>& errors_;
    std::vector<std::string> known_;
};

} // namespace tarragonspar::settings::detail
