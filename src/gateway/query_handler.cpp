#include "tarragonspar/gateway/query_handler.hpp"

namespace tarragonspar::gateway {

void query_handler::on_enqueue(instance_id, work_item, dispatch::call_body,
                               std::shared_ptr<wire::remote_request> request) {
    request->conclude(dispatch::refuse{.why = reason::no_server});
}

void query_handler::on_withdraw(instance_id, const request_id&) {}

void query_handler::on_gossip(instance_id, wire::gossip_message message,
                              std::function<void(wire::gossip_message)> reply) {
    reply(std::move(message));
}

void query_handler::on_probe(instance_id, std::function<void(bool)> reply) {
    reply(true);
}

void query_handler::on_consensus(instance_id, std::string) {}

} // namespace tarragonspar::gateway
