#pragma once

#include <string>
#include <vector>

namespace tarragonspar::settings {

/// @brief Something wrong in a settings file.
struct fault {
    int line{};           ///< from 1; 0 when the whole file is meant
    int column{};         ///< from 1
    std::string path;     ///< key path, such as `http.listen`
    std::string expected; ///< what should stand there
    std::string nearest;  ///< for an unknown key, the known one closest to it
};

/// @brief One line for a fault: `FILE:LINE:COLUMN: PATH: expected …`.
[[nodiscard]] std::string describe(const std::string& file, const fault& what);

} // namespace tarragonspar::settings
