#include "tarragonspar/gateway/control_instance.hpp"

#include <algorithm>
#include <iterator>

#include <boost/asio/post.hpp>

#include "tarragonspar/gateway/plumbing.hpp"
#include "tarragonspar/gateway/reports.hpp"
#include "tarragonspar/runtime/await_reply.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;
using runtime::now;

namespace {

/// Time for which a new leader collects reports of running requests before it grants any.
constexpr duration takeover_min_wait = std::chrono::milliseconds{250};
/// Longest time for which a new leader waits for more dispatchers: the slots of those that have not
/// reported would be granted a second time. Dispatchers that are partitioned off can't report, and
/// waiting requests should not wait for them.
constexpr duration takeover_timeout = std::chrono::milliseconds{600};
/// Share of the expected dispatchers that is enough.
constexpr double min_reporting_share = 0.8;
/// Time for which the expected number is used as the deployment's size: dispatchers that were
/// frozen or partitioned off return or are replaced within it.
constexpr duration expected_count_lifetime = std::chrono::seconds{5};
/// Number of peers named in each answer to an entry instance: enough for it to know a dozen of them
/// after a second.
constexpr std::size_t peers_per_update = 3;

} // namespace

control_instance::control_instance(settings::instance_settings settings,
                                   std::unique_ptr<const dialect> protocol)
    : settings_(fit_to_machine(std::move(settings))), protocol_(std::move(protocol)), context_(1),
      work_guard_(asio::make_work_guard(context_)),
      guard_(make_caller_guard(context_, settings_.limits, caller_log_, metrics_)),
      lease_timer_(context_), random_(std::random_device{}()) {
    auto wire_options = make_node_options(settings_);
    wire_options.on_refused = [this] { caller_log_.refused("instance_connections"); };
    node_ =
        std::make_unique<wire::node>(std::move(wire_options), static_cast<wire::handler&>(*this));
    runtime::control_options options;
    options.self = settings_.id;
    options.replica = true;
    options.open_group = true;
    options.data_folder = settings_.data_folder;
    for (const auto id : founders_of(settings_)) {
        if (id == settings_.id) {
            options.may_found = settings_.deployment.first_start;
        } else {
            options.replicas.push_back(id);
        }
    }
    control_ = std::make_shared<runtime::control_service>(
        std::move(options), *node_, [](std::shared_ptr<const config::state>) {});
    control_->listen(
        [this](config::document newest) {
            asio::post(context_, [this, newest = std::move(newest)] { on_document(newest); });
        },
        [this](runtime::control_service::group_view group) {
            asio::post(context_, [this, group = std::move(group)] { on_group(group); });
        },
        [this](duration taken) { metrics_.record_disk_write(taken); });
    grant_service_ = std::make_shared<grant_service>(context_);
    directory_options list;
    list.list = settings_.deployment.server_list;
    list.calls_per_second = settings_.deployment.server_list_rate;
    directory_ = std::make_shared<server_directory>(
        context_, list, *protocol_,
        [this](std::vector<config::server> servers) { on_servers(std::move(servers)); });
}

control_instance::~control_instance() {
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
    control_->stop();
    node_->stop();
}

std::string control_instance::start() {
    if (auto error = node_->start(); !error.empty()) {
        return "cannot listen for other instances: " + error;
    }
    try {
        http::server_options options;
        options.listen = settings_.http;
        options.limits = settings_.limits;
        options.guard = guard_;
        options.check_head = [this](const http::request_message& head) { return check_head(head); };
        server_ = std::make_shared<http::server>(
            context_, options, [this](http::exchange& with) { return handle(with); });
        metrics_server_ = make_metrics_server(
            context_, settings_, metrics_,
            {.quarantines = [this] { return grant_service_->quarantines(); },
             .lift_quarantine =
                 [this](std::uint64_t part) { return grant_service_->lift_quarantine(part); }},
            guard_);
    } catch (const std::exception& error) {
        return std::string("cannot listen for HTTP: ") + error.what();
    }
    if (auto error = control_->start(); !error.empty()) {
        return "cannot use the data folder: " + error;
    }
    server_->start();
    if (metrics_server_) {
        metrics_server_->start();
    }
    thread_ = std::thread([this] { run_guarded(context_); });
    log_start(settings_, "control");
    return {};
}

void control_instance::shut_down() {
    telemetry::write(telemetry::log_line("stopping").add("role", "control"));
    asio::post(context_, [this] {
        shutting_down_ = true;
        directory_->stop();
        grant_service_->clear_pending();
    });
    server_->close_idle();
    server_->stop_accepting();
    // Answers that are complete are still sent; operators retry the other calls at another
    // instance.
    constexpr auto final_answer_time = std::chrono::milliseconds{150};
    std::this_thread::sleep_for(final_answer_time);
    telemetry::write(telemetry::log_line("stopped").add("role", "control"));
}

void control_instance::reload(const settings::instance_settings& fresh) {
    telemetry::set_log_level(fresh.log.level);
    telemetry::write(telemetry::log_line("reloaded").add("level", fresh.log.level));
}

// --- updates of the group, the document and the servers ---

void control_instance::on_document(config::document newest) {
    if (newest.number <= newest_.number) {
        return; // a replica that replays its log reports older documents
    }
    const auto read = protocol_->read_catalogue(newest.content);
    newest_ = std::move(newest);
    document_sender_.set_newest(newest_);
    catalogue_ = read.value;
    grant_service_->set_quotas(catalogue_, tolerance_of(settings_), quota_share_);
    metrics_.set_revision(newest_.number.value);
}

void control_instance::on_group(runtime::control_service::group_view group) {
    const auto led_before = group_.leads;
    group_ = std::move(group);
    metrics_.set_control_replica(group_.runs, group_.is_voter, group_.leads);
    metrics_.set_control_members(group_.voters, group_.absent);
    if (group_.leads && !led_before) {
        list_ = {};
        lost_lease_at_ = {};
    }
    watch_lead();
    directory_->set_wanted(group_.leads && !shutting_down_);
}

void control_instance::on_servers(std::vector<config::server> servers) {
    auto fresh = make_server_list(std::move(servers), now());
    list_.read = fresh.read;
    if (fresh.fingerprint == list_.fingerprint) {
        return;
    }
    log_server_changes(list_.servers, fresh.servers);
    list_ = std::move(fresh);
    grant_service_->set_servers(list_.servers);
}

void control_instance::update_quota_share() {
    const auto share = grant_service_->live_dispatcher_share();
    if (share == quota_share_) {
        return;
    }
    quota_share_ = share;
    grant_service_->set_request_limit_share(share);
    grant_service_->set_quotas(catalogue_, tolerance_of(settings_), share);
    constexpr double per_cent = 100.0;
    telemetry::write(telemetry::log_line("quota_share")
                         .add("per_cent", static_cast<std::int64_t>(share * per_cent)));
}

void control_instance::start_scheduling_if_ready() {
    const auto leading_for = now() - leads_since_;
    if (schedules_ || !leads_ || list_.fingerprint == 0 || leading_for <= takeover_min_wait) {
        return;
    }
    const auto reporting = static_cast<double>(grant_service_->dispatchers().size());
    if (reporting < min_reporting_share * expected_dispatchers_ &&
        leading_for <= takeover_timeout) {
        return;
    }
    schedules_ = true;
    grant_service_->begin_to_grant_all();
    grant_service_->resume_quotas(settings_.deployment.quota_window, expected_dispatchers_);
    telemetry::write(
        telemetry::log_line("schedules")
            .add("entry_instances", static_cast<std::int64_t>(grant_service_->dispatchers().size()))
            .add("servers", static_cast<std::int64_t>(list_.servers.size())));
}

bool control_instance::schedules() const {
    return schedules_ && holds_lead() && !shutting_down_;
}

// --- queries of other instances ---

void control_instance::answer_report(const std::string& payload,
                                     const std::function<void(wire::answer)>& reply) {
    const auto report = unpack_report(payload, now());
    if (!report) {
        reply({});
        return;
    }
    update_lead();
    if (leads_) {
        grant_service_->reconcile(report->open);
        if (const auto told = unpack_suspicions(report->packed_suspicions, now())) {
            grant_service_->record(*told);
        }
        if (const auto told = unpack_limits(report->packed_limits, now())) {
            grant_service_->record(*told);
        }
        if (const auto told = unpack_streams(report->packed_streams, now())) {
            grant_service_->record(*told);
        }
        expected_dispatchers_ = std::max(expected_dispatchers_, report->entry_instances);
        start_scheduling_if_ready();
        update_quota_share();
        metrics_.set_queued(grant_service_->queued());
        metrics_.set_quarantined_parts(grant_service_->quarantined_parts());
    }
    control_update update;
    update.schedules = schedules();
    // Without the lease another instance may lead, which this one has not heard of.
    update.leader = group_.leads && !leads_ ? std::nullopt : group_.leader;
    update.members = group_.members;
    update.members.push_back(settings_.id);
    const auto dispatchers = grant_service_->dispatchers();
    update.entry_instances = static_cast<std::uint32_t>(dispatchers.size());
    if (leads_ && now() - leads_since_ < expected_count_lifetime) {
        update.entry_instances = std::max(update.entry_instances, expected_dispatchers_);
    }
    std::sample(dispatchers.begin(), dispatchers.end(), std::back_inserter(update.peers),
                peers_per_update, random_);
    update.held_document = newest_.number;
    if (!report->reads_document_parts && newest_.number > report->document) {
        update.document = newest_;
        count_document(newest_.content.size());
    }
    if (leads_) {
        update.newest = config::newest_document{.number = newest_.number};
        update.packed_suspicions = pack(grant_service_->suspicions(), now());
        update.packed_limits = pack(grant_service_->limits(false), now());
    }
    add_server_list(list_, *report, now(), update);
    reply({.known = true, .payload = pack(update)});
}

void control_instance::answer_document_part(const std::string& payload,
                                            const std::function<void(wire::answer)>& reply) {
    const auto request = unpack_document_part_request(payload);
    const auto part =
        request ? document_sender_.part(*request, now()) : std::optional<config::document_part>{};
    if (!part) {
        reply({});
        return;
    }
    count_document(part->bytes.size());
    reply({.known = true, .payload = pack(*part)});
}

void control_instance::count_document(std::size_t bytes) {
    ++load_.documents;
    load_.document_bytes += bytes;
    metrics_.count_document_bytes(bytes);
}

void control_instance::answer_grant(const std::string& payload,
                                    std::function<void(wire::answer)> reply) {
    const auto request = unpack_grant_request(payload, now());
    if (!request || !schedules()) {
        reply({});
        return;
    }
    if (request->notice) {
        handle_notice(*request->notice);
    }
    grant_service_->ask(request->work, request->previous, request->fate,
                        [this, reply = std::move(reply)](const dispatch::grant_result& result) {
                            if (!schedules()) {
                                reply({});
                                return;
                            }
                            reply({.known = true, .payload = pack(result)});
                        });
}

void control_instance::handle_notice(const dispatch::server_notice& notice) {
    if (!grant_service_->record(notice) || notice.backoff) {
        return;
    }
    telemetry::write(telemetry::log_line("server_leaves")
                         .add("server", static_cast<std::int64_t>(notice.server.value))
                         .add("told_by", settings::instance_address(notice.dispatcher)));
}

void control_instance::log_load() {
    const auto finished = take_finished_second(load_, now());
    if (!finished) {
        return;
    }
    telemetry::write(
        telemetry::log_line("control_load")
            .add("queries", static_cast<std::int64_t>(finished->queries))
            .add("longest_wait_ms", to_milliseconds(finished->longest_wait))
            .add("documents", static_cast<std::int64_t>(finished->documents))
            .add("document_bytes", static_cast<std::int64_t>(finished->document_bytes)));
}

template <class Action>
void control_instance::post_query(Action action) {
    asio::post(context_, [this, received = now(), action = std::move(action)] {
        const auto waited = now() - received;
        log_load();
        ++load_.queries;
        load_.longest_wait = std::max(load_.longest_wait, waited);
        metrics_.record_query_wait(waited);
        action();
    });
}

void control_instance::on_query(instance_id, wire::topic about, std::string payload,
                                std::function<void(wire::answer)> reply) {
    switch (about) {
    case wire::topic::entry_report:
        post_query([this, payload = std::move(payload), reply = std::move(reply)] {
            answer_report(payload, reply);
        });
        return;
    case wire::topic::grant:
        post_query([this, payload = std::move(payload), reply = std::move(reply)] {
            answer_grant(payload, reply);
        });
        return;
    case wire::topic::document_part:
        post_query([this, payload = std::move(payload), reply = std::move(reply)] {
            answer_document_part(payload, reply);
        });
        return;
    case wire::topic::grant_update:
        asio::post(context_, [this, payload = std::move(payload)] {
            if (const auto update = unpack_grant_update(payload)) {
                grant_service_->record(*update);
            }
        });
        return; // needs no answer
    case wire::topic::server_limit:
        asio::post(context_, [this, payload = std::move(payload)] {
            if (const auto told = unpack_limits(payload, now()); told && leads_) {
                grant_service_->record(*told);
            }
        });
        return; // needs no answer
    case wire::topic::server_notice:
        asio::post(context_, [this, payload = std::move(payload)] {
            if (const auto notice = unpack_notice(payload)) {
                handle_notice(*notice);
            }
        });
        return; // needs no answer
    default:
        control_->on_query(about, payload, std::move(reply));
    }
}

void control_instance::on_consensus(instance_id, std::string messages) {
    control_->on_messages(messages);
}

} // namespace tarragonspar::gateway
