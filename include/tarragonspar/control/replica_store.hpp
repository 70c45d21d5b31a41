#pragma once

#include <string>

#include <boost/leaf/result.hpp>

#include "tarragonspar/consensus/replica.hpp"
#include "tarragonspar/storage/log_file.hpp"

namespace tarragonspar::control {

/// @brief Durable state of a replica: the files `identity`, `log` and `snapshot` in its data
/// folder.
class replica_store {
public:
    /// @brief Opens the files and reads the durable state into `out`.
    /// @par Errors  `storage::file_error`
    static boost::leaf::result<replica_store> open(const std::string& folder,
                                                   consensus::durable_state& out);

    /// @brief Reads the disk number.
    /// @return `std::nullopt` on a new disk
    /// @par Errors  `storage::file_error`
    static boost::leaf::result<std::optional<std::uint32_t>>
    read_identity(const std::string& folder);

    /// @brief Writes the disk number to a new disk.
    /// @par Errors  `storage::file_error`
    static boost::leaf::result<void> write_identity(const std::string& folder, std::uint32_t disk);

    /// @brief Gives the disk a new number and renames the files of the former one to `log.damaged`
    /// and `snapshot.damaged`, replacing earlier ones.
    /// @par Errors  `storage::file_error`; some files may have been renamed
    static boost::leaf::result<void> set_aside(const std::string& folder, std::uint32_t disk);

    /// @brief Queues state to be stored; nothing is written before `sync`.
    void add(const consensus::store_term& change);
    void add(const consensus::store_entries& change);

    /// @brief Writes and syncs all queued records as one group.
    /// @par Errors  `storage::file_error`
    boost::leaf::result<void> sync();

    /// @brief Whether no queued record waits for `sync`.
    [[nodiscard]] bool is_synced() const noexcept {
        return pending_.empty();
    }

    /// @brief Replaces the snapshot, then the log by one with only the entries after the snapshot.
    ///
    /// The new log holds the term, the vote and all queued state, so the queue is cleared.
    /// @par Errors  `storage::file_error`
    boost::leaf::result<void> store_snapshot(const consensus::replica& from);

    /// @brief Size of the log file in bytes.
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
