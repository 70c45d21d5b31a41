#pragma once

#include <functional>
#include <memory>
#include <string>

#include "tarragonspar/wire/handler.hpp"

namespace tarragonspar::gateway {

/// @brief What instances of a deployment answer to calls that only `tarragond` makes: they forward
/// no requests and don't gossip. Questions are left to the instance.
class question_handler : public wire::handler {
public:
    /// @brief Refuses the request.
    void on_enqueue(instance_id from, work_item work, dispatch::call_body call,
                    std::shared_ptr<wire::remote_request> request) override;
    void on_withdraw(instance_id from, const request_id& id) override;
    /// @brief Gives the message back.
    void on_gossip(instance_id from, wire::gossip_message message,
                   std::function<void(wire::gossip_message)> reply) override;
    void on_probe(instance_id target, std::function<void(bool)> reply) override;
    /// @brief Ignored where no replica runs.
    void on_consensus(instance_id from, std::string messages) override;
};

} // namespace tarragonspar::gateway
