// Control groups whose members are not all known in advance, and the document that they store.

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/runtime/control_service.hpp"
#include "tarragonspar/telemetry/log.hpp"
#include "tarragonspar/types/cbor.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

/// Decodes a document from another instance; nothing when the bytes are malformed.
std::optional<config::document> decode_document(const std::string& bytes) {
    try {
        return json::from_cbor(bytes).get<config::document>();
    } catch (const json::exception& error) {
        telemetry::write(telemetry::log_line("message_unreadable").add("why", error.what()));
        return std::nullopt;
    }
}

} // namespace

void control_service::listen(document_listener on_document, group_listener on_group,
                             disk_listener on_disk) {
    on_document_ = std::move(on_document);
    on_group_ = std::move(on_group);
    on_disk_ = std::move(on_disk);
}

std::vector<instance_id> control_service::other_replicas() const {
    auto list = options_.replicas;
    if (options_.open_group && replica_) {
        const auto members = current_group(*replica_);
        for (const auto* ids : {&members.voters, &members.learners}) {
            for (const auto id : *ids) {
                list.push_back(consensus::instance_of(id));
            }
        }
    }
    std::sort(list.begin(), list.end());
    list.erase(std::unique(list.begin(), list.end()), list.end());
    std::erase(list, options_.self);
    return list;
}

std::string control_service::init_founders(bool is_founder) {
    // The settings may name other instances at a later start, so the founders are stored on disk.
    const auto path = options_.data_folder + "/founders";
    std::string error;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            if (is_founder) {
                founders_ = options_.replicas;
                founders_.push_back(options_.self);
                std::sort(founders_.begin(), founders_.end());
                json list = json::array();
                for (const auto id : founders_) {
                    list.push_back(id.value);
                }
                return storage::replace_file(path, list.dump());
            }
            BOOST_LEAF_AUTO(text, storage::read_file(path));
            const auto list = json::parse(text, nullptr, false);
            if (list.is_array()) {
                for (const auto& id : list) {
                    founders_.push_back({id.get<std::uint32_t>()});
                }
            }
            return {};
        },
        [&](const storage::file_error& failure) { error = describe(failure); },
        [&] { error = "the disk can't be used"; });
    return error;
}

void control_service::propose_member(std::string_view event, consensus::replica_id member,
                                     consensus::group next) {
    telemetry::write(
        telemetry::log_line(event)
            .add("instance", settings::instance_address(consensus::instance_of(member)))
            .add("voters", static_cast<std::int64_t>(next.voters.size()))
            .add("learners", static_cast<std::int64_t>(next.learners.size())));
    step(consensus::propose_group{.token = ++next_token_, .next = std::move(next)});
}

void control_service::change_group() {
    if (!replica_ || failed_) {
        return;
    }
    const auto time = now_with_suspension();
    control::update_term(group_changes_, *replica_, time);
    promote_learner(time);
    remove_absent_member(time);
}

void control_service::promote_learner(time_point time) {
    auto promotion =
        control::next_promotion(group_changes_, *replica_, options_.group_changes, time);
    if (promotion) {
        control::record_promotion(group_changes_, time);
        propose_member("control_promotes", promotion->member, std::move(promotion->next));
    }
}

void control_service::remove_absent_member(time_point time) {
    if (!options_.open_group || !replica_ || failed_) {
        return; // the disk may have failed with the promotion
    }
    auto removal = control::next_removal(group_changes_, *replica_, options_.group_changes, time);
    log_removal_state(removal);
    if (!removal.next) {
        return;
    }
    control::record_removal(group_changes_, removal, time);
    propose_member("control_removes_absent", *removal.member, std::move(*removal.next));
}

void control_service::log_removal_state(const control::removal& removal) {
    if (removal.state == reported_removal_.state && removal.member == reported_removal_.member) {
        return;
    }
    reported_removal_ = removal;
    auto line = telemetry::log_line("control_removal");
    line.add("state", control::to_string(removal.state));
    if (removal.member) {
        line.add("instance", settings::instance_address(consensus::instance_of(*removal.member)))
            .add("absent_ms", to_milliseconds(removal.absent_for));
    }
    telemetry::write(line);
}

json control_service::describe_members() const {
    json list = json::array();
    const auto contacts = control::contacts_of(group_changes_, *replica_, now_with_suspension());
    for (const auto& contact : contacts) {
        const auto address = settings::instance_address(consensus::instance_of(contact.id));
        list.push_back({{"instance", address},
                        {"is_voter", contact.is_voter},
                        {"last_contact_ms", to_milliseconds(contact.age)}});
    }
    return list;
}

time_point control_service::lead_lease_end() const {
    return lead_lease_end_.load();
}

duration control_service::lead_lease_length() const {
    return options_.consensus.election_min;
}

void control_service::notify_group_change() {
    const auto lease_end =
        replica_ && !failed_ ? consensus::lead_lease_end(*replica_) : std::nullopt;
    lead_lease_end_.store(lease_end.value_or(time_point::min()));
    if (!on_group_ || !replica_) {
        return;
    }
    group_view view;
    const auto voters = current_group(*replica_).voters;
    view.voters = voters.size();
    if (replica_->current == consensus::role::leader) {
        const auto contacts =
            control::contacts_of(group_changes_, *replica_, now_with_suspension());
        view.absent = static_cast<std::size_t>(
            std::count_if(contacts.begin(), contacts.end(), [&](const auto& contact) {
                return contact.age > options_.group_changes.max_contact_age;
            }));
    }
    view.runs = !failed_;
    view.is_voter = std::find(voters.begin(), voters.end(), replica_->self) != voters.end();
    view.leads = view.runs && replica_->current == consensus::role::leader;
    view.is_current = view.leads && consensus::has_committed_in_term(*replica_);
    if (view.leads) {
        view.leader = options_.self;
    } else if (replica_->leader) {
        view.leader = consensus::instance_of(*replica_->leader);
    }
    view.term = replica_->term;
    view.members = other_replicas();
    if (view == reported_) {
        return;
    }
    reported_ = view;
    telemetry::write(
        telemetry::log_line("control_group")
            .add("runs", view.runs ? 1 : 0)
            .add("is_voter", view.is_voter ? 1 : 0)
            .add("leads", view.leads ? 1 : 0)
            .add("is_current", view.is_current ? 1 : 0)
            .add("leader", view.leader ? settings::instance_address(*view.leader) : "none")
            .add("term", static_cast<std::int64_t>(view.term.value))
            .add("others", static_cast<std::int64_t>(view.members.size()))
            .add("voters", static_cast<std::int64_t>(view.voters))
            .add("absent", static_cast<std::int64_t>(view.absent)));
    on_group_(std::move(view));
}

void control_service::publish(config::document document, std::function<void(publication)> done) {
    asio::post(pool_, [self = shared_from_this(), document = std::move(document),
                       done = std::move(done)] {
        if (self->state_.published.number >= document.number) {
            // A document that was applied here is committed; only a newer one replaces it.
            done({.acknowledged = true});
            return;
        }
        submission pending{.bytes = control::encode(control::command{document})};
        pending.done = [done](const std::optional<std::string>& reply, const submission& ended) {
            done({.acknowledged = reply.has_value(),
                  .attempts = ended.attempts,
                  .through = ended.through});
        };
        self->submit_to_leader(std::move(pending));
    });
}

void control_service::read_locally(std::function<void(std::optional<config::document>)> done) {
    if (!replica_ || failed_ || replica_->current != consensus::role::leader) {
        done(std::nullopt);
        return;
    }
    const auto token = ++next_token_;
    reads_.emplace(token, std::move(done));
    step(consensus::read_request{.token = token});
}

void control_service::on_read_ready(const consensus::read_ready& ready) {
    const auto found = reads_.find(ready.token);
    if (found == reads_.end()) {
        return;
    }
    const auto done = std::move(found->second);
    reads_.erase(found);
    const auto is_applied = ready.index && applied_ >= *ready.index;
    done(is_applied ? std::optional{state_.published} : std::nullopt);
}

void control_service::read_published(std::function<void(std::optional<config::document>)> done) {
    asio::post(pool_, [self = shared_from_this(), done = std::move(done)] {
        const auto leader = self->replica_ && self->replica_->leader
                                ? std::optional{consensus::instance_of(*self->replica_->leader)}
                                : std::nullopt;
        if (!leader || *leader == self->options_.self) {
            self->read_locally(done);
            return;
        }
        self->node_.ask(*leader, wire::topic::published, "",
                        [done](std::optional<wire::answer> answer) {
                            if (!answer || !answer->known) {
                                done(std::nullopt);
                                return;
                            }
                            done(decode_document(answer->payload));
                        });
    });
}

} // namespace tarragonspar::runtime
