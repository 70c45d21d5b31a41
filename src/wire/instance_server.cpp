#include "instance_server.hpp"

#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::wire {

namespace {

/// The owner's handle on a request of another instance.
class inbound_handle final : public remote_request {
public:
    inbound_handle(std::weak_ptr<node::loop> event_loop, std::uint64_t key)
        : event_loop_(std::move(event_loop)), key_(key) {}

    void acquire(server_id server, std::vector<routing::model_digest> digest,
                 std::function<void(bool)> reply) override {
        const auto event_loop = event_loop_.lock();
        if (!event_loop) {
            reply(false);
            return;
        }
        event_loop->post(
            [event_loop, key = key_, server, digest = std::move(digest), reply = std::move(reply)] {
                event_loop->acquire(key, server, digest, reply);
            });
    }

    void release(server_id server, std::function<void()> reply) override {
        if (const auto event_loop = event_loop_.lock()) {
            event_loop->post([event_loop, key = key_, server, reply = std::move(reply)] {
                event_loop->release(key, server, reply);
            });
        }
    }

    void deliver(std::vector<dispatch::answer_event> events,
                 std::function<void(bool)> reply) override {
        if (const auto event_loop = event_loop_.lock()) {
            event_loop->post(
                [event_loop, key = key_, events = std::move(events), reply = std::move(reply)] {
                    event_loop->deliver(key, events, reply);
                });
        }
    }

    void conclude(end_variant end) override {
        if (const auto event_loop = event_loop_.lock()) {
            event_loop->post(
                [event_loop, key = key_, end = std::move(end)] { event_loop->conclude(key, end); });
        }
    }

private:
    std::weak_ptr<node::loop> event_loop_;
    std::uint64_t key_;
};

/// Returns a callback that fulfils a promise of the loop's thread from any thread.
template <class T>
std::function<void(T)> cross_thread_reply(kj::Own<kj::CrossThreadPromiseFulfiller<T>> fulfiller) {
    const auto shared =
        std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>(kj::mv(fulfiller));
    return [shared](T value) {
        const kj::CrossThreadPromiseFulfiller<T>& target = **shared;
        target.fulfill(std::move(value));
    };
}

} // namespace

end_variant read_end(schema::OwnerEnd::Reader in) {
    switch (in.which()) {
    case schema::OwnerEnd::LEG_OVER:
        return std::monostate{};
    case schema::OwnerEnd::TRANSFERRED:
        return dispatch::transfer{.peer = {in.getTransferred()}};
    case schema::OwnerEnd::REFUSED:
        break;
    }
    const auto refused = in.getRefused();
    const auto why = refused.getReason() <= static_cast<std::uint8_t>(reason::catching_up)
                         ? static_cast<reason>(refused.getReason())
                         : reason::overloaded;
    return dispatch::refuse{.why = why, .retry_after = duration{refused.getRetryAfterUs()}};
}

void write_end(schema::OwnerEnd::Builder out, const end_variant& value) {
    if (const auto* refused = std::get_if<dispatch::refuse>(&value)) {
        auto group = out.initRefused();
        group.setReason(static_cast<std::uint8_t>(refused->why));
        group.setRetryAfterUs(refused->retry_after.count());
    } else if (const auto* transferred = std::get_if<dispatch::transfer>(&value)) {
        out.setTransferred(transferred->peer.value);
    } else {
        out.setLegOver();
    }
}

kj::Promise<void> instance_server::enqueue(EnqueueContext context) {
    const auto in = context.getParams();
    const instance_id from{in.getFrom()};
    event_loop_.record_contact(from);
    auto work = read(in.getWork(), runtime::now());
    auto call = read(in.getCall());
    auto ended = kj::newPromiseAndFulfiller<end_variant>();
    const auto key = event_loop_.add_inbound(from, in.getHolder(), kj::mv(ended.fulfiller));
    context.releaseParams();
    event_loop_.message_handler().on_enqueue(
        from, std::move(work), std::move(call),
        std::make_shared<inbound_handle>(event_loop_.weak_from_this(), key));
    return ended.promise.then(
        [context](end_variant&& end) mutable { write_end(context.getResults().initEnd(), end); });
}

kj::Promise<void> instance_server::withdraw(WithdrawContext context) {
    const auto in = context.getParams();
    event_loop_.record_contact({in.getFrom()});
    event_loop_.message_handler().on_withdraw({in.getFrom()}, read(in.getId()));
    return kj::READY_NOW;
}

kj::Promise<void> instance_server::gossip(GossipContext context) {
    const auto in = context.getParams();
    const instance_id from{in.getFrom()};
    event_loop_.record_contact(from);
    auto replied = kj::newPromiseAndCrossThreadFulfiller<gossip_message>();
    event_loop_.message_handler().on_gossip(
        from, read(in.getMessage()), cross_thread_reply<gossip_message>(kj::mv(replied.fulfiller)));
    return replied.promise.then([context](gossip_message&& reply) mutable {
        write(context.getResults().initReply(), reply);
    });
}

kj::Promise<void> instance_server::probe(ProbeContext context) {
    const auto in = context.getParams();
    event_loop_.record_contact({in.getFrom()});
    auto replied = kj::newPromiseAndCrossThreadFulfiller<bool>();
    event_loop_.message_handler().on_probe({in.getTarget()},
                                           cross_thread_reply<bool>(kj::mv(replied.fulfiller)));
    return replied.promise.then(
        [context](bool reachable) mutable { context.getResults().setReachable(reachable); });
}

kj::Promise<void> instance_server::consensus(ConsensusContext context) {
    const auto in = context.getParams();
    const instance_id from{in.getFrom()};
    event_loop_.record_contact(from);
    const auto data = in.getMessages();
    event_loop_.message_handler().on_consensus(
        from, std::string(reinterpret_cast<const char*>(data.begin()), data.size()));
    return kj::READY_NOW;
}

kj::Promise<void> instance_server::ask(AskContext context) {
    const auto in = context.getParams();
    const instance_id from{in.getFrom()};
    event_loop_.record_contact(from);
    const auto data = in.getPayload();
    const auto about = static_cast<topic>(in.getTopic());
    std::string payload(reinterpret_cast<const char*>(data.begin()), data.size());
    if (about == topic::grant_update || about == topic::server_notice ||
        about == topic::server_limit) {
        // No caller waits for the answer, and two of three queries to a leader are of this kind: an
        // answer passed from another thread would cost as much as the query.
        event_loop_.message_handler().on_query(from, about, std::move(payload),
                                               [](const answer&) {});
        return kj::READY_NOW;
    }
    auto replied = kj::newPromiseAndCrossThreadFulfiller<answer>();
    event_loop_.message_handler().on_query(from, about, std::move(payload),
                                           cross_thread_reply<answer>(kj::mv(replied.fulfiller)));
    return replied.promise.then([context](answer&& reply) mutable {
        auto out = context.getResults().initAnswer();
        out.setKnown(reply.known);
        out.setPayload(
            {reinterpret_cast<const capnp::byte*>(reply.payload.data()), reply.payload.size()});
    });
}

} // namespace tarragonspar::wire
