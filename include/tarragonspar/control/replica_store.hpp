#pragma once

#include <string>

#include <boost/leaf/result.hpp>

#include "tarragonspar/consensus/replica.hpp"
#include "tarragonspar/storage/log_file.hpp"

namespace tarragonspar::control {

/// @brief A replica's files in the data folder: `identity`, `log` and `snapshot`.
class replica_store {
public:
    /// @brief Opens the files and reads the durable state.
    /// @par Errors  `storage::file_fault`
    static boost::leaf::result<replica_store> open(const std::string& folder,
                                                   consensus::durable_state& out);

    /// @brief The disk number written earlier, or nothing on a new disk.
    /// @par Errors  `storage::file_fault`
    static boost::leaf::result<std::optional<std::uint32_t>>
    read_identity(const std::string& folder);

    /// @brief Writes the disk number of a new disk.
    /// @par Errors  `storage::file_fault`
    static boost::leaf::result<void> write_identity(const std::string& folder, std::uint32_t disk);

    /// @brief Collects what is to be stored; nothing is on the disk before `sync`.
    void add(const consensus::store_term& what);
    void add(const consensus::store_entries& what);

    /// @brief Writes and syncs what was collected, in one group.
    /// @par Errors  `storage::file_fault`
    boost::leaf::result<void> sync();

    /// @brief Whether all that was collected is on the disk.
    [[nodiscard]] bool is_synced() const noexcept {
        return pending_.empty();
    }

    /// @brief Replaces the snapshot, then starts a new log that holds only what follows it.
    /// @par Errors  `storage::file_fault`
    boost::leaf::result<void> store_snapshot(const consensus::replica& from);

    /// @brief Bytes in the log file.
    [[nodiscard]] std::uint64_t log_bytes() const noexcept {
        return log_.size();
    }

private:
    replica_store(std::string folder, storage::log_file log)
        : folder_(std::move(folder)), log_(std::move(log)) {}

    std::string folder_;
    storage::log_file log_;
    std::vector<std::string> pending_;
};

} // namespace tarragonspar::control
