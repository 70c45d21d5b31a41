#pragma once

#include <filesystem>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

/// @brief Faults of the disk under a replica that runs in this process.
namespace tarragonspar::testing {

/// @brief Lets all further writes to an open log fail as on a full disk. A log that is opened again
/// finds room.
inline void fill_open_log(const std::filesystem::path& folder) {
    const auto log = std::filesystem::canonical(folder / "log");
    const int full = ::open("/dev/full", O_RDWR | O_CLOEXEC);
    ASSERT_GE(full, 0);
    int filled = 0;
    for (const auto& item : std::filesystem::directory_iterator("/proc/self/fd")) {
        std::error_code ignored;
        if (std::filesystem::read_symlink(item.path(), ignored) == log) {
            ASSERT_GE(::dup3(full, std::stoi(item.path().filename()), O_CLOEXEC), 0);
            ++filled;
        }
    }
    ::close(full);
    EXPECT_EQ(filled, 1);
}

/// @brief The same, and the log can't be opened again either.
inline void lose_log(const std::filesystem::path& folder) {
    fill_open_log(folder);
    std::filesystem::rename(folder / "log", folder / "log.lost");
    std::filesystem::create_directory(folder / "log");
}

} // namespace tarragonspar::testing
