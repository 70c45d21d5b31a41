#pragma once

#include <chrono>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/compat/tls.h>

#include "tarragonspar/wire/codec.hpp"
#include "tarragonspar/wire/node.hpp"

namespace tarragonspar::wire {

using end_variant = std::variant<std::monostate, dispatch::refuse, dispatch::transfer>;

/// Returns the text of an exception.
[[nodiscard]] std::string describe(const kj::Exception& exception);

/// A request that another instance enqueued here; lives on the loop's thread.
struct inbound_request {
    instance_id from;
    schema::RightHolder::Client holder;
    kj::Own<kj::PromiseFulfiller<end_variant>> finished;
    bool lost{false}; ///< the right holder is unreachable
};

/// A connection to a peer that this instance opened.
struct outbound_connection : public kj::Refcounted {
    explicit outbound_connection(kj::Own<kj::AsyncIoStream>&& stream_in)
        : stream(kj::mv(stream_in)), client(*stream),
          instance(client.bootstrap().castAs<schema::Instance>()) {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    schema::Instance::Client instance;
    int long_calls{0}; ///< enqueued requests in flight
    std::chrono::steady_clock::time_point last_answer_at{std::chrono::steady_clock::now()};
};

/// State of the connection to one peer.
struct peer_link {
    settings::endpoint address;
    kj::Maybe<kj::Own<outbound_connection>> connection;
    kj::Maybe<kj::ForkedPromise<void>> connecting;
    bool heartbeat_running{false};
};

/// @brief The event loop of a node.
class node::loop : public std::enable_shared_from_this<node::loop>,
                   private kj::TaskSet::ErrorHandler {
public:
    loop(node_options options, handler& message_handler);
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    loop(loop&&) = delete;
    loop& operator=(loop&&) = delete;
    virtual ~loop();

    std::string start();
    void stop();

    /// Runs a function on the loop's thread; it is dropped once the loop has stopped.
    void post(std::function<void()> work);

    // The functions below are called on the loop's thread only.

    void enqueue(instance_id peer, const work_item& work, const dispatch::call_body& call,
                 std::shared_ptr<right_holder> holder, std::function<void(remote_end)> done);
    void withdraw(instance_id peer, const request_id& id);
    void gossip(instance_id peer, const gossip_message& message,
                std::function<void(std::optional<gossip_message>)> done);
    void probe(instance_id peer, instance_id target, std::function<void(bool)> done);
    void send_consensus(instance_id peer, const std::string& messages);
    void ask(instance_id peer, topic about, const std::string& payload,
             std::function<void(std::optional<answer>)> done);
    void cut_off(std::set<instance_id> peers);

    std::uint64_t add_inbound(instance_id from, schema::RightHolder::Client holder,
                              kj::Own<kj::PromiseFulfiller<end_variant>> finished);
    void acquire(std::uint64_t key, server_id server,
                 const std::vector<routing::model_digest>& digest, std::function<void(bool)> reply);
    void release(std::uint64_t key, server_id server, std::function<void()> reply);
    void deliver(std::uint64_t key, const std::vector<dispatch::answer_event>& events,
                 std::function<void(bool)> reply);
    void conclude(std::uint64_t key, const end_variant& end);

    /// Records contact with a peer; throws if a test has cut off the peer.
    void record_contact(instance_id from);
    handler& message_handler() {
        return message_handler_;
    }

private:
    void run(std::promise<std::string>& started);
    void serve(kj::AsyncIoContext& io, std::promise<std::string>& started);
    kj::Own<kj::NetworkAddress> resolve(const settings::endpoint& at);
    kj::Promise<void> read_wakeups(kj::AsyncInputStream& input);
    void run_posted();
    void wake_up();
    void taskFailed(kj::Exception&& exception) override;

    kj::Promise<kj::Own<outbound_connection>> connect(instance_id peer);
    kj::Promise<void> open_connection(instance_id peer, peer_link& link);
    void drop(instance_id peer, const outbound_connection& broken);
    /// Closes the connection if the call fails because the peer is gone, or times out on a
    /// connection without recent answers.
    kj::Promise<void> drop_on_failure(kj::Promise<void>&& call, instance_id peer,
                                      outbound_connection& outbound);
    void keep_alive(instance_id peer);
    kj::Promise<void> detect_lost_peers();
    kj::Promise<void> bounded(kj::Promise<void>&& call);
    kj::Promise<void> bounded(kj::Promise<void>&& call, std::chrono::milliseconds limit);
    void run_task(kj::Promise<void>&& task);

    node_options options_;
    handler& message_handler_;
    std::thread thread_;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_work_;
    bool accepting_posts_{false};
    int wake_fd_{-1};

    kj::AsyncIoContext* io_{nullptr};
    kj::Own<kj::TlsContext> tls_;
    kj::Own<kj::TaskSet> tasks_;
    kj::Own<kj::PromiseFulfiller<void>> stop_;
    std::map<instance_id, peer_link> links_;
    std::unordered_map<std::uint64_t, inbound_request> inbound_;
    std::uint64_t next_key_{0};
    std::map<instance_id, kj::TimePoint> last_contact_;
    std::set<instance_id> cut_peers_;
};

} // namespace tarragonspar::wire
