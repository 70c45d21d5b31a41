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

/// @brief Bounds of the gossip between instances.
struct membership_options {
    membership::view_options view;
    std::chrono::milliseconds interval{600}; ///< between two exchanges that this instance begins
};

/// @brief Keeps the view of other instances by gossip over the inner protocol.
class membership_service : public std::enable_shared_from_this<membership_service> {
public:
    /// What the service asks of, and tells to, the rest of the instance.
    struct hooks {
        /// Gives the digest and the newest revision for the next message; may be called from the
        /// service's strand and must call back.
        std::function<void(std::function<void(std::vector<routing::model_digest>, revision)>)>
            own_news;
        /// A peer's message was taken.
        std::function<void(instance_id, const wire::gossip_message&)> on_news;
        /// The usable instances changed.
        std::function<void(std::vector<instance_id>)> on_change;
    };

    membership_service(boost::asio::io_context& context, const membership_options& options,
                       const membership::member& self, const std::vector<instance_id>& peers,
                       wire::node& node, hooks uses);

    void start();
    void stop();

    /// @brief Answers a peer's message.
    void on_gossip(instance_id from, wire::gossip_message message,
                   std::function<void(wire::gossip_message)> reply);

    /// @brief Exchanges news with a few peers at once, because something changed here.
    void spread();

    /// @brief Tells peers that this instance is leaving, and at once.
    void leave();

    /// @brief Passes the view to `use`, on the service's strand.
    void with_view(std::function<void(const membership::view&)> use);

private:
    void tick();
    void exchange_with(instance_id peer);
    void ask_others_about(instance_id peer);
    void take(instance_id from, const wire::gossip_message& message);
    void report_if_changed();

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer timer_;
    membership_options options_;
    membership::view view_;
    wire::node& node_;
    hooks uses_;
    std::mt19937_64 random_;
    std::vector<instance_id> reported_;
    bool stopped_{false};
};

} // namespace tarragonspar::runtime
