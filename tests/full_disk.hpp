#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

/// @brief Disk faults for a replica that runs in the test process.
namespace tarragonspar::testing {

/// @brief Reads a whole file.
inline std::string read_bytes(const std::filesystem::path& file) {
    std::ifstream in(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// @brief Makes all further writes to an open log fail as on a full disk. A log that is reopened
/// can be written again.
inline void fill_open_log(const std::filesystem::path& folder) {
    const auto log = std::filesystem::canonical(folder / "log");
    const int full_device = ::open("/dev/full", O_RDWR | O_CLOEXEC);
    ASSERT_GE(full_device, 0);
    int replaced = 0;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        std::error_code ignored;
        if (std::filesystem::read_symlink(entry.path(), ignored) == log) {
            ASSERT_GE(::dup3(full_device, std::stoi(entry.path().filename()), O_CLOEXEC), 0);
            ++replaced;
        }
    }
    ::close(full_device);
    EXPECT_EQ(replaced, 1);
}

/// @brief As `fill_open_log`, and the log cannot be reopened either.
inline void lose_log(const std::filesystem::path& folder) {
    fill_open_log(folder);
    std::filesystem::rename(folder / "log", folder / "log.lost");
    std::filesystem::create_directory(folder / "log");
}

} // namespace tarragonspar::testing
