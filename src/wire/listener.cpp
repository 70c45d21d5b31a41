#include "listener.hpp"

#include <glog/logging.h>

#include "loop.hpp"

namespace tarragonspar::wire {

namespace {

struct inbound_connection {
    inbound_connection(kj::Own<kj::AsyncIoStream>&& from, capnp::ReaderOptions options,
                       capnp::Capability::Client bootstrap)
        : stream(kj::mv(from)), network(*stream, capnp::rpc::twoparty::Side::SERVER, options),
          system(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

} // namespace

kj::Promise<void> listener::listen(kj::ConnectionReceiver& from) {
    return from.accept().then([this, &from](kj::Own<kj::AsyncIoStream>&& stream) {
        accept(kj::mv(stream));
        return listen(from);
    });
}

void listener::accept(kj::Own<kj::AsyncIoStream>&& stream) {
    if (connections_ >= limits_.max_connections) {
        if (on_refused_) {
            on_refused_();
        }
        return; // the stream closes
    }
    capnp::ReaderOptions options;
    options.traversalLimitInWords = limits_.max_message_bytes / sizeof(capnp::word);
    auto connection = kj::heap<inbound_connection>(kj::mv(stream), options, kj::cp(bootstrap_));
    ++connections_;
    auto ended = connection->network.onDisconnect();
    tasks_.add(ended.attach(kj::mv(connection), kj::defer([this] { --connections_; })));
}

void listener::taskFailed(kj::Exception&& exception) {
    VLOG(1) << "a connection of another instance failed: " << describe(exception);
}

} // namespace tarragonspar::wire
