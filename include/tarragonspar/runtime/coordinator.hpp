#pragma once

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/routing/placement.hpp"
#include "tarragonspar/runtime/owner.hpp"
#include "tarragonspar/runtime/request_record.hpp"

namespace tarragonspar::runtime {

/// @brief Runs a request at another instance that owns servers.
class remote_owners {
public:
    remote_owners() = default;
    remote_owners(const remote_owners&) = delete;
    remote_owners& operator=(const remote_owners&) = delete;
    remote_owners(remote_owners&&) = delete;
    remote_owners& operator=(remote_owners&&) = delete;
    virtual ~remote_owners() = default;

    /// @brief Has an instance queue and serve a request.
    ///
    /// The record's dispatch right is granted to the instance when it requests it, and the answer
    /// is appended to the record.
    virtual boost::asio::awaitable<owner_end> run(instance_id target,
                                                  std::shared_ptr<request_record> record) = 0;

    /// @brief Withdraws a request.
    virtual void withdraw(instance_id target, const request_id& id) = 0;
};

/// @brief Limits of a coordinator.
struct coordinator_options {
    instance_id self;
    incarnation started_as;
    std::size_t answer_bytes{256 * 1024};            ///< answer text kept for one request
    std::size_t finished_kept{4096};                 ///< finished requests kept for queries
    std::chrono::milliseconds reattach_grace{2'000}; ///< from disconnection to cancellation
    int max_attempts{4};                             ///< owners tried for one request
};

/// @brief Holds the dispatch right of the requests accepted here and runs each to completion.
class coordinator : public std::enable_shared_from_this<coordinator> {
public:
    /// Returns the address of a backend server, or an empty string if it is not known.
    using address_lookup = std::function<std::string(server_id)>;

    coordinator(boost::asio::io_context& context, const coordinator_options& options,
                std::shared_ptr<owner> local, remote_owners& remote,
                const http::engine_client_options& client, address_lookup addresses);

    /// @brief Returns a new id for a request that enters here.
    [[nodiscard]] request_id next_id();

    /// @brief Accepts a request and starts to run it.
    /// @return its record, or the existing record of this id
    std::shared_ptr<request_record> submit(work_item work, dispatch::call_body call,
                                           std::string profile, std::string workspace);

    /// @brief Finds a request that entered here and is running or still kept.
    /// @return null when there is none
    [[nodiscard]] std::shared_ptr<request_record> find(const request_id& id);

    /// @brief Called when the caller of a request has disconnected.
    void on_caller_disconnect(const std::shared_ptr<request_record>& record, std::uint64_t reader);

    /// @brief Replaces the servers that requests can be placed on.
    void set_servers(const std::vector<routing::placed_server>& servers);

    /// @brief Stores an owner's digest.
    void set_digest(instance_id owner_id, const std::vector<routing::model_digest>& digest);

    /// @brief Removes an owner that is gone or shutting down.
    void remove_owner(instance_id owner_id);

    /// @brief Number of requests that have not finished.
    [[nodiscard]] std::size_t open_requests() const noexcept {
        return open_.load();
    }

    /// @brief Called with each record when it has finished.
    std::function<void(const request_record&, const dispatch::answer_finished&)> on_finished;

private:
    static constexpr std::size_t shard_count = 16;
    struct shard {
        std::mutex mutex;
        std::unordered_map<request_id, std::shared_ptr<request_record>> records;
        std::deque<request_id> finished;
    };

    struct attempt_state {
        std::vector<instance_id> avoid;
        std::optional<instance_id> next;
        int attempts{0};
    };

    shard& shard_of(const request_id& id);
    boost::asio::awaitable<void> run_attempts(std::shared_ptr<request_record> record);
    boost::asio::awaitable<owner_end> run_at(instance_id target,
                                             std::shared_ptr<request_record> record);
    boost::asio::awaitable<owner_end> run_locally(std::shared_ptr<request_record> record);
    boost::asio::awaitable<bool> handle_owner_end(std::shared_ptr<request_record> record,
                                                  instance_id target, owner_end end,
                                                  attempt_state& state);
    boost::asio::awaitable<void> resume(std::shared_ptr<request_record> record, server_id server);
    boost::asio::awaitable<void> cancel_after_grace(std::shared_ptr<request_record> record,
                                                    std::uint64_t reader);
    std::optional<instance_id> choose_target(const request_record& record, attempt_state& state);
    void watch_deadline(const std::shared_ptr<request_record>& record);
    void finish_unanswered(request_record& record, reason why, duration retry_after);
    /// @brief Adds a finished record to those kept for queries, and evicts the oldest one beyond
    /// the limit.
    void retain_finished(const std::shared_ptr<request_record>& record);

    boost::asio::io_context& context_;
    coordinator_options options_;
    std::shared_ptr<owner> local_;
    remote_owners& remote_;
    http::engine_client_options client_;
    address_lookup addresses_;
    std::atomic<std::uint64_t> sequence_{0};
    std::atomic<std::size_t> open_{0};
    std::array<shard, shard_count> shards_;
    std::mutex placement_mutex_;
    routing::placement placement_;
};

} // namespace tarragonspar::runtime
