#pragma once

#include "loop.hpp"

namespace tarragonspar::wire {

/// Reads how an owner ended its handling of a request.
[[nodiscard]] end_variant read_end(schema::OwnerEnd::Reader in);

/// Writes how an owner ended its handling of a request.
void write_end(schema::OwnerEnd::Builder out, const end_variant& value);

/// @brief Serves the calls of other instances.
class instance_server final : public schema::Instance::Server {
public:
    explicit instance_server(node::loop& event_loop) : event_loop_(event_loop) {}

protected:
    kj::Promise<void> enqueue(EnqueueContext context) override;
    kj::Promise<void> withdraw(WithdrawContext context) override;
    kj::Promise<void> gossip(GossipContext context) override;
    kj::Promise<void> probe(ProbeContext context) override;
    kj::Promise<void> consensus(ConsensusContext context) override;
    kj::Promise<void> ask(AskContext context) override;

private:
    node::loop& event_loop_;
};

} // namespace tarragonspar::wire
