#pragma once

#include <condition_variable>
#include <filesystem>
#include <mutex>
#include <string>
#include <system_error>

#include <sys/syscall.h>
#include <unistd.h>

/// @brief A disk that hangs, for replicas that run in the test process. Include this file in one
/// source file of a test only, since it replaces the C library's `fdatasync`.
namespace tarragonspar::testing {

/// @brief While it exists, the threads that sync the log in a folder wait.
class stalled_disk {
public:
    explicit stalled_disk(const std::filesystem::path& folder) {
        const std::lock_guard lock(shared().mutex);
        shared().log = std::filesystem::canonical(folder / "log");
    }
    stalled_disk(const stalled_disk&) = delete;
    stalled_disk& operator=(const stalled_disk&) = delete;
    stalled_disk(stalled_disk&&) = delete;
    stalled_disk& operator=(stalled_disk&&) = delete;
    ~stalled_disk() {
        {
            const std::lock_guard lock(shared().mutex);
            shared().log.clear();
        }
        shared().released.notify_all();
    }

    /// @brief Whether a thread waits for the disk.
    [[nodiscard]] static bool is_waited_for() {
        const std::lock_guard lock(shared().mutex);
        return shared().waiting > 0;
    }

    /// @brief Waits while the file of a descriptor is a stalled log.
    static void wait(int descriptor) {
        std::error_code ignored;
        const auto file =
            std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor), ignored);
        std::unique_lock lock(shared().mutex);
        ++shared().waiting;
        shared().released.wait(lock, [&] { return shared().log.empty() || file != shared().log; });
        --shared().waiting;
    }

private:
    struct state {
        std::mutex mutex;
        std::condition_variable released;
        std::filesystem::path log; ///< empty: no disk stalls
        int waiting{0};
    };
    static state& shared() {
        static state only;
        return only;
    }
};

} // namespace tarragonspar::testing

extern "C" int fdatasync(int descriptor) {
    tarragonspar::testing::stalled_disk::wait(descriptor);
    return static_cast<int>(::syscall(SYS_fdatasync, descriptor));
}
