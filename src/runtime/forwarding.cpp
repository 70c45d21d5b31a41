#include "tarragonspar/runtime/forwarding.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "tarragonspar/runtime/await_reply.hpp"
#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;

namespace {

using end_variant = std::variant<std::monostate, dispatch::refuse, dispatch::transfer>;

/// Serves the dispatch right of one record to the instance that queues the request.
class record_right_holder final : public wire::right_holder {
public:
    record_right_holder(asio::io_context& context, std::shared_ptr<request_record> record,
                        instance_id owner_id, wire_owners::digest_sink digests)
        : context_(context), record_(std::move(record)), owner_id_(owner_id),
          on_digest_(std::move(digests)) {}

    bool on_acquire(server_id server, std::vector<routing::model_digest> digest) override {
        on_digest_(owner_id_, digest);
        const auto granted = record_->right.grant(server);
        if (granted) {
            record_->dispatched_at = now().time_since_epoch().count();
        }
        return granted;
    }

    void on_release(server_id server) override {
        record_->right.reclaim(server);
    }

    void on_deliver(std::vector<dispatch::answer_event> events,
                    std::function<void(bool)> acknowledge) override {
        asio::co_spawn(context_, append(record_, std::move(events), std::move(acknowledge)),
                       asio::detached);
    }

private:
    static asio::awaitable<void> append(std::shared_ptr<request_record> record,
                                        std::vector<dispatch::answer_event> events,
                                        std::function<void(bool)> acknowledge) {
        bool wanted = true;
        for (auto& event : events) {
            wanted = co_await record->append(std::move(event));
        }
        acknowledge(wanted);
    }

    asio::io_context& context_;
    std::shared_ptr<request_record> record_;
    instance_id owner_id_;
    wire_owners::digest_sink on_digest_;
};

owner_end to_owner_end(wire::remote_end end, const request_id& id) {
    if (!end) {
        return link_lost{};
    }
    if (auto* refused = std::get_if<dispatch::refuse>(&*end)) {
        refused->id = id;
        return *refused;
    }
    if (auto* transferred = std::get_if<dispatch::transfer>(&*end)) {
        transferred->id = id;
        return *transferred;
    }
    return upstream_done{};
}

end_variant to_wire_end(const owner_end& end) {
    if (const auto* refused = std::get_if<dispatch::refuse>(&end)) {
        return *refused;
    }
    if (const auto* transferred = std::get_if<dispatch::transfer>(&end)) {
        return *transferred;
    }
    return std::monostate{};
}

class remote_link final : public right_holder_link {
public:
    remote_link(std::shared_ptr<wire::remote_request> request, std::shared_ptr<owner> local)
        : request_(std::move(request)), local_(std::move(local)) {}

    // Callbacks are stored in named variables: GCC 12 destroys unnamed ones in an awaited
    // expression twice.

    asio::awaitable<bool> acquire(server_id server) override {
        using digests = std::vector<routing::model_digest>;
        std::function<void(std::function<void(digests)>)> start_digest =
            [local = local_](auto reply) { local->with_digest(std::move(reply)); };
        auto digest = co_await await_reply<digests>(std::move(start_digest));
        std::function<void(std::function<void(bool)>)> start_acquire =
            [request = request_, server, digest = std::move(digest)](auto reply) {
                request->acquire(server, digest, std::move(reply));
            };
        const bool granted = co_await await_reply<bool>(std::move(start_acquire));
        co_return granted;
    }

    asio::awaitable<void> release(server_id server) override {
        std::function<void(std::function<void(bool)>)> start = [request = request_,
                                                                server](auto reply) {
            request->release(server, [reply] { reply(true); });
        };
        co_await await_reply<bool>(std::move(start));
    }

    asio::awaitable<bool> deliver(dispatch::answer_event event) override {
        std::vector<dispatch::answer_event> events;
        events.push_back(std::move(event));
        std::function<void(std::function<void(bool)>)> start =
            [request = request_, events = std::move(events)](auto reply) {
                request->deliver(events, std::move(reply));
            };
        const bool wanted = co_await await_reply<bool>(std::move(start));
        co_return wanted;
    }

    void conclude(owner_end end) override {
        request_->conclude(to_wire_end(end));
    }

private:
    std::shared_ptr<wire::remote_request> request_;
    std::shared_ptr<owner> local_;
};

} // namespace

wire_owners::wire_owners(asio::io_context& context, wire::node& node, digest_sink digests)
    : context_(context), node_(node), on_digest_(std::move(digests)) {}

asio::awaitable<owner_end> wire_owners::run(instance_id target,
                                            std::shared_ptr<request_record> record) {
    auto work = record->work;
    work.transfers = record->transfers;
    auto holder = std::make_shared<record_right_holder>(context_, record, target, on_digest_);
    std::function<void(std::function<void(wire::remote_end)>)> start =
        [this, target, work, record, holder = std::move(holder)](auto reply) {
            node_.enqueue(target, work, record->call, holder, std::move(reply));
        };
    auto end = co_await await_reply<wire::remote_end>(std::move(start));
    co_return to_owner_end(std::move(end), record->work.id);
}

void wire_owners::withdraw(instance_id target, const request_id& id) {
    node_.withdraw(target, id);
}

std::shared_ptr<right_holder_link> make_remote_link(std::shared_ptr<wire::remote_request> request,
                                                    std::shared_ptr<owner> local) {
    return std::make_shared<remote_link>(std::move(request), std::move(local));
}

} // namespace tarragonspar::runtime
