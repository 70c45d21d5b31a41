#include "tarragonspar/gateway/control_link.hpp"

#include <algorithm>
#include <iterator>

#include <boost/asio/post.hpp>

#include "tarragonspar/gateway/plumbing.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;
using runtime::now;
using runtime::now_with_suspension;

namespace {

/// Interval between two reports. A published document is in force everywhere one interval and one
/// round trip after it was accepted, well within the two seconds that users allow.
constexpr auto report_interval = std::chrono::milliseconds{150};
/// Interval between two reports in a large deployment: the leader spends a few percent of its time
/// on them.
constexpr auto large_deployment_report_interval = std::chrono::milliseconds{300};
constexpr std::uint32_t large_deployment_size = 24;
/// Interval while no leader is known: short, since the grants of the local scheduler are worse.
constexpr auto search_interval = std::chrono::milliseconds{100};
/// Number of intervals without an answer after which the leader counts as lost: requests that wait
/// for its grants would soon miss their latency objective.
constexpr int lost_after_intervals = 3;
/// Other entry instances choose at the same time without coordination. Raising predicted times at
/// random to up to twice their value spreads the instances over servers that differ by less than
/// that.
constexpr double local_choice_noise = 1.0;
/// Share of each server's slots that all entry instances together may fill while each grants for
/// itself. It is above 1, since they choose without coordination. The total over all servers is
/// bounded as well: overloaded engines queue in order of arrival and stay late for seconds after a
/// leader is found.
constexpr double local_server_slots = 2.0;
/// Age of the list of servers from which on this instance reads it from the platform.
constexpr duration max_list_age = std::chrono::milliseconds{1'500};
/// Largest number of stored peers: enough that some are reachable after a network partition or
/// while many restart.
constexpr std::size_t max_peers = 12;
/// Number of peers named in an answer to another entry instance.
constexpr std::size_t peers_per_update = 3;
/// Interval between two log lines about reports without an answer: without a leader ten are sent a
/// second.
constexpr duration failure_log_interval = std::chrono::seconds{1};
/// Time since the last contact with a leader up to which it is named to other entry instances.
constexpr duration max_leader_age = std::chrono::milliseconds{450};

std::optional<control_update> read_update(const std::optional<wire::answer>& answer,
                                          config::document_number reported) {
    return answer && answer->known ? unpack_control_update(answer->payload, reported)
                                   : std::optional<control_update>{};
}

} // namespace

control_link::control_link(asio::io_context& context, instance_id self, wire::node& node,
                           std::vector<instance_id> contacts, duration quota_window,
                           callbacks handlers)
    : context_(context), self_(self), node_(node), quota_window_(quota_window),
      callbacks_(std::move(handlers)), timer_(context), contacts_(std::move(contacts)),
      random_(std::random_device{}()),
      local_scheduler_(std::make_shared<grant_service>(context, local_choice_noise)) {
    documents_.started = now_with_suspension();
    list_.read = now(); // gives a leader some time to send a list before this instance reads it
    next_contact_ = contacts_.empty() ? 0 : self_.value % contacts_.size();
}

void control_link::start() {
    choose_target(std::nullopt);
    report();
}

void control_link::stop() {
    stopped_ = true;
    timer_.cancel();
}

void control_link::add_contacts(const std::vector<instance_id>& contacts) {
    for (const auto id : contacts) {
        if (std::find(contacts_.begin(), contacts_.end(), id) == contacts_.end()) {
            contacts_.push_back(id);
        }
    }
}

void control_link::choose_target(std::optional<instance_id> leader) {
    if (leader) {
        target_ = leader;
    } else if (!contacts_.empty()) {
        next_contact_ = (next_contact_ + 1) % contacts_.size();
        target_ = contacts_[next_contact_];
    }
}

void control_link::report() {
    if (stopped_) {
        return;
    }
    const auto interval = entry_instances_ > large_deployment_size
                              ? large_deployment_report_interval
                              : report_interval;
    if (scheduler_ && now() - scheduler_last_seen_ > lost_after_intervals * interval) {
        set_scheduler(std::nullopt);
    }
    check_document();
    callbacks_.on_list_wanted(now() - list_.read > max_list_age);
    if (!scheduler_) {
        query_peer();
    }
    timer_.expires_after(scheduler_ ? interval : search_interval);
    timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto held = self.lock();
        if (!error && held) {
            held->report();
        }
    });
    if (!target_) {
        return;
    }
    const auto origins = local_scheduler_->streams().own_after(streams_confirmed_, now());
    const sent_streams streams{.after = streams_confirmed_, .last = origins.last};
    const entry_report message{.open = callbacks_.open_requests(),
                               .document = config::newest_held(documents_),
                               .servers_fingerprint = list_.fingerprint,
                               .servers_age = now() - list_.read,
                               .entry_instances = entry_instances_,
                               .packed_suspicions = pack(local_scheduler_->suspicions(), now()),
                               .packed_limits = pack(local_scheduler_->limits(true), now()),
                               .packed_streams = pack(origins.list, now())};
    node_.ask(*target_, wire::topic::entry_report, pack(message, now()),
              [self = shared_from_this(), from = *target_, reported = message.document, streams,
               requested = now_with_suspension()](std::optional<wire::answer> answer) {
                  asio::post(self->context_, [self, from, reported, streams, requested,
                                              answer = std::move(answer)] {
                      self->on_control_update(from, requested, streams,
                                              read_update(answer, reported));
                  });
              });
}

// --- the document in force ---

bool control_link::is_document_confirmed() const {
    return config::is_confirmed(documents_, now_with_suspension());
}

void control_link::check_document() {
    if (const auto due = config::due_candidate(documents_, now_with_suspension())) {
        documents_.candidate = {};
        callbacks_.on_document(*due, {.from = candidate_from_});
    }
    const auto confirmed = is_document_confirmed();
    if (confirmed == reported_confirmed_) {
        return;
    }
    reported_confirmed_ = confirmed;
    telemetry::write(
        telemetry::log_line(confirmed ? "document_confirmed" : "document_unconfirmed")
            .add("number", static_cast<std::int64_t>(documents_.in_force.number.value)));
    callbacks_.on_confirmation(confirmed);
}

void control_link::handle_documents(instance_id from, const config::document_update& documents) {
    const auto next = config::receive(documents_, documents, now_with_suspension());
    if (next) {
        // Of the control instances, only a leader states what is newest.
        const auto leads = documents.source == config::document_source::control_instance &&
                           documents.newest.has_value() && newest_stated_by_ == from;
        callbacks_.on_document(*next, {.from = from, .leads = leads});
    } else if (documents.content && documents.content->number == documents_.candidate.number) {
        candidate_from_ = from;
    }
    config::confirm(documents_, documents);
    check_document();
}

void control_link::fetch_document(instance_id from, config::document_source source,
                                  config::document_number offered) {
    const auto request = document_receiver_.begin(offered, config::newest_held(documents_));
    if (request) {
        ask_document_part(from, source, *request);
    }
}

void control_link::ask_document_part(instance_id from, config::document_source source,
                                     const config::document_part_request& request) {
    node_.ask(from, wire::topic::document_part, pack(request),
              [self = shared_from_this(), from, source](std::optional<wire::answer> answer) {
                  asio::post(self->context_, [self, from, source, answer = std::move(answer)] {
                      self->on_document_part(from, source,
                                             answer && answer->known
                                                 ? unpack_document_part(answer->payload)
                                                 : std::optional<config::document_part>{});
                  });
              });
}

void control_link::on_document_part(instance_id from, config::document_source source,
                                    std::optional<config::document_part> part) {
    if (const auto next = document_receiver_.receive(std::move(part))) {
        ask_document_part(from, source, *next);
        return;
    }
    const auto packed = document_receiver_.take_complete();
    if (!packed) {
        return; // the next report finds who holds it
    }
    auto content = config::unpack(*packed);
    if (!content) {
        telemetry::write(telemetry::log_line("document_unreadable")
                             .add("number", static_cast<std::int64_t>(packed->number.value))
                             .add("why", "its compressed form is damaged"));
        return;
    }
    handle_documents(from, {.content = std::move(content),
                            .newest = newest_stated_,
                            .source = source,
                            .requested = newest_requested_});
}

// --- other entry instances, while there is no leader ---

void control_link::add_peer(instance_id peer) {
    if (peer == self_ || std::find(peers_.begin(), peers_.end(), peer) != peers_.end()) {
        return;
    }
    if (peers_.size() < max_peers) {
        peers_.push_back(peer);
    } else {
        peers_[random_() % peers_.size()] = peer;
    }
}

void control_link::query_peer() {
    if (peers_.empty()) {
        return;
    }
    const auto peer = peers_[random_() % peers_.size()];
    const entry_report message{.open = {.dispatcher = self_},
                               .document = config::newest_held(documents_),
                               .servers_fingerprint = list_.fingerprint,
                               .servers_age = now() - list_.read,
                               .entry_instances = entry_instances_,
                               .packed_suspicions = pack(local_scheduler_->suspicions(), now())};
    node_.ask(peer, wire::topic::entry_report, pack(message, now()),
              [self = shared_from_this(), peer, reported = message.document,
               requested = now_with_suspension()](std::optional<wire::answer> answer) {
                  asio::post(self->context_,
                             [self, peer, reported, requested, answer = std::move(answer)] {
                                 if (const auto update = read_update(answer, reported)) {
                                     self->on_peer_update(peer, requested, *update);
                                 }
                             });
              });
}

std::optional<control_update> control_link::answer_peer(instance_id from,
                                                        const std::string& report) {
    const auto request = unpack_report(report, now());
    if (!request) {
        return std::nullopt;
    }
    // The sender may have restarted and know no peers; it becomes a peer of this instance.
    add_peer(request->open.dispatcher);
    if (const auto told = unpack_suspicions(request->packed_suspicions, now())) {
        local_scheduler_->record(*told);
    }
    control_update update;
    if (scheduler_ && now() - scheduler_last_seen_ < max_leader_age) {
        update.leader = scheduler_;
    }
    update.members = contacts_;
    update.entry_instances = entry_instances_;
    update.held_document = documents_.in_force.number;
    if (!request->reads_document_parts && documents_.in_force.number > request->document) {
        update.document = documents_.in_force;
    }
    update.newest = config::newest_known(documents_, now_with_suspension());
    add_server_list(list_, *request, now(), update);
    update.packed_suspicions = pack(local_scheduler_->suspicions(), now());
    std::sample(peers_.begin(), peers_.end(), std::back_inserter(update.peers), peers_per_update,
                random_);
    std::erase(update.peers, from);
    return update;
}

std::optional<config::document_part>
control_link::answer_document_part(const std::string& request) {
    const auto asked = unpack_document_part_request(request);
    return asked ? document_sender_.part(*asked, now()) : std::optional<config::document_part>{};
}

void control_link::on_peer_update(instance_id peer, time_point requested,
                                  const control_update& update) {
    apply_update(peer,
                 {.content = update.document,
                  .newest = update.newest,
                  .source = config::document_source::entry_instance,
                  .requested = requested},
                 update);
    if (entry_instances_ == 1 && update.entry_instances > 1) {
        entry_instances_ = update.entry_instances;
        callbacks_.on_deployment_size(entry_instances_);
        update_local_shares();
    }
    if (!scheduler_ && update.leader) {
        target_ = update.leader;
    }
}

void control_link::apply_update(instance_id from, config::document_update documents,
                                const control_update& update) {
    add_contacts(update.members);
    for (const auto peer : update.peers) {
        add_peer(peer);
    }
    if (documents.newest) {
        newest_stated_ = documents.newest;
        newest_stated_by_ = from;
        newest_requested_ = documents.requested;
    }
    handle_documents(from, documents);
    fetch_document(from, documents.source, update.held_document);
    if (const auto told = unpack_suspicions(update.packed_suspicions, now())) {
        local_scheduler_->record(*told);
    }
    if (const auto told = unpack_limits(update.packed_limits, now())) {
        local_scheduler_->record(*told);
    }
    if (auto servers = servers_in(update)) {
        set_servers(std::move(*servers), update.servers_age);
    } else if (list_.fingerprint != 0 && update.servers_fingerprint == list_.fingerprint) {
        list_.read = std::max(list_.read, now() - update.servers_age);
    }
}

void control_link::on_control_update(instance_id from, time_point requested,
                                     const sent_streams& streams,
                                     const std::optional<control_update>& update) {
    if (!update) {
        if (now() - failure_logged_ >= failure_log_interval) {
            failure_logged_ = now();
            telemetry::write(
                telemetry::log_line("report_failed")
                    .add("instance", settings::instance_address(from))
                    .add("after_ms", to_milliseconds(now_with_suspension() - requested)));
        }
        if (target_ == from && scheduler_ != from) {
            choose_target(std::nullopt);
        }
        return;
    }
    if (update->schedules && update->entry_instances != entry_instances_ &&
        update->entry_instances > 0) {
        entry_instances_ = update->entry_instances;
        callbacks_.on_deployment_size(entry_instances_);
        update_local_shares();
    }
    apply_update(from,
                 {.content = update->document,
                  .newest = update->newest,
                  .source = config::document_source::control_instance,
                  .requested = requested},
                 *update);
    if (update->schedules) {
        scheduler_last_seen_ = now();
        set_scheduler(from);
        target_ = from;
        if (streams.after <= streams_confirmed_) {
            streams_confirmed_ = std::max(streams_confirmed_, streams.last);
        }
        return;
    }
    if (scheduler_ == from) {
        set_scheduler(std::nullopt);
    }
    if (target_ == from) {
        const auto has_other_leader = update->leader && *update->leader != from;
        choose_target(has_other_leader ? update->leader : std::optional<instance_id>{});
    }
}

void control_link::set_scheduler(std::optional<instance_id> scheduler) {
    if (scheduler == scheduler_) {
        return;
    }
    scheduler_ = scheduler;
    streams_confirmed_ = 0;
    telemetry::write(
        telemetry::log_line(scheduler ? "scheduler_found" : "scheduler_lost")
            .add("scheduler", scheduler ? settings::instance_address(*scheduler) : "own")
            .add("entry_instances", static_cast<std::int64_t>(entry_instances_)));
    if (!scheduler) {
        choose_target(std::nullopt);
        local_scheduler_->resume_quotas(callbacks_.used(), quota_window_);
    }
    // With a scheduler, pending requests belong in its single queue over all servers. Without one,
    // only the local scheduler answers them.
    retry_pending_grants();
}

void control_link::retry_pending_grants() {
    for (auto& [id, pending] : pending_grants_) {
        // The query gets its new number first, so that the result of the old query is ignored.
        send_grant_request(pending);
        local_scheduler_->record({.id = id, .kind = dispatch::grant_update::stage::withdrawn});
    }
}

void control_link::ask(const work_item& work, dispatch::previous_grant previous,
                       dispatch::server_fate fate, grant_service::reply answer) {
    if (previous != dispatch::previous_grant::none) {
        local_scheduler_->record({.id = work.id,
                                  .kind = dispatch::grant_update::stage::failed,
                                  .server_fault = true,
                                  .server_lost = previous == dispatch::previous_grant::server_lost,
                                  .fate = fate});
    }
    auto& pending = pending_grants_[work.id];
    pending = {.work = work, .previous = previous, .fate = fate, .answer = std::move(answer)};
    send_grant_request(pending);
}

void control_link::send_grant_request(pending_grant& pending) {
    pending.query_number = ++last_query_;
    // Posted, since the local scheduler may answer at once, which erases the pending grant.
    asio::post(context_, [self = shared_from_this(), id = pending.work.id,
                          query_number = last_query_] {
        const auto found = self->pending_grants_.find(id);
        if (found == self->pending_grants_.end() || found->second.query_number != query_number) {
            return;
        }
        const auto copy = found->second;
        if (const auto quarantine = self->local_scheduler_->find_quarantine(copy.work);
            quarantine && quarantine->verdict == dispatch::prompt_verdict::quarantined) {
            self->refuse_quarantined(copy, *quarantine);
        } else if (self->scheduler_) {
            self->query_scheduler(copy);
        } else {
            self->query_local_scheduler(copy);
        }
    });
}

void control_link::refuse_quarantined(const pending_grant& pending,
                                      const dispatch::prompt_judgement& quarantine) {
    local_scheduler_->record_refusal(quarantine.part);
    if (pending.previous == dispatch::previous_grant::unused && scheduler_) {
        // Nothing was sent, so the server has no part in it.
        node_.ask(*scheduler_, wire::topic::grant_update,
                  pack(dispatch::grant_update{.id = pending.work.id,
                                              .kind = dispatch::grant_update::stage::withdrawn}),
                  [](std::optional<wire::answer>) {});
    } else if (pending.previous != dispatch::previous_grant::none && scheduler_) {
        // The scheduler learns of the lost server although it isn't asked again.
        node_.ask(*scheduler_, wire::topic::grant_update,
                  pack(dispatch::grant_update{.id = pending.work.id,
                                              .kind = dispatch::grant_update::stage::failed,
                                              .server_fault = true,
                                              .server_lost = pending.previous ==
                                                             dispatch::previous_grant::server_lost,
                                              .fate = pending.fate}),
                  [](std::optional<wire::answer>) {});
    }
    handle_grant_result(
        pending.work.id, pending.query_number,
        dispatch::refusal{.why = reason::quarantined, .retry_after = quarantine.until - now()});
}

void control_link::query_scheduler(const pending_grant& pending) {
    const auto target = *scheduler_;
    node_.ask(target, wire::topic::grant,
              pack(grant_request{.work = pending.work,
                                 .previous = pending.previous,
                                 .notice = pending.notice,
                                 .fate = pending.fate},
                   now()),
              [self = shared_from_this(), id = pending.work.id, number = pending.query_number,
               target](std::optional<wire::answer> reply) {
                  asio::post(self->context_, [self, id, number, target, reply] {
                      const auto result = reply && reply->known
                                              ? unpack_grant_result(reply->payload)
                                              : std::optional<dispatch::grant_result>{};
                      if (!result && self->scheduler_ == target) {
                          self->set_scheduler(std::nullopt);
                          return; // this has retried all pending grants
                      }
                      self->handle_remote_result(id, number, result);
                  });
              });
}

void control_link::handle_remote_result(const request_id& id, std::uint64_t query_number,
                                        const std::optional<dispatch::grant_result>& result) {
    const auto found = pending_grants_.find(id);
    const auto* given = result ? std::get_if<dispatch::grant>(&*result) : nullptr;
    if (given != nullptr && found != pending_grants_.end() &&
        found->second.query_number == query_number) {
        if (const auto notice = local_scheduler_->find_notice(given->server, self_)) {
            return_grant(found->second, *given, *notice);
            return;
        }
        local_scheduler_->record_external_grant(found->second.work, given->server);
    }
    handle_grant_result(id, query_number, result);
}

void control_link::return_grant(pending_grant& pending, const dispatch::grant& given,
                                const dispatch::server_notice& notice) {
    telemetry::write(telemetry::log_line("grant_returned")
                         .add("request", static_cast<std::int64_t>(pending.work.id.sequence))
                         .add("server", given.server_name)
                         .add("cause", notice.backoff ? "server_pauses" : "server_leaves"));
    pending.previous = dispatch::previous_grant::unused;
    pending.notice = notice;
    send_grant_request(pending);
}

void control_link::record(const dispatch::server_notice& notice) {
    const auto is_new = local_scheduler_->record(notice);
    if (!is_new) {
        return;
    }
    telemetry::write(telemetry::log_line("server_notice")
                         .add("server", static_cast<std::int64_t>(notice.server.value))
                         .add("pause_ms", notice.backoff ? to_milliseconds(*notice.backoff) : -1));
    if (scheduler_) {
        // If the message is lost, a later grant request carries the notice again.
        node_.ask(*scheduler_, wire::topic::server_notice, pack(notice),
                  [](std::optional<wire::answer>) {});
    }
}

void control_link::record_limit(server_id server, std::optional<double> per_second,
                                time_point sent) {
    if (!local_scheduler_->record_limit(server, per_second, sent) || !scheduler_) {
        return; // reports repeat what servers said
    }
    const std::vector<dispatch::limit_statement> told{
        {.server = server, .per_second = per_second, .at = now()}};
    node_.ask(*scheduler_, wire::topic::server_limit, pack(told, now()),
              [](std::optional<wire::answer>) {});
}

std::optional<software_id> control_link::find_stream(std::uint64_t stream) const {
    return local_scheduler_->streams().find(stream, now());
}

bool control_link::has_several_versions(model_id service) const {
    return local_scheduler_->streams().has_several(service, now());
}

std::optional<software_id> control_link::find_software(server_id server) const {
    const auto found = std::find_if(list_.servers.begin(), list_.servers.end(),
                                    [&](const auto& item) { return item.id == server; });
    return found == list_.servers.end() ? std::nullopt : std::optional{config::software_of(*found)};
}

void control_link::query_local_scheduler(const pending_grant& pending) {
    local_scheduler_->ask(pending.work, pending.previous, pending.fate,
                          [self = shared_from_this(), id = pending.work.id,
                           number = pending.query_number](const dispatch::grant_result& result) {
                              self->handle_grant_result(id, number, result);
                          });
}

void control_link::handle_grant_result(const request_id& id, std::uint64_t query_number,
                                       std::optional<dispatch::grant_result> result) {
    const auto found = pending_grants_.find(id);
    if (found == pending_grants_.end() || found->second.query_number != query_number) {
        return; // a late grant is missing from the next reports, and so the scheduler releases it
    }
    if (!result) {
        send_grant_request(found->second);
        return;
    }
    const auto answer = std::move(found->second.answer);
    pending_grants_.erase(found);
    answer(std::move(*result));
}

void control_link::record(const dispatch::grant_update& update) {
    pending_grants_.erase(update.id);
    local_scheduler_->record(update);
    if (scheduler_) {
        node_.ask(*scheduler_, wire::topic::grant_update, pack(update),
                  [](std::optional<wire::answer>) {});
    }
}

void control_link::set_document(const config::document& in_force,
                                const config::catalogue& content) {
    config::set_in_force(documents_, in_force);
    document_sender_.set_newest(in_force);
    // An equal share, which the leader reserves for instances that it has no contact with.
    local_scheduler_->set_quotas(content, {}, 1.0 / std::max(1U, entry_instances_));
}

void control_link::set_servers(std::vector<config::server> servers, duration age) {
    const auto read = now() - age;
    if (list_.fingerprint != 0 && read < list_.read) {
        return; // a former leader may still send its old list
    }
    auto fresh = make_server_list(std::move(servers), read);
    list_.read = read;
    if (fresh.fingerprint == list_.fingerprint) {
        return;
    }
    log_server_changes(list_.servers, fresh.servers);
    list_ = std::move(fresh);
    update_local_shares();
    callbacks_.on_servers();
}

void control_link::update_local_shares() {
    const auto instances = static_cast<double>(std::max(1U, entry_instances_));
    local_scheduler_->set_shares(1.0 / instances, std::min(1.0, local_server_slots / instances));
    local_scheduler_->set_servers(list_.servers);
}

} // namespace tarragonspar::gateway
