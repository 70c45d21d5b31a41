#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "tarragonspar/dispatch/answer.hpp"
#include "tarragonspar/dispatch/events.hpp"
#include "tarragonspar/types/work.hpp"
#include "tarragonspar/wire/messages.hpp"

namespace tarragonspar::wire {

/// How a request at another instance ended, as reported by its owner; nothing when the connection
/// or the peer was lost.
using remote_end =
    std::optional<std::variant<std::monostate, dispatch::refuse, dispatch::transfer>>;

/// @brief The holder of a request's dispatch right, as called by the protocol.
///
/// Functions are called on the protocol's thread and must not block.
class right_holder {
public:
    right_holder() = default;
    right_holder(const right_holder&) = delete;
    right_holder& operator=(const right_holder&) = delete;
    right_holder(right_holder&&) = delete;
    right_holder& operator=(right_holder&&) = delete;
    virtual ~right_holder() = default;

    virtual bool on_acquire(server_id server, std::vector<routing::model_digest> digest) = 0;
    virtual void on_release(server_id server) = 0;

    /// @brief Handles events of the answer; calls `acknowledge` once it can accept more.
    virtual void on_deliver(std::vector<dispatch::answer_event> events,
                            std::function<void(bool wanted)> acknowledge) = 0;
};

/// @brief An owner's handle on a request that came from another instance.
///
/// Functions may be called from any thread; replies come on the protocol's thread.
class remote_request {
public:
    remote_request() = default;
    remote_request(const remote_request&) = delete;
    remote_request& operator=(const remote_request&) = delete;
    remote_request(remote_request&&) = delete;
    remote_request& operator=(remote_request&&) = delete;
    virtual ~remote_request() = default;

    /// @brief Requests the dispatch right; false also when its holder is unreachable.
    virtual void acquire(server_id server, std::vector<routing::model_digest> digest,
                         std::function<void(bool granted)> reply) = 0;
    virtual void release(server_id server, std::function<void()> reply) = 0;

    /// @brief Sends events; false when the rest of the answer is no longer wanted. The reply is
    /// true when the holder is unreachable, since it resumes the answer from the server by itself.
    virtual void deliver(std::vector<dispatch::answer_event> events,
                         std::function<void(bool wanted)> reply) = 0;

    /// @brief Ends the request.
    virtual void
    conclude(std::variant<std::monostate, dispatch::refuse, dispatch::transfer> end) = 0;
};

/// @brief Handles the messages of other instances.
///
/// Functions are called on the protocol's thread and must not block.
class handler {
public:
    handler() = default;
    handler(const handler&) = delete;
    handler& operator=(const handler&) = delete;
    handler(handler&&) = delete;
    handler& operator=(handler&&) = delete;
    virtual ~handler() = default;

    virtual void on_enqueue(instance_id from, work_item work, dispatch::call_body call,
                            std::shared_ptr<remote_request> request) = 0;
    virtual void on_withdraw(instance_id from, const request_id& id) = 0;
    virtual void on_gossip(instance_id from, gossip_message message,
                           std::function<void(gossip_message)> reply) = 0;
    virtual void on_probe(instance_id target, std::function<void(bool)> reply) = 0;
    virtual void on_consensus(instance_id from, std::string messages) = 0;
    virtual void on_query(instance_id from, topic about, std::string payload,
                          std::function<void(answer)> reply) = 0;
};

} // namespace tarragonspar::wire
