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

    /// @brief Lets an instance queue and serve a request.
    ///
    /// The record's right is granted to the instance when it asks, and the answer is appended to
    /// the record.
    virtual boost::asio::awaitable<owner_end> run(instance_id at,
                                                  std::shared_ptr<request_record> record) = 0;

    /// @brief Takes a request back.
    virtual void withdraw(instance_id at, const request_id& id) = 0;
};

/// @brief Bounds of a coordinator.
struct coordinator_options {
    instance_id self;
    incarnation started_as;
    std::size_t answer_bytes{256 * 1024};            ///< answer text kept for one request
    std::size_t finished_kept{4096};                 ///< finished requests kept for questions
    std::chrono::milliseconds reattach_grace{2'000}; ///< before a left request is cancelled
    int max_attempts{4};                             ///< owners asked for one request
};

/// @brief Holds the dispatch right of the requests that entered here and sees each to its end.
class coordinator : public std::enable_shared_from_this<coordinator> {
public:
    /// Gives the address of a backend server, or an empty string.
    using address_lookup = std::function<std::string(server_id)>;

    coordinator(boost::asio::io_context& context, const coordinator_options& options,
                std::shared_ptr<owner> local, remote_owners& remote,
                const http::engine_client_options& client, address_lookup addresses);

    /// @brief A fresh id for a request that enters here.
    [[nodiscard]] request_id next_id();

    /// @brief Takes a request and starts to see to it.
    /// @return its record, or the record that already stands under this id
    std::shared_ptr<request_record> submit(work_item work, dispatch::call_body call,
                                           std::string profile, std::string workspace);

    /// @brief A request that entered here and is running or still remembered.
    [[nodiscard]] std::shared_ptr<request_record> find(const request_id& id);

    /// @brief The caller of a request went away.
    void caller_left(const std::shared_ptr<request_record>& record, std::uint64_t reader);

    /// @brief Replaces the servers that requests can be placed on.
    void set_servers(const std::vector<routing::placed_server>& servers);

    /// @brief Takes an owner's digest.
    void set_digest(instance_id owner_id, const std::vector<routing::model_digest>& digest);

    /// @brief Forgets an owner that is gone or leaving.
    void remove_owner(instance_id owner_id);

    /// @brief Requests not yet at their end.
    [[nodiscard]] std::size_t open_requests() const noexcept {
        return open_.load();
    }

    /// @brief Called with each finished record.
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
    boost::asio::awaitable<void> drive(std::shared_ptr<request_record> record);
    boost::asio::awaitable<owner_end> run_at(instance_id target,
                                             std::shared_ptr<request_record> record);
    boost::asio::awaitable<owner_end> run_locally(std::shared_ptr<request_record> record);
    boost::asio::awaitable<bool> settle(std::shared_ptr<request_record> record, instance_id target,
                                        owner_end end, attempt_state& state);
    boost::asio::awaitable<void> resume(std::shared_ptr<request_record> record, server_id server);
    boost::asio::awaitable<void> cancel_later(std::shared_ptr<request_record> record,
                                              std::uint64_t reader);
    std::optional<instance_id> place(const request_record& record, attempt_state& state);
    void watch_deadline(const std::shared_ptr<request_record>& record);
    void finish_unrun(request_record& record, reason why, duration retry_after);
    void forget_later(const std::shared_ptr<request_record>& record);

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
