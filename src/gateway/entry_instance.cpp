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

/// Time between saying "not ready" and the end of new connections: the platform asks once a second
/// and needs two misses.
constexpr auto leave_notice = std::chrono::milliseconds{2'300};
/// Time after which a stop takes no further request, however long the grace: the users' platform
/// lets those cut at its end that were sent 3 s after the signal at the latest.
constexpr duration longest_taking = std::chrono::milliseconds{2'800};
/// Part of the grace that is left unused, so that the process ends by itself.
constexpr auto grace_margin = std::chrono::milliseconds{400};
/// Time before that end at which requests that are still open get their final answer, so that none
/// is cut.
constexpr auto last_answers = std::chrono::milliseconds{300};
/// Time after its start for which an instance holds requests until it knows a catalogue and
/// servers: a group that lost power elects a leader and tells them within 0.9 s, and a caller that
/// is told to come back returns after a second, past its latency objective.
constexpr auto first_news_patience = std::chrono::milliseconds{1'200};
/// Pause between two looks at whether the last request has ended.
constexpr auto drain_poll = std::chrono::milliseconds{50};

incarnation make_incarnation() {
    // Random, since the time of day may be set back between two starts.
    std::random_device source;
    return {(std::uint64_t{source()} << 32U) | source()};
}

admission::retry_limits make_retry_limits(const settings::deployment_settings& from) {
    return {.ratio = from.retry_ratio, .slack = from.retry_slack, .window = from.retry_window};
}

} // namespace

entry_instance::entry_instance(settings::instance_settings settings,
                               std::unique_ptr<const dialect> speaks)
    : settings_(std::move(settings)), speaks_(std::move(speaks)), started_as_(make_incarnation()),
      started_at_(now()), context_(1), keep_running_(asio::make_work_guard(context_)),
      know_enough_(context_), used_(settings_.deployment.quota_window),
      random_(std::random_device{}()) {
    node_ = std::make_unique<wire::node>(make_node_options(settings_),
                                         static_cast<wire::handler&>(*this));
    repeats_.limits = make_retry_limits(settings_.deployment);
    // Before the control group says how many there are, as if there were many.
    constexpr std::uint32_t assumed_instances = 16;
    repeats_.limits.instances = assumed_instances;
    directory_options list;
    list.list = settings_.deployment.server_list;
    list.calls_per_second = settings_.deployment.server_list_rate;
    list.interval = std::chrono::milliseconds{1'000};
    directory_ = std::make_shared<server_directory>(
        context_, list, *speaks_, [this](std::vector<config::server> servers) {
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
    control_link::hooks uses;
    uses.open_requests = [this] { return open_requests(); };
    uses.used = [this] { return used_.used(now()); };
    uses.on_document = [this](const config::document& newest) { on_document(newest); };
    uses.on_size = [this](std::uint32_t entry_instances) {
        repeats_.limits.instances = entry_instances;
        directory_->set_readers(entry_instances);
        if (catalogue_) {
            link_->set_document(document_, catalogue_->value());
        }
    };
    uses.on_servers = [this] { wake_if_enough_known(); };
    uses.on_list_wanted = [this](bool wanted) { directory_->set_wanted(wanted && !leaving_); };
    link_ = std::make_shared<control_link>(context_, settings_.id, *node_, founders_of(settings_),
                                           settings_.deployment.quota_window, std::move(uses));
}

std::string entry_instance::start() {
    if (auto fault = node_->start(); !fault.empty()) {
        return "the address for other instances: " + fault;
    }
    try {
        http::server_options options;
        options.listen = settings_.http;
        options.limits = settings_.limits;
        front_ = std::make_shared<http::server>(
            context_, options, [this](http::exchange& with) { return handle(with); });
        options.listen = settings_.deployment.readiness;
        readiness_ = std::make_shared<http::server>(
            context_, options, [this](http::exchange& with) { return handle_readiness(with); });
        metrics_server_ = make_metrics_server(context_, settings_, metrics_);
    } catch (const std::exception& error) {
        return std::string("an address for HTTP: ") + error.what();
    }
    front_->start();
    readiness_->start();
    if (metrics_server_) {
        metrics_server_->start();
    }
    asio::post(context_, [this] {
        know_enough_.expires_after(first_news_patience);
        link_->start();
    });
    thread_ = std::thread([this] { run_guarded(context_); });
    log_start(settings_, "entry");
    return {};
}

void entry_instance::shut_down() {
    const auto asked = std::chrono::steady_clock::now();
    const auto end = asked + settings_.deployment.grace - grace_margin;
    leaving_ = true;
    const duration time_left = settings_.deployment.grace - grace_margin - last_answers;
    const duration time_to_take =
        std::min<duration>(settings_.deployment.grace / 2, longest_taking);
    asio::post(context_, [this, begin = now(), time_left, time_to_take] {
        must_end_ = begin + time_left;
        last_taken_ = begin + time_to_take;
        for (const auto& [sequence, request] : open_) {
            limit_time(request);
        }
    });
    telemetry::write(telemetry::log_line("leaving").add(
        "open_requests", static_cast<std::int64_t>(open_count_.load())));
    std::this_thread::sleep_for(leave_notice);
    // Callers that still come are served, each on a connection that closes after its answer, until
    // a moment comes without any; then the last connections are waited for.
    const auto last_accept = asked + settings_.deployment.grace / 2;
    do {
        front_->close_idle();
        std::this_thread::sleep_for(drain_poll);
    } while (front_->connections() > 0 && std::chrono::steady_clock::now() < last_accept);
    front_->stop_accepting();
    do {
        front_->close_idle();
        std::this_thread::sleep_for(drain_poll);
    } while (!front_->has_ended() && std::chrono::steady_clock::now() < end);
    asio::post(context_, [this] {
        link_->stop();
        directory_->stop();
    });
    telemetry::write(telemetry::log_line("left").add(
        "open_requests", static_cast<std::int64_t>(open_count_.load())));
    std::this_thread::sleep_for(drain_poll);
}

void entry_instance::reload(const settings::instance_settings& fresh) {
    telemetry::set_log_level(fresh.log.level);
    asio::post(context_, [this, contacts = founders_of(fresh)] { link_->add_contacts(contacts); });
    telemetry::write(telemetry::log_line("reloaded").add("level", fresh.log.level));
}

void entry_instance::on_document(const config::document& newest) {
    if (catalogue_ && newest.number <= catalogue_->value().number) {
        return;
    }
    auto read = speaks_->read_catalogue(newest.content);
    if (!read.faults.empty()) {
        telemetry::write(telemetry::log_line("document_unreadable")
                             .add("number", static_cast<std::int64_t>(newest.number.value))
                             .add("why", read.faults.front()));
        return;
    }
    auto limits = settings_.limits;
    limits.max_header_bytes = read.value.limits.max_header_bytes;
    limits.max_body_bytes = read.value.limits.max_body_bytes;
    limits.header_timeout = read.value.limits.header_timeout;
    limits.idle_timeout = read.value.limits.idle_timeout;
    front_->set_limits(limits);
    catalogue_ = std::make_shared<const config::catalogue_index>(std::move(read.value));
    document_ = newest;
    link_->set_document(document_, catalogue_->value());
    metrics_.set_revision(newest.number.value);
    telemetry::write(telemetry::log_line("document_in_force")
                         .add("number", static_cast<std::int64_t>(newest.number.value)));
    wake_if_enough_known();
}

bool entry_instance::knows_enough() const {
    return catalogue_ && link_->has_servers();
}

bool entry_instance::is_ready() const {
    return !leaving_ && knows_enough();
}

void entry_instance::wake_if_enough_known() {
    if (knows_enough()) {
        know_enough_.cancel();
    }
}

dispatch::holder_report entry_instance::open_requests() {
    dispatch::holder_report report{.holder = settings_.id, .started_as = started_as_};
    report.used = used_.used(now());
    report.up_for = now() - started_at_;
    for (const auto& [sequence, request] : open_) {
        if (request->running_at) {
            report.running.push_back(
                {.work = request->work, .server = request->running_at->server});
        } else {
            report.waiting.push_back(sequence);
        }
    }
    return report;
}

asio::awaitable<void> entry_instance::handle_readiness(http::exchange& with) {
    http::reply out;
    const auto known = speaks_->asks_readiness(with.request());
    out.status = !known ? 404 : is_ready() ? 200 : 503;
    out.body = "{}";
    co_await with.respond(std::move(out));
}

void entry_instance::on_question(instance_id from, wire::topic about, std::string payload,
                                 std::function<void(wire::answer)> reply) {
    if (about != wire::topic::entry_report) {
        reply({});
        return;
    }
    asio::post(context_, [this, from, payload = std::move(payload), reply = std::move(reply)] {
        const auto news = link_->answer_peer(from, payload);
        reply(news ? wire::answer{.known = true, .payload = pack(*news)} : wire::answer{});
    });
}

} // namespace tarragonspar::gateway
