#include "tarragonspar/gateway/question_handler.hpp"

namespace tarragonspar::gateway {

void question_handler::on_enqueue(instance_id, work_item, dispatch::call_body,
                                  std::shared_ptr<wire::remote_request> request) {
    request->conclude(dispatch::refuse{.why = reason::no_server});
}

void question_handler::on_withdraw(instance_id, const request_id&) {}

void question_handler::on_gossip(instance_id, wire::gossip_message message,
                                 std::function<void(wire::gossip_message)> reply) {
    reply(std::move(message));
}

void question_handler::on_probe(instance_id, std::function<void(bool)> reply) {
    reply(true);
}

void question_handler::on_consensus(instance_id, std::string) {}

} // namespace tarragonspar::gateway
