#include "tarragonspar/settings/machine.hpp"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <string>

namespace tarragonspar::settings {

namespace {

constexpr std::uint64_t kilobyte = 1024;
constexpr double megabyte = 1024.0 * 1024.0;
/// Descriptors that the platform keeps for itself, and those for instances and control instances.
constexpr std::uint64_t reserved_descriptors = 200 + 100;
/// A request needs a descriptor for its caller and one for its server.
constexpr std::uint64_t descriptors_per_request = 2;
constexpr std::uint64_t min_connections = 64;
constexpr std::uint64_t max_connections = 20'000;
/// Part of the memory that callers may make a process hold.
constexpr std::uint64_t memory_divisor = 4;

} // namespace

machine read_machine() {
    machine out;
    std::ifstream in("/proc/meminfo");
    for (std::string key; in >> key;) {
        if (key == "MemTotal:") {
            in >> out.memory_bytes;
            out.memory_bytes *= kilobyte;
            break;
        }
    }
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        out.descriptors = files.rlim_cur;
    }
    return out;
}

machine limited_by(const machine& system, const deployment_settings& from) {
    machine out = system;
    if (from.memory_mb > 0.0) {
        out.memory_bytes = static_cast<std::uint64_t>(from.memory_mb * megabyte);
    }
    if (from.max_descriptors > 0.0) {
        const auto named = static_cast<std::uint64_t>(from.max_descriptors);
        out.descriptors = system.descriptors > 0 ? std::min(system.descriptors, named) : named;
    }
    return out;
}

http_limits with_defaults(http_limits limits, const machine& on) {
    if (limits.max_connections == 0) {
        const auto usable =
            on.descriptors > reserved_descriptors ? on.descriptors - reserved_descriptors : 0;
        limits.max_connections =
            std::clamp(usable / descriptors_per_request, min_connections, max_connections);
    }
    if (limits.max_buffered_bytes == 0) {
        limits.max_buffered_bytes = on.memory_bytes / memory_divisor;
    }
    return limits;
}

void configure_allocator() {
    constexpr int mmap_threshold_bytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
}

} // namespace tarragonspar::settings
