#include "tarragonspar/runtime/membership_service.hpp"

#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;

namespace {

/// Maximum number of peers that are asked to probe one that did not answer.
constexpr std::size_t max_probes = 2;
/// Number of exchanges that are started at once after a change.
constexpr std::size_t gossip_fanout = 4;

} // namespace

membership_service::membership_service(asio::io_context& context, const membership_options& options,
                                       const membership::member& self,
                                       const std::vector<instance_id>& peers, wire::node& node,
                                       callbacks callbacks_in)
    : strand_(asio::make_strand(context)), timer_(strand_), options_(options),
      view_(membership::make_view(options.view, self, peers, now())), node_(node),
      callbacks_(std::move(callbacks_in)), random_(self.started_as.value ^ self.id.value) {}

void membership_service::start() {
    asio::post(strand_, [self = shared_from_this()] {
        self->report_if_changed();
        // Contacts all peers at once, so that a starting instance is known quickly.
        for (const auto& [id, state] : self->view_.others) {
            self->exchange_with(id);
        }
        self->tick();
    });
}

void membership_service::stop() {
    asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->timer_.cancel();
    });
}

void membership_service::tick() {
    if (stopped_) {
        return;
    }
    membership::expire_suspects(view_, now());
    report_if_changed();
    if (const auto target = membership::next_target(view_, random_)) {
        exchange_with(*target);
    }
    timer_.expires_after(options_.interval);
    timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->tick();
        }
    });
}

void membership_service::exchange_with(instance_id peer) {
    const auto self = shared_from_this();
    callbacks_.own_state([self, peer](std::vector<routing::model_digest> digest, revision newest) {
        asio::post(self->strand_, [self, peer, digest = std::move(digest), newest] {
            wire::gossip_message message{.self = self->view_.self,
                                         .members = membership::updates_to_send(self->view_),
                                         .digest = digest,
                                         .newest = newest};
            self->node_.gossip(
                peer, std::move(message), [self, peer](std::optional<wire::gossip_message> reply) {
                    asio::post(self->strand_, [self, peer, reply = std::move(reply)] {
                        if (reply) {
                            self->apply(peer, *reply);
                        } else {
                            self->probe_indirectly(peer);
                        }
                    });
                });
        });
    });
}

void membership_service::probe_indirectly(instance_id peer) {
    auto pending = std::make_shared<std::size_t>(0);
    const auto reached = std::make_shared<bool>(false);
    const auto self = shared_from_this();
    std::vector<instance_id> probing_peers;
    for (const auto id : membership::usable_instances(view_)) {
        if (id != peer && id != view_.self.id && probing_peers.size() < max_probes) {
            probing_peers.push_back(id);
        }
    }
    if (probing_peers.empty()) {
        membership::on_probe_timeout(view_, peer, now());
        return;
    }
    *pending = probing_peers.size();
    for (const auto probing_peer : probing_peers) {
        node_.probe(probing_peer, peer, [self, peer, pending, reached](bool reachable) {
            asio::post(self->strand_, [self, peer, pending, reached, reachable] {
                *reached = *reached || reachable;
                if (--*pending == 0 && !*reached) {
                    membership::on_probe_timeout(self->view_, peer, now());
                }
            });
        });
    }
}

void membership_service::apply(instance_id from, const wire::gossip_message& message) {
    membership::apply_update(view_, message.self, now());
    for (const auto& statement : message.members) {
        membership::apply_update(view_, statement, now());
    }
    callbacks_.on_update(from, message);
    report_if_changed();
}

void membership_service::on_gossip(instance_id from, wire::gossip_message message,
                                   std::function<void(wire::gossip_message)> reply) {
    const auto self = shared_from_this();
    asio::post(strand_, [self, from, message = std::move(message), reply = std::move(reply)] {
        self->apply(from, message);
        self->callbacks_.own_state(
            [self, reply](std::vector<routing::model_digest> digest, revision newest) {
                asio::post(self->strand_, [self, reply, digest = std::move(digest), newest] {
                    reply(wire::gossip_message{.self = self->view_.self,
                                               .members = membership::updates_to_send(self->view_),
                                               .digest = digest,
                                               .newest = newest});
                });
            });
    });
}

void membership_service::gossip_now() {
    asio::post(strand_, [self = shared_from_this()] {
        for (std::size_t i = 0; i < gossip_fanout; ++i) {
            if (const auto target = membership::next_target(self->view_, self->random_)) {
                self->exchange_with(*target);
            }
        }
    });
}

void membership_service::announce_shutdown() {
    asio::post(strand_, [self = shared_from_this()] {
        membership::announce_shutdown(self->view_);
        self->report_if_changed();
        for (const auto& [id, state] : self->view_.others) {
            self->exchange_with(id);
        }
    });
}

void membership_service::with_view(std::function<void(const membership::view&)> callback) {
    asio::post(strand_, [self = shared_from_this(), callback = std::move(callback)] {
        callback(self->view_);
    });
}

void membership_service::report_if_changed() {
    auto usable = membership::usable_instances(view_);
    if (usable == reported_) {
        return;
    }
    reported_ = usable;
    callbacks_.on_change(std::move(usable));
}

} // namespace tarragonspar::runtime
