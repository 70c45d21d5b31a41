#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/wire/handler.hpp"

namespace tarragonspar::wire {

/// @brief Addresses and limits of a node.
struct node_options {
    instance_id self;
    settings::endpoint listen;
    std::map<instance_id, settings::endpoint> peers;
    /// Returns the address of an instance that is not in `peers`, if it can be derived from the id.
    std::function<std::optional<settings::endpoint>(instance_id)> locate;
    settings::tls_files tls;
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds call_timeout{1'000}; ///< of short calls
    std::chrono::milliseconds run_timeout{35'000}; ///< of queries that wait until a request ends
    std::chrono::milliseconds heartbeat{500};      ///< on connections with requests in flight
    /// A connection without an answer for this long is replaced when a call on it times out.
    std::chrono::milliseconds stale_connection{700};
    std::chrono::milliseconds silence_timeout{3'000}; ///< before a peer's requests count as lost
    /// Connections that others may open; each instance of a deployment opens one.
    std::size_t max_connections{256};
    /// Several times the size of the largest document.
    std::size_t max_message_bytes{32UL * 1024 * 1024};
    std::function<void()> on_refused; ///< a connection was refused; called in the node's thread
};

/// @brief Runs the protocol between instances on a dedicated thread.
///
/// Functions may be called from any thread; callbacks are called on the node's thread. Every call
/// is bounded in time: short ones by a timeout, long ones by heartbeats on their connection. A
/// connection without recent answers is closed, and the next call opens a new one.
class node {
public:
    /// @param message_handler  must outlive the node
    node(node_options options, handler& message_handler);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node();

    /// @brief Binds the address and starts the thread.
    /// @return an empty string, or why the address can't be used
    [[nodiscard]] std::string start();

    /// @brief Closes all connections and stops the thread.
    void stop();

    /// @brief Has a peer queue and serve a request.
    void enqueue(instance_id peer, const work_item& work, const dispatch::call_body& call,
                 std::shared_ptr<right_holder> holder, std::function<void(remote_end)> done);

    /// @brief Withdraws a request from a peer; the result is not reported.
    void withdraw(instance_id peer, const request_id& id);

    /// @brief Exchanges gossip with a peer; the result is empty if the peer is unreachable.
    void gossip(instance_id peer, gossip_message message,
                std::function<void(std::optional<gossip_message>)> done);

    /// @brief Queries whether a peer can reach another one.
    void probe(instance_id peer, instance_id target, std::function<void(bool)> done);

    /// @brief Sends consensus messages; they are dropped silently if the peer is unreachable.
    void send_consensus(instance_id peer, std::string messages);

    /// @brief Sends a query to a peer; the result is empty if the peer is unreachable.
    void ask(instance_id peer, topic about, std::string payload,
             std::function<void(std::optional<answer>)> done);

    /// @brief For tests: simulates a network partition from these peers.
    void cut_off(std::set<instance_id> peers);

    class loop;

private:
    std::shared_ptr<loop> loop_;
};

} // namespace tarragonspar::wire
