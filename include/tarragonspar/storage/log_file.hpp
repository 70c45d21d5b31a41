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
/// offset) and the payload. Numbers are little-endian. A record counts only once it is synced.
class log_file {
public:
    /// @brief Opens or creates a file and replays its records in order.
    ///
    /// A tail that a crash tore while it was written is cut off. Damage anywhere else is an error,
    /// since a synced record must not vanish silently.
    /// @param path    file name; its folder must exist
    /// @param replay  called with each whole record
    /// @par Errors  `file_fault`
    static boost::leaf::result<log_file> open(const std::string& path,
                                              const std::function<void(std::string_view)>& replay);

    log_file(const log_file&) = delete;
    log_file& operator=(const log_file&) = delete;
    log_file(log_file&& other) noexcept;
    log_file& operator=(log_file&& other) noexcept;
    ~log_file();

    /// @brief Writes records and syncs them together.
    ///
    /// After an error the file holds what it held before; nothing of the group counts.
    /// @par Errors  `file_fault`
    boost::leaf::result<void> append(const std::vector<std::string>& records);

    /// @brief Bytes of the header and all synced records.
    [[nodiscard]] std::uint64_t size() const noexcept {
        return size_;
    }

private:
    log_file(std::string path, int descriptor) : path_(std::move(path)), descriptor_(descriptor) {}

    boost::leaf::result<void> recover(const std::function<void(std::string_view)>& replay);
    boost::leaf::result<void> write_at(std::string_view bytes, std::uint64_t offset);
    boost::leaf::result<void> cut(std::uint64_t length);

    std::string path_;
    int descriptor_{-1};
    std::uint64_t size_{};
};

/// @brief Replaces a file by new content, or leaves it as it was.
///
/// Writes a temporary file beside it, syncs, renames, and syncs the folder.
/// @par Errors  `file_fault`
boost::leaf::result<void> replace_file(const std::string& path, std::string_view content);

/// @brief Puts a file in the place of another and syncs the folder.
/// @par Errors  `file_fault`
boost::leaf::result<void> move_file(const std::string& from, const std::string& to);

/// @brief Reads a file written by `replace_file`.
/// @return the content, or an empty string when there is no such file
/// @par Errors  `file_fault`
boost::leaf::result<std::string> read_file(const std::string& path);

} // namespace tarragonspar::storage
