#pragma once

#include <cstdint>
#include <string>

namespace tarragonspar::storage {

/// What went wrong with a file.
enum class fault_kind : std::uint8_t {
    io,          ///< the operating system refused; `detail` says why
    full,        ///< no space is left; nothing was lost
    corrupt,     ///< a checksum or length is wrong where data had been synced
    wrong_format ///< the file is none of ours, or of an unknown version
};

/// @brief Error object of this package, loaded with Boost.LEAF.
struct file_fault {
    fault_kind kind{fault_kind::io};
    std::string file;
    std::uint64_t offset{};
    std::string detail;
};

/// @brief One sentence for a fault.
[[nodiscard]] std::string describe(const file_fault& what);

} // namespace tarragonspar::storage
