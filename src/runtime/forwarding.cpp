#include "tarragonspar/runtime/forwarding.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "tarragonspar/runtime/await_reply.hpp"
#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;

namespace {

using end_variant = std::variant<std::monostate, dispatch::refuse, dispatch::transfer>;

/// Holds the right of one record towards the instance that queues it.
class record_holder final : public wire::right_holder {
public:
    record_holder(asio::io_context& context, std::shared_ptr<request_record> record, instance_id at,
                  wire_owners::digest_sink digests)
        : context_(context), record_(std::move(record)), at_(at), digests_(std::move(digests)) {}

    bool on_acquire(server_id server, std::vector<routing::model_digest> digest) override {
        digests_(at_, digest);
        const auto granted = record_->right.grant(server);
        if (granted) {
            record_->dispatched_at = now().time_since_epoch().count();
        }
        return granted;
    }

    void on_give_back(server_id server) override {
        record_->right.take_back(server);
    }

    void on_deliver(std::vector<dispatch::answer_event> events,
                    std::function<void(bool)> taken) override {
        asio::co_spawn(context_, append(record_, std::move(events), std::move(taken)),
                       asio::detached);
    }

private:
    static asio::awaitable<void> append(std::shared_ptr<request_record> record,
                                        std::vector<dispatch::answer_event> events,
                                        std::function<void(bool)> taken) {
        bool wanted = true;
        for (auto& event : events) {
            wanted = co_await record->append(std::move(event));
        }
        taken(wanted);
    }

    asio::io_context& context_;
    std::shared_ptr<request_record> record_;
    instance_id at_;
    wire_owners::digest_sink digests_;
};

owner_end to_owner_end(wire::remote_end end, const request_id& id) {
    if (!end) {
        return link_lost{};
    }
    if (auto* refused = std::get_if<dispatch::refuse>(&*end)) {
        refused->id = id;
        return *refused;
    }
    if (auto* moved = std::get_if<dispatch::transfer>(&*end)) {
        moved->id = id;
        return *moved;
    }
    return leg_over{};
}

end_variant to_wire_end(const owner_end& end) {
    if (const auto* refused = std::get_if<dispatch::refuse>(&end)) {
        return *refused;
    }
    if (const auto* moved = std::get_if<dispatch::transfer>(&end)) {
        return *moved;
    }
    return std::monostate{};
}

class remote_link final : public right_holder_link {
public:
    remote_link(std::shared_ptr<wire::remote_request> request, std::shared_ptr<owner> local)
        : request_(std::move(request)), local_(std::move(local)) {}

    // Callbacks are named before they are passed on: GCC 12 destroys unnamed ones in an awaited
    // expression twice.

    asio::awaitable<bool> acquire(server_id server) override {
        using digests = std::vector<routing::model_digest>;
        std::function<void(std::function<void(digests)>)> ask_digest =
            [local = local_](auto reply) { local->with_digest(std::move(reply)); };
        auto digest = co_await await_reply<digests>(std::move(ask_digest));
        std::function<void(std::function<void(bool)>)> ask_right =
            [request = request_, server, digest = std::move(digest)](auto reply) {
                request->acquire(server, digest, std::move(reply));
            };
        const bool granted = co_await await_reply<bool>(std::move(ask_right));
        co_return granted;
    }

    asio::awaitable<void> give_back(server_id server) override {
        std::function<void(std::function<void(bool)>)> start = [request = request_,
                                                                server](auto reply) {
            request->give_back(server, [reply] { reply(true); });
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
    : context_(context), node_(node), digests_(std::move(digests)) {}

asio::awaitable<owner_end> wire_owners::run(instance_id at,
                                            std::shared_ptr<request_record> record) {
    auto work = record->work;
    work.transfers = record->transfers;
    auto holder = std::make_shared<record_holder>(context_, record, at, digests_);
    std::function<void(std::function<void(wire::remote_end)>)> start =
        [this, at, work, record, holder = std::move(holder)](auto reply) {
            node_.enqueue(at, work, record->call, holder, std::move(reply));
        };
    auto end = co_await await_reply<wire::remote_end>(std::move(start));
    co_return to_owner_end(std::move(end), record->work.id);
}

void wire_owners::withdraw(instance_id at, const request_id& id) {
    node_.withdraw(at, id);
}

std::shared_ptr<right_holder_link> make_remote_link(std::shared_ptr<wire::remote_request> request,
                                                    std::shared_ptr<owner> local) {
    return std::make_shared<remote_link>(std::move(request), std::move(local));
}

} // namespace tarragonspar::runtime
