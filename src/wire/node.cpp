#include "tarragonspar/wire/node.hpp"

#include "loop.hpp"

namespace tarragonspar::wire {

node::node(node_options options, handler& message_handler)
    : loop_(std::make_shared<loop>(std::move(options), message_handler)) {}

node::~node() {
    stop();
}

std::string node::start() {
    return loop_->start();
}

void node::stop() {
    loop_->stop();
}

void node::enqueue(instance_id peer, const work_item& work, const dispatch::call_body& call,
                   std::shared_ptr<right_holder> holder, std::function<void(remote_end)> done) {
    loop_->post([event_loop = loop_.get(), peer, work, call, holder = std::move(holder),
                 done = std::move(done)] { event_loop->enqueue(peer, work, call, holder, done); });
}

void node::withdraw(instance_id peer, const request_id& id) {
    loop_->post([event_loop = loop_.get(), peer, id] { event_loop->withdraw(peer, id); });
}

void node::gossip(instance_id peer, gossip_message message,
                  std::function<void(std::optional<gossip_message>)> done) {
    loop_->post([event_loop = loop_.get(), peer, message = std::move(message),
                 done = std::move(done)] { event_loop->gossip(peer, message, done); });
}

void node::probe(instance_id peer, instance_id target, std::function<void(bool)> done) {
    loop_->post([event_loop = loop_.get(), peer, target, done = std::move(done)] {
        event_loop->probe(peer, target, done);
    });
}

void node::send_consensus(instance_id peer, std::string messages) {
    loop_->post([event_loop = loop_.get(), peer, messages = std::move(messages)] {
        event_loop->send_consensus(peer, messages);
    });
}

void node::ask(instance_id peer, topic about, std::string payload,
               std::function<void(std::optional<answer>)> done) {
    loop_->post([event_loop = loop_.get(), peer, about, payload = std::move(payload),
                 done = std::move(done)] { event_loop->ask(peer, about, payload, done); });
}

void node::cut_off(std::set<instance_id> peers) {
    loop_->post(
        [event_loop = loop_.get(), peers = std::move(peers)] { event_loop->cut_off(peers); });
}

} // namespace tarragonspar::wire
