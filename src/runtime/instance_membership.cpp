// Handles changes of the configuration and of the usable instances, and the messages of other
// instances.

#include <set>

#include <glog/logging.h>

#include "tarragonspar/membership/ownership.hpp"
#include "tarragonspar/runtime/instance.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::runtime {

void instance::on_configuration(std::shared_ptr<const config::state> state) {
    snapshots_.store(make_snapshot(state->current));
    metrics_.set_revision(state->current.number.value);
    assign_servers();
    members_->gossip_now();
}

void instance::on_members(std::vector<instance_id> usable) {
    std::vector<instance_id> removed;
    {
        const std::lock_guard lock(assignment_mutex_);
        std::set<instance_id> present(usable.begin(), usable.end());
        for (const auto id : usable_) {
            if (!present.contains(id)) {
                removed.push_back(id);
            }
        }
        usable_ = std::move(usable);
    }
    for (const auto id : removed) {
        LOG(INFO) << telemetry::log_line("peer_gone").add("peer", id.value).text();
        requests_->remove_owner(id);
        owner_->remove_peer(id);
    }
    assign_servers();
}

std::string instance::domain_of(instance_id id) const {
    if (id == settings_.id) {
        return settings_.failure_domain;
    }
    for (const auto& peer : settings_.peers) {
        if (peer.id == id) {
            return peer.failure_domain;
        }
    }
    return {};
}

std::string instance::address_of(server_id id) const {
    const auto current = snapshots_.load();
    const auto found = current->configuration.servers.find(id);
    return found == current->configuration.servers.end() ? std::string{} : found->second.address;
}

void instance::assign_servers() {
    const std::lock_guard lock(assignment_mutex_);
    const auto current = snapshots_.load();
    std::vector<membership::live_instance> live;
    for (const auto id : usable_) {
        live.push_back({.id = id, .failure_domain = domain_of(id)});
    }
    const auto owners = membership::assign_owners(current->configuration.servers, live);
    std::vector<config::server> owned;
    std::vector<routing::placed_server> placed;
    for (const auto& [id, server] : current->configuration.servers) {
        const auto found = owners.find(id);
        if (found == owners.end()) {
            continue;
        }
        if (found->second == settings_.id) {
            owned.push_back(server);
        }
        routing::placed_server item;
        item.id = id;
        item.owner = found->second;
        for (const auto& name : server.offers) {
            item.offers.push_back({hash_name(name)});
        }
        item.local_domain = server.failure_domain == settings_.failure_domain;
        item.active = server.state == config::server_state::active;
        placed.push_back(std::move(item));
    }
    std::vector<config::workspace_limit> limits;
    for (const auto& [name, limit] : current->configuration.limits) {
        limits.push_back(limit);
    }
    owner_->set_servers(std::move(owned), std::move(limits));
    requests_->set_servers(placed);
}

void instance::on_enqueue(instance_id from, work_item work, dispatch::call_body call,
                          std::shared_ptr<wire::remote_request> request) {
    (void)from;
    owned_request item;
    item.work = std::move(work);
    item.call = std::move(call);
    item.link = make_remote_link(std::move(request), owner_);
    owner_->enqueue(std::move(item));
}

void instance::on_withdraw(instance_id from, const request_id& id) {
    (void)from;
    owner_->withdraw(id);
}

void instance::on_gossip(instance_id from, wire::gossip_message message,
                         std::function<void(wire::gossip_message)> reply) {
    members_->on_gossip(from, std::move(message), std::move(reply));
}

void instance::on_probe(instance_id target, std::function<void(bool)> reply) {
    if (target == settings_.id) {
        reply(true);
        return;
    }
    node_->probe(target, target, std::move(reply));
}

void instance::on_consensus(instance_id from, std::string messages) {
    (void)from;
    control_->on_messages(messages);
}

void instance::on_query(instance_id from, wire::topic about, std::string payload,
                        std::function<void(wire::answer)> reply) {
    (void)from;
    if (about == wire::topic::key || about == wire::topic::request) {
        keyed_->on_query(about, payload, std::move(reply));
    } else {
        control_->on_query(about, payload, std::move(reply));
    }
}

} // namespace tarragonspar::runtime
