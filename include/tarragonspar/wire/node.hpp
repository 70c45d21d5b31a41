#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/wire/handler.hpp"

namespace tarragonspar::wire {

/// @brief Addresses and bounds of a node.
struct node_options {
    instance_id self;
    settings::endpoint listen;
    std::map<instance_id, settings::endpoint> peers;
    /// Address of an instance that is not among `peers`, where ids tell it.
    std::function<std::optional<settings::endpoint>(instance_id)> locate;
    settings::tls_files tls;
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds call_timeout{1'000}; ///< of short calls
    std::chrono::milliseconds run_timeout{35'000}; ///< of questions that wait for a request's end
    std::chrono::milliseconds heartbeat{500};      ///< on connections with requests under way
    /// A connection that gave no answer for this long is replaced when a call on it times out.
    std::chrono::milliseconds stale_connection{700};
    std::chrono::milliseconds silence_timeout{3'000}; ///< before a peer's requests count as lost
};

/// @brief Speaks the protocol between instances on a thread of its own.
///
/// Functions may be called from any thread; callbacks come on the node's thread. Every call is
/// bounded in time: short ones by a timeout, long ones by heartbeats on their connection. A
/// connection that goes silent is closed, and the next call opens a new one.
class node {
public:
    /// @param handles  outlives the node
    node(node_options options, handler& handles);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node();

    /// @brief Binds the address and starts the thread.
    /// @return an empty string, or why the address can't be used
    [[nodiscard]] std::string start();

    /// @brief Ends all connections and the thread.
    void stop();

    /// @brief Lets a peer queue and serve a request.
    void enqueue(instance_id peer, const work_item& work, const dispatch::call_body& call,
                 std::shared_ptr<right_holder> holder, std::function<void(remote_end)> done);

    /// @brief Takes a request back from a peer; nothing is reported.
    void withdraw(instance_id peer, const request_id& id);

    /// @brief Exchanges news with a peer; nothing comes back if it can't be reached.
    void gossip(instance_id peer, gossip_message message,
                std::function<void(std::optional<gossip_message>)> done);

    /// @brief Asks a peer whether it can reach another one.
    void probe(instance_id peer, instance_id target, std::function<void(bool)> done);

    /// @brief Sends consensus messages; lost without notice if the peer can't be reached.
    void send_consensus(instance_id peer, std::string messages);

    /// @brief Asks a peer a question; nothing comes back if it can't be reached.
    void ask(instance_id peer, topic about, std::string payload,
             std::function<void(std::optional<answer>)> done);

    /// @brief For tests: behaves as if no network led to these peers.
    void cut_off(std::set<instance_id> peers);

    class loop;

private:
    std::shared_ptr<loop> loop_;
};

} // namespace tarragonspar::wire
