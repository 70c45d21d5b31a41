#include "instance_server.hpp"

#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::wire {

namespace {

/// The handle that an owner gets on a request of another instance.
class inbound_handle final : public remote_request {
public:
    inbound_handle(std::weak_ptr<node::loop> home, std::uint64_t key)
        : home_(std::move(home)), key_(key) {}

    void acquire(server_id server, std::vector<routing::model_digest> digest,
                 std::function<void(bool)> reply) override {
        const auto home = home_.lock();
        if (!home) {
            reply(false);
            return;
        }
        home->post([home, key = key_, server, digest = std::move(digest),
                    reply = std::move(reply)] { home->acquire(key, server, digest, reply); });
    }

    void give_back(server_id server, std::function<void()> reply) override {
        if (const auto home = home_.lock()) {
            home->post([home, key = key_, server, reply = std::move(reply)] {
                home->give_back(key, server, reply);
            });
        }
    }

    void deliver(std::vector<dispatch::answer_event> events,
                 std::function<void(bool)> reply) override {
        if (const auto home = home_.lock()) {
            home->post([home, key = key_, events = std::move(events), reply = std::move(reply)] {
                home->deliver(key, events, reply);
            });
        }
    }

    void conclude(end_variant end) override {
        if (const auto home = home_.lock()) {
            home->post([home, key = key_, end = std::move(end)] { home->conclude(key, end); });
        }
    }

private:
    std::weak_ptr<node::loop> home_;
    std::uint64_t key_;
};

/// Fulfils a promise of the loop's thread from any thread.
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
    } else if (const auto* moved = std::get_if<dispatch::transfer>(&value)) {
        out.setTransferred(moved->peer.value);
    } else {
        out.setLegOver();
    }
}

kj::Promise<void> instance_server::enqueue(EnqueueContext context) {
    const auto in = context.getParams();
    const instance_id from{in.getFrom()};
    home_.note_heard(from);
    auto work = read(in.getWork(), runtime::now());
    auto call = read(in.getCall());
    auto ended = kj::newPromiseAndFulfiller<end_variant>();
    const auto key = home_.add_inbound(from, in.getHolder(), kj::mv(ended.fulfiller));
    context.releaseParams();
    home_.handles().on_enqueue(from, std::move(work), std::move(call),
                               std::make_shared<inbound_handle>(home_.weak_from_this(), key));
    return ended.promise.then(
        [context](end_variant&& end) mutable { write_end(context.getResults().initEnd(), end); });
}

kj::Promise<void> instance_server::withdraw(WithdrawContext context) {
    const auto in = context.getParams();
    home_.note_heard({in.getFrom()});
    home_.handles().on_withdraw({in.getFrom()}, read(in.getId()));
    return kj::READY_NOW;
}

kj::Promise<void> instance_server::gossip(GossipContext context) {
    const auto in = context.getParams();
    const instance_id from{in.getFrom()};
    home_.note_heard(from);
    auto replied = kj::newPromiseAndCrossThreadFulfiller<gossip_message>();
    home_.handles().on_gossip(from, read(in.getMessage()),
                              cross_thread_reply<gossip_message>(kj::mv(replied.fulfiller)));
    return replied.promise.then([context](gossip_message&& reply) mutable {
        write(context.getResults().initReply(), reply);
    });
}

kj::Promise<void> instance_server::probe(ProbeContext context) {
    const auto in = context.getParams();
    home_.note_heard({in.getFrom()});
    auto replied = kj::newPromiseAndCrossThreadFulfiller<bool>();
    home_.handles().on_probe({in.getTarget()}, cross_thread_reply<bool>(kj::mv(replied.fulfiller)));
    return replied.promise.then(
        [context](bool reachable) mutable { context.getResults().setReachable(reachable); });
}

kj::Promise<void> instance_server::consensus(ConsensusContext context) {
    const auto in = context.getParams();
    const instance_id from{in.getFrom()};
    home_.note_heard(from);
    const auto data = in.getMessages();
    home_.handles().on_consensus(
        from, std::string(reinterpret_cast<const char*>(data.begin()), data.size()));
    return kj::READY_NOW;
}

kj::Promise<void> instance_server::ask(AskContext context) {
    const auto in = context.getParams();
    const instance_id from{in.getFrom()};
    home_.note_heard(from);
    const auto data = in.getPayload();
    const auto about = static_cast<topic>(in.getTopic());
    std::string payload(reinterpret_cast<const char*>(data.begin()), data.size());
    if (about == topic::grant_news || about == topic::server_notice) {
        // Nobody waits for what this says, and two of three questions to a leader are of this kind:
        // an answer handed over from another thread would cost as much as the question.
        home_.handles().on_question(from, about, std::move(payload), [](const answer&) {});
        return kj::READY_NOW;
    }
    auto replied = kj::newPromiseAndCrossThreadFulfiller<answer>();
    home_.handles().on_question(from, about, std::move(payload),
                                cross_thread_reply<answer>(kj::mv(replied.fulfiller)));
    return replied.promise.then([context](answer&& reply) mutable {
        auto out = context.getResults().initAnswer();
        out.setKnown(reply.known);
        out.setPayload(
            {reinterpret_cast<const capnp::byte*>(reply.payload.data()), reply.payload.size()});
    });
}

} // namespace tarragonspar::wire
