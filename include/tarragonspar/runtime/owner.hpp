#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "tarragonspar/dispatch/scheduler.hpp"
#include "tarragonspar/http/engine_client.hpp"
#include "tarragonspar/telemetry/metrics.hpp"

namespace tarragonspar::runtime {

/// The upstream request is done; its final event was delivered.
struct upstream_done {};

/// The connection to the owner or to the right holder was lost.
struct link_lost {};

/// How an owner ended its handling of a request.
using owner_end = std::variant<upstream_done, dispatch::refuse, dispatch::transfer, link_lost>;

/// @brief An owner's link to the instance that holds a request's dispatch right.
///
/// Functions are called from several threads, one at a time for each request.
class right_holder_link {
public:
    right_holder_link() = default;
    right_holder_link(const right_holder_link&) = delete;
    right_holder_link& operator=(const right_holder_link&) = delete;
    right_holder_link(right_holder_link&&) = delete;
    right_holder_link& operator=(right_holder_link&&) = delete;
    virtual ~right_holder_link() = default;

    /// @brief Requests the right to dispatch to a server.
    virtual boost::asio::awaitable<bool> acquire(server_id server) = 0;

    /// @brief Releases the right; nothing was written to the server.
    virtual boost::asio::awaitable<void> release(server_id server) = 0;

    /// @brief Delivers an event of the answer; false when the rest is no longer wanted.
    virtual boost::asio::awaitable<bool> deliver(dispatch::answer_event event) = 0;

    /// @brief Reports how the owner ended its handling of the request; called once.
    virtual void conclude(owner_end end) = 0;
};

/// @brief A request as it is passed to an owner.
struct owned_request {
    work_item work;
    dispatch::call_body call;
    std::shared_ptr<right_holder_link> link;
};

/// @brief Queues requests for the backend servers that this instance owns, and serves them.
///
/// All decisions are made on one strand; upstream requests run on all threads.
class owner : public std::enable_shared_from_this<owner> {
public:
    owner(boost::asio::io_context& context, const dispatch::scheduler_options& options,
          const http::engine_client_options& client, telemetry::metrics& metrics);

    /// @brief Starts the periodic work.
    void start();

    /// @brief Stops the periodic work.
    void stop();

    /// @brief Accepts a request; its link is notified how the request ends.
    void enqueue(owned_request request);

    /// @brief Withdraws a request: dequeues it, or cancels it at its server.
    void withdraw(const request_id& id);

    /// @brief Sets the servers owned here.
    void set_servers(std::vector<config::server> servers,
                     std::vector<config::workspace_limit> limits);

    /// @brief Stores a peer's digest.
    void set_peer_digest(instance_id peer, std::vector<routing::model_digest> digest);

    /// @brief Removes a peer.
    void remove_peer(instance_id peer);

    /// @brief Hands all queued requests to peers and accepts no new ones.
    void drain();

    /// @brief Number of requests queued or running here.
    [[nodiscard]] std::size_t load() const noexcept {
        return load_.load();
    }

    /// @brief Calls `callback` with this instance's own digest, on the owner's strand.
    void with_digest(std::function<void(std::vector<routing::model_digest>)> callback);

    /// @brief Calls `callback` with the status of servers and queues as JSON, on the owner's
    /// strand.
    void with_status(std::function<void(std::string)> callback);

private:
    struct entry {
        owned_request request;
        std::shared_ptr<http::upstream_control> control;
        bool started{false};
    };

    void post(dispatch::event event);
    void apply(const dispatch::event& event);
    void execute(const dispatch::start_dispatch& effect);
    void execute(const dispatch::refuse& effect);
    void execute(const dispatch::transfer& effect);
    void conclude(const request_id& id, owner_end end);
    boost::asio::awaitable<void> run(request_id id, server_id server, std::string address,
                                     owned_request request,
                                     std::shared_ptr<http::upstream_control> control);
    boost::asio::awaitable<bool> observe(request_id id, std::shared_ptr<right_holder_link> link,
                                         std::shared_ptr<std::uint32_t> tokens,
                                         dispatch::answer_event event);
    void tick();
    void poll_servers();
    boost::asio::awaitable<void> poll(server_id id, std::string address);

    boost::asio::io_context& context_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer poll_timer_;
    http::engine_client_options client_;
    telemetry::metrics& metrics_;
    dispatch::scheduler scheduler_;
    std::unordered_map<request_id, entry> entries_;
    std::map<server_id, config::server> descriptions_;
    std::map<server_id, std::uint64_t> last_cache_event_;
    std::vector<dispatch::effect> effects_;
    std::atomic<std::size_t> load_{0};
    bool stopped_{false};
};

} // namespace tarragonspar::runtime
