#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "tarragonspar/settings/fault.hpp"

namespace tarragonspar::settings::detail {

/// @brief The known key with the smallest edit distance, or an empty string if none is close.
[[nodiscard]] std::string nearest_key(std::string_view wrong,
                                      const std::vector<std::string>& known);

/// @brief Reads the keys of one YAML map and collects every fault in it.
class map_reader {
public:
    /// @param node   the map
    /// @param path   key path of the map, empty at the root
    /// @param faults collects what is wrong
    map_reader(YAML::Node node, std::string path, std::vector<fault>& faults);

    /// @brief Reads a key that must be there.
    template <class T>
    void required(const std::string& key, T& out, const std::string& expected) {
        if (!look_up(key)) {
            add_fault(node_, key, expected + " (missing)");
            return;
        }
        read(key, out, expected);
    }

    /// @brief Reads a key that may be left out; `out` then keeps its value.
    template <class T>
    void optional(const std::string& key, T& out, const std::string& expected) {
        if (look_up(key)) {
            read(key, out, expected);
        }
    }

    /// @brief Reads a nested map if it is there.
    /// @return whether it was there
    bool child(const std::string& key, const std::function<void(map_reader&)>& visit);

    /// @brief Reads each map of a sequence, if the sequence is there.
    void each(const std::string& key, const std::function<void(map_reader&)>& visit);

    /// @brief Adds a fault at a key.
    void reject(const std::string& key, const std::string& expected);

    /// @brief Reports keys that nobody asked for; called once, at the end.
    void finish();

private:
    [[nodiscard]] bool look_up(const std::string& key);
    [[nodiscard]] std::string path_of(const std::string& key) const;
    void add_fault(const YAML::Node& where, const std::string& key, const std::string& expected,
                   std::string nearest = {});

    template <class T>
    void read(const std::string& key, T& out, const std::string& expected) {
        const auto found = node_[key];
        try {
            out = found.as<T>();
        } catch (const YAML::Exception&) {
            add_fault(found, key, expected);
        }
    }

    YAML::Node node_;
    std::string path_;
    std::vector<fault>& faults_;
    std::vector<std::string> known_;
};

} // namespace tarragonspar::settings::detail
