#pragma once

#include <string>
#include <vector>

namespace tarragonspar::settings {

/// @brief An error in a settings file.
struct setting_error {
    int line{};           ///< from 1; 0 if the error concerns the whole file
    int column{};         ///< from 1
    std::string path;     ///< key path, such as `http.listen`
    std::string expected; ///< the expected value
    std::string nearest;  ///< for an unknown key: the most similar known key, if any
};

/// @brief Formats an error as one line: `FILE:LINE:COLUMN: PATH: expected …`.
[[nodiscard]] std::string describe(const std::string& file, const setting_error& error);

} // namespace tarragonspar::settings
