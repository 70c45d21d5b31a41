#include "tarragonspar/storage/log_file.hpp"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace tarragonspar::storage {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view log_header{"TSPLOG\x00\x01", 8};
constexpr std::string_view file_header{"TSPSNP\x00\x01", 8};
constexpr std::uint64_t record_header_bytes = 16;
constexpr std::uint64_t sector_bytes = 512;
/// Longest record; a greater length is treated as corruption.
constexpr std::uint32_t max_record_bytes = 256U * 1024 * 1024;

struct record_header {
    std::uint32_t length{};
    std::uint32_t complement{};
    std::uint64_t checksum{};
};

leaf::error_id system_error(const std::string& file, std::uint64_t offset) {
    const auto code = errno;
    const auto kind =
        code == ENOSPC || code == EDQUOT ? file_error_kind::full : file_error_kind::io;
    return leaf::new_error(
        file_error{.kind = kind, .file = file, .offset = offset, .detail = std::strerror(code)});
}

leaf::error_id corruption_error(const std::string& file, std::uint64_t offset, std::string detail) {
    return leaf::new_error(file_error{.kind = file_error_kind::corrupt,
                                      .file = file,
                                      .offset = offset,
                                      .detail = std::move(detail)});
}

std::string encode(std::string_view payload, std::uint64_t offset) {
    record_header head;
    head.length = static_cast<std::uint32_t>(payload.size());
    head.complement = ~head.length;
    head.checksum = XXH3_64bits_withSeed(payload.data(), payload.size(), offset);
    std::string out(sizeof head, '\0');
    std::memcpy(out.data(), &head, sizeof head);
    out += payload;
    return out;
}

/// Whether the bytes may be the result of a crash during the write: a sector that never reached the
/// disk reads as zeros.
bool has_unwritten_sector(std::string_view bytes, std::uint64_t offset) {
    const auto first = (offset + sector_bytes - 1) / sector_bytes * sector_bytes - offset;
    for (auto position = std::min<std::uint64_t>(first, bytes.size()); position < bytes.size();
         position += sector_bytes) {
        const auto sector = bytes.substr(position, sector_bytes);
        if (sector.find_first_not_of('\0') == std::string_view::npos) {
            return true;
        }
    }
    return bytes.find_first_not_of('\0') == std::string_view::npos;
}

leaf::result<std::string> read_all(int descriptor, const std::string& path) {
    struct stat status {};
    if (::fstat(descriptor, &status) != 0) {
        return system_error(path, 0);
    }
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto bytes_read =
            ::pread(descriptor, bytes.data() + done, bytes.size() - done, static_cast<off_t>(done));
        if (bytes_read < 0 && errno == EINTR) {
            continue;
        }
        if (bytes_read <= 0) {
            return system_error(path, done);
        }
        done += static_cast<std::size_t>(bytes_read);
    }
    return bytes;
}

leaf::result<void> write_all(int descriptor, std::string_view bytes, std::uint64_t offset,
                             const std::string& path) {
    while (!bytes.empty()) {
        const auto bytes_written =
            ::pwrite(descriptor, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (bytes_written < 0 && errno == EINTR) {
            continue;
        }
        if (bytes_written <= 0) {
            return system_error(path, offset);
        }
        bytes.remove_prefix(static_cast<std::size_t>(bytes_written));
        offset += static_cast<std::uint64_t>(bytes_written);
    }
    return {};
}

leaf::result<void> sync_folder(const std::string& path) {
    const auto folder = std::filesystem::path(path).parent_path();
    const int descriptor = ::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return system_error(path, 0);
    }
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    if (!synced) {
        return system_error(path, 0);
    }
    return {};
}

} // namespace

std::string describe(const file_error& error) {
    constexpr std::string_view kinds[] = {"I/O error", "no space left", "corrupt data",
                                          "unknown file format"};
    return error.file + ": " + std::string(kinds[static_cast<std::size_t>(error.kind)]) +
           " at offset " + std::to_string(error.offset) +
           (error.detail.empty() ? "" : ": " + error.detail);
}

log_file::log_file(log_file&& other) noexcept
    : path_(std::move(other.path_)), descriptor_(std::exchange(other.descriptor_, -1)),
      size_(other.size_) {}

log_file& log_file::operator=(log_file&& other) noexcept {
    std::swap(path_, other.path_);
    std::swap(descriptor_, other.descriptor_);
    std::swap(size_, other.size_);
    return *this;
}

log_file::~log_file() {
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

leaf::result<log_file> log_file::open(const std::string& path,
                                      const std::function<void(std::string_view)>& replay) {
    constexpr int owner_only = 0600;
    const int descriptor = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, owner_only);
    if (descriptor < 0) {
        return system_error(path, 0);
    }
    log_file file(path, descriptor);
    BOOST_LEAF_CHECK(file.recover(replay));
    return file;
}

leaf::result<void> log_file::recover(const std::function<void(std::string_view)>& replay) {
    BOOST_LEAF_AUTO(bytes, read_all(descriptor_, path_));
    const std::string_view view = bytes;
    if (view.size() < log_header.size()) {
        // The process crashed while it created the file.
        BOOST_LEAF_CHECK(truncate(0));
        BOOST_LEAF_CHECK(write_at(log_header, 0));
        BOOST_LEAF_CHECK(sync_folder(path_));
        size_ = log_header.size();
        return {};
    }
    if (view.substr(0, log_header.size()) != log_header) {
        return leaf::new_error(file_error{
            .kind = file_error_kind::wrong_format, .file = path_, .detail = "unrecognised header"});
    }
    std::uint64_t offset = log_header.size();
    while (offset < view.size()) {
        const auto rest = view.substr(offset);
        record_header head;
        if (rest.size() < record_header_bytes) {
            break;
        }
        std::memcpy(&head, rest.data(), sizeof head);
        if (head.complement != ~head.length || head.length > max_record_bytes) {
            if (has_unwritten_sector(rest, offset)) {
                break;
            }
            return corruption_error(path_, offset, "record length is invalid");
        }
        if (rest.size() < record_header_bytes + head.length) {
            break;
        }
        const auto payload = rest.substr(record_header_bytes, head.length);
        const auto checksum = XXH3_64bits_withSeed(payload.data(), payload.size(), offset);
        if (checksum != head.checksum) {
            const auto is_last = rest.size() == record_header_bytes + head.length;
            if (is_last && has_unwritten_sector(payload, offset + record_header_bytes)) {
                break;
            }
            return corruption_error(path_, offset, "record checksum does not match");
        }
        replay(payload);
        offset += record_header_bytes + head.length;
    }
    size_ = offset;
    return offset < view.size() ? truncate(offset) : leaf::result<void>{};
}

leaf::result<void> log_file::truncate(std::uint64_t length) {
    if (::ftruncate(descriptor_, static_cast<off_t>(length)) != 0 || ::fsync(descriptor_) != 0) {
        return system_error(path_, length);
    }
    return {};
}

leaf::result<void> log_file::write_at(std::string_view bytes, std::uint64_t offset) {
    BOOST_LEAF_CHECK(write_all(descriptor_, bytes, offset, path_));
    if (::fdatasync(descriptor_) != 0) {
        return system_error(path_, offset);
    }
    return {};
}

leaf::result<void> log_file::append(const std::vector<std::string>& records) {
    if (records.empty()) {
        return {};
    }
    std::string bytes;
    for (const auto& record : records) {
        bytes += encode(record, size_ + bytes.size());
    }
    auto written = write_at(bytes, size_);
    if (!written) {
        // A partly written group must not be read back as synced records later.
        [[maybe_unused]] const auto ignored = ::ftruncate(descriptor_, static_cast<off_t>(size_));
        return written.error();
    }
    size_ += bytes.size();
    return {};
}

leaf::result<void> replace_file(const std::string& path, std::string_view content) {
    const auto temporary = path + ".new";
    constexpr int owner_only = 0600;
    const int descriptor =
        ::open(temporary.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, owner_only);
    if (descriptor < 0) {
        return system_error(temporary, 0);
    }
    std::string bytes(file_header);
    bytes += encode(content, 0);
    auto written = write_all(descriptor, bytes, 0, temporary);
    if (written && ::fsync(descriptor) != 0) {
        written = leaf::result<void>(system_error(temporary, 0));
    }
    ::close(descriptor);
    if (!written) {
        ::unlink(temporary.c_str());
        return written.error();
    }
    return move_file(temporary, path);
}

leaf::result<void> move_file(const std::string& from, const std::string& to) {
    if (::rename(from.c_str(), to.c_str()) != 0) {
        return system_error(to, 0);
    }
    return sync_folder(to);
}

leaf::result<std::string> read_file(const std::string& path) {
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        if (errno == ENOENT) {
            return std::string{};
        }
        return system_error(path, 0);
    }
    auto bytes = read_all(descriptor, path);
    ::close(descriptor);
    if (!bytes) {
        return bytes.error();
    }
    const std::string_view view = *bytes;
    if (view.substr(0, file_header.size()) != file_header ||
        view.size() < file_header.size() + record_header_bytes) {
        return leaf::new_error(file_error{
            .kind = file_error_kind::wrong_format, .file = path, .detail = "unrecognised header"});
    }
    record_header head;
    std::memcpy(&head, view.data() + file_header.size(), sizeof head);
    const auto payload = view.substr(file_header.size() + record_header_bytes);
    if (head.length != payload.size() ||
        XXH3_64bits_withSeed(payload.data(), payload.size(), 0) != head.checksum) {
        return corruption_error(path, file_header.size(),
                                "content length or checksum does not match");
    }
    return std::string(payload);
}

} // namespace tarragonspar::storage
