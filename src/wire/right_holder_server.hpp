#pragma once

#include "loop.hpp"

namespace tarragonspar::wire {

/// @brief Serves an owner's calls on the dispatch right of one forwarded request.
class right_holder_server final : public schema::RightHolder::Server {
public:
    right_holder_server(std::shared_ptr<node::loop> event_loop,
                        std::shared_ptr<right_holder> holder)
        : event_loop_(std::move(event_loop)), holder_(std::move(holder)) {}

protected:
    kj::Promise<void> acquire(AcquireContext context) override {
        const auto in = context.getParams();
        context.getResults().setGranted(
            holder_->on_acquire({in.getServer()}, read_digest(in.getDigest())));
        return kj::READY_NOW;
    }

    kj::Promise<void> giveBack(GiveBackContext context) override {
        holder_->on_release({context.getParams().getServer()});
        return kj::READY_NOW;
    }

    kj::Promise<void> deliver(DeliverContext context) override {
        std::vector<dispatch::answer_event> events;
        for (const auto event : context.getParams().getEvents()) {
            events.push_back(read(event));
        }
        context.releaseParams();
        auto accepted = kj::newPromiseAndCrossThreadFulfiller<bool>();
        const auto shared = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<bool>>>(
            kj::mv(accepted.fulfiller));
        holder_->on_deliver(std::move(events), [shared](bool wanted) {
            const kj::CrossThreadPromiseFulfiller<bool>& target = **shared;
            target.fulfill(std::move(wanted)); // NOLINT(performance-move-const-arg)
        });
        return accepted.promise.then(
            [context](bool wanted) mutable { context.getResults().setWanted(wanted); });
    }

private:
    std::shared_ptr<node::loop> event_loop_;
    std::shared_ptr<right_holder> holder_;
};

} // namespace tarragonspar::wire
