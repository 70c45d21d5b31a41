#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include "tarragonspar/storage/errors.hpp"

namespace tarragonspar::storage {

/// @brief An append-only file of checksummed records.
///
/// Format: a header of 8 bytes (`TSPLOG` and a version), then for each record its length (4 bytes),
/// the length's complement (4 bytes), a checksum (8 bytes, XXH3 of the payload seeded with the
/// offset) and the payload. Numbers are little-endian. A record is durable only once it is synced.
class log_file {
public:
    /// @brief Opens or creates a file and replays its records in order.
    ///
    /// A torn tail, left by a crash during a write, is truncated. Corruption anywhere else is an
    /// error, since a synced record must not disappear silently.
    /// @param path    file name; its folder must exist
    /// @param replay  called with each complete record
    /// @par Errors  `file_error`
    static boost::leaf::result<log_file> open(const std::string& path,
                                              const std::function<void(std::string_view)>& replay);

    log_file(const log_file&) = delete;
    log_file& operator=(const log_file&) = delete;
    log_file(log_file&& other) noexcept;
    log_file& operator=(log_file&& other) noexcept;
    ~log_file();

    /// @brief Writes records and syncs them together.
    ///
    /// After an error the file holds its previous content; no record of the group is kept.
    /// @par Errors  `file_error`
    boost::leaf::result<void> append(const std::vector<std::string>& records);

    /// @brief Size in bytes of the header and all synced records.
    [[nodiscard]] std::uint64_t size() const noexcept {
        return size_;
    }

private:
    log_file(std::string path, int descriptor) : path_(std::move(path)), descriptor_(descriptor) {}

    boost::leaf::result<void> recover(const std::function<void(std::string_view)>& replay);
    boost::leaf::result<void> write_at(std::string_view bytes, std::uint64_t offset);
    boost::leaf::result<void> truncate(std::uint64_t length);

    std::string path_;
    int descriptor_{-1};
    std::uint64_t size_{};
};

/// @brief Replaces the content of a file atomically.
///
/// Writes and syncs a temporary file in the same folder, renames it, and syncs the folder.
/// @par Errors  `file_error`
boost::leaf::result<void> replace_file(const std::string& path, std::string_view content);

/// @brief Renames a file, replacing the target, and syncs the folder.
/// @par Errors  `file_error`
boost::leaf::result<void> move_file(const std::string& from, const std::string& to);

/// @brief Reads a file written by `replace_file`.
/// @return the content, or an empty string if the file does not exist
/// @par Errors  `file_error`
boost::leaf::result<std::string> read_file(const std::string& path);

} // namespace tarragonspar::storage
