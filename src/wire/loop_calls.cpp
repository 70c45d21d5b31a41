// Calls that this instance makes to its peers.

#include <glog/logging.h>

#include "instance_server.hpp"
#include "loop.hpp"
#include "right_holder_server.hpp"
#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::wire {

void node::loop::enqueue(instance_id peer, const work_item& work, const dispatch::call_body& call,
                         std::shared_ptr<right_holder> holder,
                         std::function<void(remote_end)> done) {
    auto task =
        connect(peer)
            .then([this, peer, work, call, holder](kj::Own<outbound_connection>&& connection) {
                auto request = connection->instance.enqueueRequest();
                request.setFrom(options_.self.value);
                write(request.initWork(), work, runtime::now());
                write(request.initCall(), call);
                request.setHolder(kj::heap<right_holder_server>(shared_from_this(), holder));
                ++connection->long_calls;
                if (!links_.at(peer).heartbeat_running) {
                    keep_alive(peer);
                }
                auto* raw = connection.get();
                return request.send()
                    .then([](capnp::Response<schema::Instance::EnqueueResults>&& response) {
                        return read_end(response.getEnd());
                    })
                    .attach(kj::defer([raw] { --raw->long_calls; }))
                    .attach(kj::mv(connection));
            })
            .then([done](end_variant&& end) { done(remote_end{std::move(end)}); },
                  [done](kj::Exception&& error) {
                      VLOG(1) << "a forwarded request failed: " << describe(error);
                      done(std::nullopt);
                  });
    run_task(kj::mv(task));
}

void node::loop::withdraw(instance_id peer, const request_id& id) {
    run_task(connect(peer).then([this, id](kj::Own<outbound_connection>&& connection) {
        auto request = connection->instance.withdrawRequest();
        request.setFrom(options_.self.value);
        write(request.initId(), id);
        return bounded(request.send().ignoreResult()).attach(kj::mv(connection));
    }));
}

void node::loop::gossip(instance_id peer, const gossip_message& message,
                        std::function<void(std::optional<gossip_message>)> done) {
    auto task = connect(peer)
                    .then([this, peer, message, done](kj::Own<outbound_connection>&& connection) {
                        auto request = connection->instance.gossipRequest();
                        request.setFrom(options_.self.value);
                        write(request.initMessage(), message);
                        auto* raw = connection.get();
                        auto call = request.send().then(
                            [done](capnp::Response<schema::Instance::GossipResults>&& response) {
                                done(read(response.getReply()));
                            });
                        return bounded(kj::mv(call))
                            .catch_([this, peer, raw](kj::Exception&& error) {
                                drop(peer, *raw);
                                kj::throwRecoverableException(kj::mv(error));
                            })
                            .attach(kj::mv(connection));
                    })
                    .catch_([done](kj::Exception&&) { done(std::nullopt); });
    run_task(kj::mv(task));
}

void node::loop::probe(instance_id peer, instance_id target, std::function<void(bool)> done) {
    auto task = connect(peer)
                    .then([this, target, done](kj::Own<outbound_connection>&& connection) {
                        auto request = connection->instance.probeRequest();
                        request.setFrom(options_.self.value);
                        request.setTarget(target.value);
                        auto call = request.send().then(
                            [done](capnp::Response<schema::Instance::ProbeResults>&& response) {
                                done(response.getReachable());
                            });
                        return bounded(kj::mv(call)).attach(kj::mv(connection));
                    })
                    .catch_([done](kj::Exception&&) { done(false); });
    run_task(kj::mv(task));
}

void node::loop::send_consensus(instance_id peer, const std::string& messages) {
    run_task(connect(peer).then([this, peer, messages](kj::Own<outbound_connection>&& connection) {
        auto request = connection->instance.consensusRequest();
        request.setFrom(options_.self.value);
        request.setMessages(
            {reinterpret_cast<const capnp::byte*>(messages.data()), messages.size()});
        auto& outbound = *connection;
        return drop_on_failure(bounded(request.send().ignoreResult()), peer, outbound)
            .attach(kj::mv(connection));
    }));
}

void node::loop::ask(instance_id peer, topic about, const std::string& payload,
                     std::function<void(std::optional<answer>)> done) {
    auto task =
        connect(peer)
            .then([this, peer, about, payload, done](kj::Own<outbound_connection>&& connection) {
                auto request = connection->instance.askRequest();
                request.setFrom(options_.self.value);
                request.setTopic(static_cast<std::uint8_t>(about));
                request.setPayload(
                    {reinterpret_cast<const capnp::byte*>(payload.data()), payload.size()});
                auto call = request.send().then(
                    [done](capnp::Response<schema::Instance::AskResults>&& response) {
                        const auto payload_in = response.getAnswer().getPayload();
                        done(answer{.known = response.getAnswer().getKnown(),
                                    .payload = {reinterpret_cast<const char*>(payload_in.begin()),
                                                payload_in.size()}});
                    });
                const auto is_long =
                    about == topic::key || about == topic::request || about == topic::grant;
                const auto limit = is_long ? options_.run_timeout : options_.call_timeout;
                auto& outbound = *connection;
                return drop_on_failure(bounded(kj::mv(call), limit), peer, outbound)
                    .attach(kj::mv(connection));
            })
            .catch_([done](kj::Exception&&) { done(std::nullopt); });
    run_task(kj::mv(task));
}

} // namespace tarragonspar::wire
