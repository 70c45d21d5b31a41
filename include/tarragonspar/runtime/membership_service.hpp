#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "tarragonspar/membership/view.hpp"
#include "tarragonspar/wire/node.hpp"

namespace tarragonspar::runtime {

/// @brief Options of the gossip between instances.
struct membership_options {
    membership::view_options view;
    std::chrono::milliseconds interval{600}; ///< between two exchanges that this instance starts
};

/// @brief Maintains the view of other instances by gossip over the protocol between instances.
class membership_service : public std::enable_shared_from_this<membership_service> {
public:
    /// Functions of the instance that the service calls.
    struct callbacks {
        /// Passes the digest and the newest revision for the next message to its argument, which it
        /// must call; may be called on the service's strand.
        std::function<void(std::function<void(std::vector<routing::model_digest>, revision)>)>
            own_state;
        /// Called when a peer's message was applied.
        std::function<void(instance_id, const wire::gossip_message&)> on_update;
        /// Called when the usable instances have changed.
        std::function<void(std::vector<instance_id>)> on_change;
    };

    membership_service(boost::asio::io_context& context, const membership_options& options,
                       const membership::member& self, const std::vector<instance_id>& peers,
                       wire::node& node, callbacks callbacks_in);

    void start();
    void stop();

    /// @brief Answers a peer's message.
    void on_gossip(instance_id from, wire::gossip_message message,
                   std::function<void(wire::gossip_message)> reply);

    /// @brief Exchanges updates with a few peers at once, after a change on this instance.
    void gossip_now();

    /// @brief Notifies all peers at once that this instance is shutting down.
    void announce_shutdown();

    /// @brief Calls `callback` with the view, on the service's strand.
    void with_view(std::function<void(const membership::view&)> callback);

private:
    void tick();
    void exchange_with(instance_id peer);
    void probe_indirectly(instance_id peer);
    void apply(instance_id from, const wire::gossip_message& message);
    void report_if_changed();

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    membership_options options_;
    membership::view view_;
    wire::node& node_;
    callbacks callbacks_;
    std::mt19937_64 random_;
    std::vector<instance_id> reported_;
    bool stopped_{false};
};

} // namespace tarragonspar::runtime
