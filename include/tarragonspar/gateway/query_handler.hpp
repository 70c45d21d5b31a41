#pragma once

#include <functional>
#include <memory>
#include <string>

#include "tarragonspar/wire/handler.hpp"

namespace tarragonspar::gateway {

/// @brief Answers the calls between instances that only `tarragond` makes: instances of a
/// deployment forward no requests and don't gossip. Each instance implements the queries itself.
class query_handler : public wire::handler {
public:
    /// @brief Refuses the request.
    void on_enqueue(instance_id from, work_item work, dispatch::call_body call,
                    std::shared_ptr<wire::remote_request> request) override;
    void on_withdraw(instance_id from, const request_id& id) override;
    /// @brief Replies with the message itself.
    void on_gossip(instance_id from, wire::gossip_message message,
                   std::function<void(wire::gossip_message)> reply) override;
    void on_probe(instance_id target, std::function<void(bool)> reply) override;
    /// @brief Ignores the messages; overridden where a replica runs.
    void on_consensus(instance_id from, std::string messages) override;
};

} // namespace tarragonspar::gateway
