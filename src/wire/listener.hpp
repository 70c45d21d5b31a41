#pragma once

#include <functional>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace tarragonspar::wire {

/// Bounds on connections that other instances open.
struct listener_limits {
    std::size_t max_connections;
    std::size_t max_message_bytes;
};

/// Serves connections of other instances, with a bound on their number and on the size of one
/// message. `capnp::TwoPartyServer` has neither.
class listener final : private kj::TaskSet::ErrorHandler {
public:
    listener(capnp::Capability::Client bootstrap, listener_limits limits,
             std::function<void()> on_refused)
        : bootstrap_(kj::mv(bootstrap)), limits_(limits), on_refused_(std::move(on_refused)),
          tasks_(static_cast<kj::TaskSet::ErrorHandler&>(*this)) {}

    kj::Promise<void> listen(kj::ConnectionReceiver& from);

private:
    void accept(kj::Own<kj::AsyncIoStream>&& stream);
    void taskFailed(kj::Exception&& exception) override;

    capnp::Capability::Client bootstrap_;
    listener_limits limits_;
    std::function<void()> on_refused_;
    std::size_t connections_{0};
    kj::TaskSet tasks_; ///< one per connection; last, so that its tasks end first
};

} // namespace tarragonspar::wire
