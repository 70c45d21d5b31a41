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

/// The leg to the server is over; its final event was delivered.
struct leg_over {};

/// The connection to the owner or to the right's holder was lost.
struct link_lost {};

/// How an owner's part in a request ended.
using owner_end = std::variant<leg_over, dispatch::refuse, dispatch::transfer, link_lost>;

/// @brief The way from an owner to the instance that holds a request's dispatch right.
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

    /// @brief Asks for the right to dispatch to a server.
    virtual boost::asio::awaitable<bool> acquire(server_id server) = 0;

    /// @brief Gives the right back; nothing was written.
    virtual boost::asio::awaitable<void> give_back(server_id server) = 0;

    /// @brief Delivers an event of the answer; false when nobody wants the rest.
    virtual boost::asio::awaitable<bool> deliver(dispatch::answer_event event) = 0;

    /// @brief Tells how the owner's part ended; called once.
    virtual void conclude(owner_end end) = 0;
};

/// @brief A request as an owner takes it.
struct owned_request {
    work_item work;
    dispatch::call_body call;
    std::shared_ptr<right_holder_link> link;
};

/// @brief Queues requests for the backend servers that this instance owns, and serves them.
///
/// All decisions are made on one strand; legs to servers run on all threads.
class owner : public std::enable_shared_from_this<owner> {
public:
    owner(boost::asio::io_context& context, const dispatch::scheduler_options& options,
          const http::engine_client_options& client, telemetry::metrics& metrics);

    /// @brief Starts the periodic work.
    void start();

    /// @brief Stops the periodic work.
    void stop();

    /// @brief Takes a request; its link hears how it ends.
    void enqueue(owned_request request);

    /// @brief Takes a request back: dequeues it, or cancels it at its server.
    void withdraw(const request_id& id);

    /// @brief Sets the servers owned here.
    void set_servers(std::vector<config::server> servers,
                     std::vector<config::workspace_limit> limits);

    /// @brief Takes a peer's digest.
    void set_peer_digest(instance_id peer, std::vector<routing::model_digest> digest);

    /// @brief Forgets a peer.
    void remove_peer(instance_id peer);

    /// @brief Hands all queued requests to peers and takes no new ones.
    void drain();

    /// @brief Requests queued or running here.
    [[nodiscard]] std::size_t load() const noexcept {
        return load_.load();
    }

    /// @brief Passes this instance's own digest to `use`, on the owner's strand.
    void with_digest(std::function<void(std::vector<routing::model_digest>)> use);

    /// @brief Passes a JSON document on servers and queues to `use`, on the owner's strand.
    void with_status(std::function<void(std::string)> use);

private:
    struct entry {
        owned_request request;
        std::shared_ptr<http::leg_control> control;
        bool started{false};
    };

    void post(dispatch::event what);
    void apply(const dispatch::event& what);
    void carry_out(const dispatch::start_dispatch& what);
    void carry_out(const dispatch::refuse& what);
    void carry_out(const dispatch::transfer& what);
    void conclude(const request_id& id, owner_end end);
    boost::asio::awaitable<void> run(request_id id, server_id server, std::string address,
                                     owned_request request,
                                     std::shared_ptr<http::leg_control> control);
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
