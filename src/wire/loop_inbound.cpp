// Requests that peers enqueued at this instance.

#include "loop.hpp"

namespace tarragonspar::wire {

std::uint64_t node::loop::add_inbound(instance_id from, schema::RightHolder::Client holder,
                                      kj::Own<kj::PromiseFulfiller<end_variant>> finished) {
    const auto key = ++next_key_;
    inbound_.emplace(
        key, inbound_request{.from = from, .holder = kj::mv(holder), .finished = kj::mv(finished)});
    return key;
}

void node::loop::acquire(std::uint64_t key, server_id server,
                         const std::vector<routing::model_digest>& digest,
                         std::function<void(bool)> reply) {
    const auto found = inbound_.find(key);
    if (found == inbound_.end() || found->second.lost) {
        reply(false);
        return;
    }
    auto request = found->second.holder.acquireRequest();
    request.setServer(server.value);
    write_digest(request.initDigest(static_cast<unsigned>(digest.size())), digest);
    const auto granted = std::make_shared<bool>(false);
    auto call = request.send().then(
        [granted](capnp::Response<schema::RightHolder::AcquireResults>&& response) {
            *granted = response.getGranted();
        });
    run_task(bounded(kj::mv(call))
                 .then([reply, granted]() { reply(*granted); },
                       [this, key, reply](kj::Exception&&) {
                           if (const auto lost = inbound_.find(key); lost != inbound_.end()) {
                               lost->second.lost = true;
                           }
                           reply(false);
                       }));
}

void node::loop::release(std::uint64_t key, server_id server, std::function<void()> reply) {
    const auto found = inbound_.find(key);
    if (found == inbound_.end() || found->second.lost) {
        reply();
        return;
    }
    auto request = found->second.holder.giveBackRequest();
    request.setServer(server.value);
    run_task(bounded(request.send().ignoreResult())
                 .then([reply]() { reply(); }, [reply](kj::Exception&&) { reply(); }));
}

void node::loop::deliver(std::uint64_t key, const std::vector<dispatch::answer_event>& events,
                         std::function<void(bool)> reply) {
    const auto found = inbound_.find(key);
    if (found == inbound_.end() || found->second.lost) {
        // The right holder resumes from the server by itself, so the stream must not be cancelled.
        reply(true);
        return;
    }
    auto request = found->second.holder.deliverRequest();
    auto list = request.initEvents(static_cast<unsigned>(events.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        write(list[i], events[i]);
    }
    run_task(request.send().then(
        [reply](capnp::Response<schema::RightHolder::DeliverResults>&& response) {
            reply(response.getWanted());
        },
        [this, key, reply](kj::Exception&&) {
            if (const auto lost = inbound_.find(key); lost != inbound_.end()) {
                lost->second.lost = true;
            }
            reply(true);
        }));
}

void node::loop::conclude(std::uint64_t key, const end_variant& end) {
    const auto found = inbound_.find(key);
    if (found == inbound_.end()) {
        return;
    }
    if (found->second.lost) {
        found->second.finished->reject(KJ_EXCEPTION(DISCONNECTED, "the holder was out of reach"));
    } else {
        found->second.finished->fulfill(end_variant(end));
    }
    inbound_.erase(found);
}

} // namespace tarragonspar::wire
