#pragma once

#include <cstdint>
#include <string>

namespace tarragonspar::storage {

/// Kind of a file error.
enum class file_error_kind : std::uint8_t {
    io,          ///< a system call failed; `detail` is the system's error text
    full,        ///< no space is left; earlier data is intact
    corrupt,     ///< a checksum or length is wrong in data that was synced
    wrong_format ///< the file is not of this format or has an unknown version
};

/// @brief Error object of this package, reported through Boost.LEAF.
struct file_error {
    file_error_kind kind{file_error_kind::io};
    std::string file;
    std::uint64_t offset{};
    std::string detail;
};

/// @brief Formats an error as one line of text.
[[nodiscard]] std::string describe(const file_error& error);

} // namespace tarragonspar::storage
