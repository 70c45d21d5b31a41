#include "tarragonspar/gateway/entry_instance.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "tarragonspar/gateway/plumbing.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;
using runtime::now;

namespace {

/// Time between reporting "not ready" and refusing new connections: the platform checks once a
/// second and needs two failed checks.
constexpr auto unready_notice = std::chrono::milliseconds{2'300};
/// Time after which a shutdown accepts no further request, however long the grace period is. The
/// users' platform tolerates that the end of the process cuts requests sent up to 3 s after the
/// signal, but not later ones.
constexpr duration max_accept_time = std::chrono::milliseconds{2'800};
/// Part of the grace period that is left unused, so that the process exits before it is killed.
constexpr auto grace_margin = std::chrono::milliseconds{400};
/// Time before the end of the shutdown at which open requests get their final answer, so that no
/// connection is cut.
constexpr auto final_answer_time = std::chrono::milliseconds{300};
/// Longest time after its start for which an instance holds requests until it knows a catalogue and
/// servers. After a power loss the control group elects a leader and sends both within 0.9 s. A
/// caller that is refused instead returns after a second, past its latency objective.
constexpr auto initial_state_timeout = std::chrono::milliseconds{1'200};
/// Interval between two checks whether the last request has ended.
constexpr auto drain_poll_interval = std::chrono::milliseconds{50};

incarnation make_incarnation() {
    // Random, since the wall clock may be set back between two starts.
    std::random_device source;
    return {(std::uint64_t{source()} << 32U) | source()};
}

admission::retry_limits make_retry_limits(const settings::deployment_settings& from) {
    return {.ratio = from.retry_ratio, .slack = from.retry_slack, .window = from.retry_window};
}

} // namespace

entry_instance::entry_instance(settings::instance_settings settings,
                               std::unique_ptr<const dialect> protocol)
    : settings_(fit_to_machine(std::move(settings))), protocol_(std::move(protocol)),
      started_as_(make_incarnation()), started_at_(now()), context_(1),
      work_guard_(asio::make_work_guard(context_)), initial_state_timer_(context_),
      guard_(make_caller_guard(context_, settings_.limits, caller_log_, metrics_)),
      usage_(settings_.deployment.quota_window), random_(std::random_device{}()) {
    auto wire_options = make_node_options(settings_);
    wire_options.on_refused = [this] { caller_log_.refused("instance_connections"); };
    node_ =
        std::make_unique<wire::node>(std::move(wire_options), static_cast<wire::handler&>(*this));
    retries_.limits = make_retry_limits(settings_.deployment);
    // A large number is assumed until the control group sends the real one.
    constexpr std::uint32_t assumed_instances = 16;
    retries_.limits.instances = assumed_instances;
    directory_options list;
    list.list = settings_.deployment.server_list;
    list.calls_per_second = settings_.deployment.server_list_rate;
    list.interval = std::chrono::milliseconds{1'000};
    directory_ = std::make_shared<server_directory>(
        context_, list, *protocol_, [this](std::vector<config::server> servers) {
            link_->set_servers(std::move(servers), duration{});
        });
    directory_->set_readers(assumed_instances);
    make_link();
}

entry_instance::~entry_instance() {
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
    node_->stop();
}

void entry_instance::make_link() {
    control_link::callbacks handlers;
    handlers.open_requests = [this] { return open_requests(); };
    handlers.used = [this] { return usage_.used(now()); };
    handlers.on_document = [this](const config::document& newest,
                                  const control_link::document_origin& origin) {
        on_document(newest, origin);
    };
    handlers.on_confirmation = [this](bool confirmed) {
        metrics_.set_revision_confirmed(confirmed);
    };
    handlers.on_deployment_size = [this](std::uint32_t entry_instances) {
        retries_.limits.instances = entry_instances;
        directory_->set_readers(entry_instances);
        if (catalogue_) {
            link_->set_document(document_, catalogue_->value());
        }
    };
    handlers.on_servers = [this] { notify_if_initialized(); };
    handlers.on_list_wanted = [this](bool wanted) {
        directory_->set_wanted(wanted && !shutting_down_);
    };
    link_ = std::make_shared<control_link>(context_, settings_.id, *node_, founders_of(settings_),
                                           settings_.deployment.quota_window, std::move(handlers));
}

std::string entry_instance::start() {
    if (auto error = node_->start(); !error.empty()) {
        return "cannot listen for other instances: " + error;
    }
    try {
        http::server_options options;
        options.listen = settings_.http;
        options.limits = settings_.limits;
        options.guard = guard_;
        options.check_head = [this](const http::request_message& head) { return check_head(head); };
        api_server_ = std::make_shared<http::server>(
            context_, options, [this](http::exchange& with) { return handle(with); });
        options.listen = settings_.deployment.readiness;
        options.limits = small_server_limits(settings_.limits);
        options.check_head = nullptr;
        readiness_ = std::make_shared<http::server>(
            context_, options, [this](http::exchange& with) { return handle_readiness(with); });
        metrics_server_ = make_metrics_server(
            context_, settings_, metrics_,
            {.quarantines = [this] { return link_->quarantines(); },
             .lift_quarantine =
                 [this](std::uint64_t part) { return link_->lift_quarantine(part); }},
            guard_);
    } catch (const std::exception& error) {
        return std::string("cannot listen for HTTP: ") + error.what();
    }
    api_server_->start();
    readiness_->start();
    if (metrics_server_) {
        metrics_server_->start();
    }
    asio::post(context_, [this] {
        initial_state_timer_.expires_after(initial_state_timeout);
        link_->start();
    });
    thread_ = std::thread([this] { run_guarded(context_); });
    log_start(settings_, "entry");
    return {};
}

void entry_instance::shut_down() {
    const auto requested_at = std::chrono::steady_clock::now();
    const auto end = requested_at + settings_.deployment.grace - grace_margin;
    shutting_down_ = true;
    const duration time_left = settings_.deployment.grace - grace_margin - final_answer_time;
    const duration time_to_accept =
        std::min<duration>(settings_.deployment.grace / 2, max_accept_time);
    asio::post(context_, [this, begin = now(), time_left, time_to_accept] {
        shutdown_deadline_ = begin + time_left;
        accept_until_ = begin + time_to_accept;
        for (const auto& [sequence, request] : open_requests_) {
            arm_deadline_timer(request);
        }
    });
    telemetry::write(telemetry::log_line("leaving").add(
        "open_requests", static_cast<std::int64_t>(open_count_.load())));
    std::this_thread::sleep_for(unready_notice);
    // New callers are still served, each on a connection that closes after its answer, until there
    // is a moment without connections. After that, only the remaining connections are served.
    const auto accept_end = requested_at + settings_.deployment.grace / 2;
    do {
        api_server_->close_idle();
        std::this_thread::sleep_for(drain_poll_interval);
    } while (api_server_->connections() > 0 && std::chrono::steady_clock::now() < accept_end);
    api_server_->stop_accepting();
    do {
        api_server_->close_idle();
        std::this_thread::sleep_for(drain_poll_interval);
    } while (!api_server_->has_ended() && std::chrono::steady_clock::now() < end);
    asio::post(context_, [this] {
        link_->stop();
        directory_->stop();
    });
    telemetry::write(telemetry::log_line("left").add(
        "open_requests", static_cast<std::int64_t>(open_count_.load())));
    std::this_thread::sleep_for(drain_poll_interval);
}

void entry_instance::reload(const settings::instance_settings& fresh) {
    telemetry::set_log_level(fresh.log.level);
    asio::post(context_, [this, contacts = founders_of(fresh)] { link_->add_contacts(contacts); });
    telemetry::write(telemetry::log_line("reloaded").add("level", fresh.log.level));
}

void entry_instance::on_document(const config::document& newest,
                                 const control_link::document_origin& origin) {
    if (catalogue_ && newest.number <= catalogue_->value().number) {
        return;
    }
    auto read = protocol_->read_catalogue(newest.content);
    if (!read.errors.empty()) {
        telemetry::write(telemetry::log_line("document_unreadable")
                             .add("number", static_cast<std::int64_t>(newest.number.value))
                             .add("why", read.errors.front()));
        return;
    }
    auto limits = settings_.limits;
    limits.max_header_bytes = read.value.limits.max_header_bytes;
    limits.max_body_bytes = read.value.limits.max_body_bytes;
    limits.header_timeout = read.value.limits.header_timeout;
    limits.idle_timeout = read.value.limits.idle_timeout;
    api_server_->set_limits(limits);
    catalogue_ = std::make_shared<const config::catalogue_index>(std::move(read.value));
    document_ = newest;
    link_->set_document(document_, catalogue_->value());
    metrics_.set_revision(newest.number.value);
    telemetry::write(telemetry::log_line("document_in_force")
                         .add("number", static_cast<std::int64_t>(newest.number.value))
                         .add("from", settings::instance_address(origin.from))
                         .add("from_leader", origin.leads ? 1 : 0));
    notify_if_initialized();
}

bool entry_instance::has_initial_state() const {
    return catalogue_ && link_->has_servers();
}

bool entry_instance::is_ready() const {
    return !shutting_down_ && has_initial_state();
}

void entry_instance::notify_if_initialized() {
    if (has_initial_state()) {
        initial_state_timer_.cancel();
    }
}

dispatch::dispatcher_report entry_instance::open_requests() {
    dispatch::dispatcher_report report{.dispatcher = settings_.id, .started_as = started_as_};
    report.used = usage_.used(now());
    report.uptime = now() - started_at_;
    for (const auto& [sequence, request] : open_requests_) {
        if (request->current_grant) {
            report.running.push_back(
                {.work = request->work, .server = request->current_grant->server});
        } else {
            report.waiting.push_back(sequence);
        }
        if (request->failover_id) {
            report.waiting.push_back(request->failover_id->sequence);
        }
    }
    return report;
}

asio::awaitable<void> entry_instance::handle_readiness(http::exchange& with) {
    http::reply out;
    const auto known = protocol_->is_readiness_check(with.request());
    out.status = !known ? 404 : is_ready() ? 200 : 503;
    out.body = "{}";
    co_await with.respond(std::move(out));
}

void entry_instance::on_query(instance_id from, wire::topic about, std::string payload,
                              std::function<void(wire::answer)> reply) {
    if (about == wire::topic::document_part) {
        asio::post(context_, [this, payload = std::move(payload), reply = std::move(reply)] {
            const auto part = link_->answer_document_part(payload);
            metrics_.count_document_bytes(part ? part->bytes.size() : 0);
            reply(part ? wire::answer{.known = true, .payload = pack(*part)} : wire::answer{});
        });
        return;
    }
    if (about != wire::topic::entry_report) {
        reply({});
        return;
    }
    asio::post(context_, [this, from, payload = std::move(payload), reply = std::move(reply)] {
        const auto update = link_->answer_peer(from, payload);
        reply(update ? wire::answer{.known = true, .payload = pack(*update)} : wire::answer{});
    });
}

} // namespace tarragonspar::gateway
