#include "tarragonspar/runtime/instance.hpp"

#include <algorithm>
#include <set>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "tarragonspar/membership/ownership.hpp"
#include "tarragonspar/runtime/await_reply.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;

namespace {

/// Interval between two checks whether the last request has ended.
constexpr auto drain_poll_interval = std::chrono::milliseconds{20};

/// Time after which an instance without contact to any peer serves with its own configuration.
constexpr duration solo_start_timeout = std::chrono::seconds{3};
/// Time after which an instance in contact with peers, but not with a control leader, serves with
/// the newest configuration of these peers. Several elections and the start of other processes take
/// less.
constexpr duration leaderless_start_timeout = std::chrono::seconds{10};

/// Returns a number that is higher at every start of this process, unless the clock is set back by
/// more than the time between two starts.
incarnation make_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch);
    return {static_cast<std::uint64_t>(micros.count())};
}

wire::node_options make_node_options(const settings::instance_settings& from) {
    wire::node_options options;
    options.self = from.id;
    options.listen = from.wire;
    options.tls = from.wire_tls;
    for (const auto& peer : from.peers) {
        options.peers.emplace(peer.id, peer.wire);
    }
    return options;
}

nlohmann::json list_members(const membership::view& view) {
    constexpr std::string_view names[] = {"alive", "suspect", "leaving", "dead"};
    auto list = nlohmann::json::array();
    for (const auto& [id, state] : view.others) {
        list.push_back(
            {{"id", id.value}, {"status", names[static_cast<std::size_t>(state.what.status)]}});
    }
    return list;
}

/// Time from the arrival of a request to an event; 0 if the event has not occurred.
duration since_arrival(const request_record& record, std::int64_t micros) {
    return micros == 0 ? duration{} : time_point{duration{micros}} - record.work.arrival;
}

} // namespace

instance::instance(settings::instance_settings settings)
    : settings_(std::move(settings)), started_as_(make_incarnation()),
      context_(static_cast<int>(settings_.threads)), keep_running_(asio::make_work_guard(context_)),
      snapshots_(make_snapshot(settings_.configuration)) {
    make_parts();
}

instance::~instance() {
    context_.stop();
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    if (control_) {
        control_->stop();
    }
    if (node_) {
        node_->stop();
    }
}

void instance::make_parts() {
    node_ = std::make_unique<wire::node>(make_node_options(settings_),
                                         static_cast<wire::handler&>(*this));
    make_requests();
    make_membership();
    make_control();
    operator_api::callbacks callbacks;
    callbacks.status = [this] { return describe_status(); };
    if (settings_.test_hooks) {
        callbacks.cut_off = [this](std::set<instance_id> peers) {
            node_->cut_off(std::move(peers));
        };
    }
    operator_api_ =
        std::make_unique<operator_api>(*control_, settings_.operator_tokens, std::move(callbacks));
    caller_api_ = std::make_unique<caller_api>(requests_, keyed_, control_, snapshots_);
}

void instance::make_requests() {
    const http::engine_client_options client;
    owner_ = std::make_shared<owner>(context_, dispatch::scheduler_options{}, client, metrics_);
    remote_ = std::make_unique<wire_owners>(
        context_, *node_,
        [this](instance_id from, const std::vector<routing::model_digest>& digest) {
            requests_->set_digest(from, digest);
            owner_->set_peer_digest(from, digest);
        });
    coordinator_options options;
    options.self = settings_.id;
    options.started_as = started_as_;
    requests_ = std::make_shared<coordinator>(context_, options, owner_, *remote_, client,
                                              [this](server_id id) { return address_of(id); });
    requests_->on_finished = [this](const request_record& record,
                                    const dispatch::answer_finished& last) {
        on_request_finished(record, last);
    };
}

void instance::make_membership() {
    std::vector<instance_id> peers;
    for (const auto& peer : settings_.peers) {
        peers.push_back(peer.id);
    }
    membership_service::callbacks callbacks;
    callbacks.own_state = [this](auto reply) {
        owner_->with_digest(
            [this, reply = std::move(reply)](std::vector<routing::model_digest> own) {
                requests_->set_digest(settings_.id, own);
                reply(std::move(own), control_->current()->current.number);
            });
    };
    callbacks.on_update = [this](instance_id from, const wire::gossip_message& message) {
        requests_->set_digest(from, message.digest);
        owner_->set_peer_digest(from, message.digest);
        {
            const std::lock_guard lock(assignment_mutex_);
            peer_revisions_[from] = message.newest;
        }
        control_->on_peer_revision(from, message.newest);
    };
    callbacks.on_change = [this](std::vector<instance_id> usable) {
        on_members(std::move(usable));
    };
    members_ = std::make_shared<membership_service>(
        context_, membership_options{},
        membership::member{.id = settings_.id, .started_as = started_as_}, peers, *node_,
        std::move(callbacks));
}

void instance::make_control() {
    control_options options;
    options.self = settings_.id;
    options.data_folder = settings_.data_folder;
    options.first = settings_.configuration;
    for (const auto& peer : settings_.peers) {
        if (peer.control) {
            options.replicas.push_back(peer.id);
        }
    }
    // Without any control replica in the settings, this instance forms a control group alone.
    options.replica = settings_.control || options.replicas.empty();
    control_ = std::make_shared<control_service>(
        std::move(options), *node_,
        [this](std::shared_ptr<const config::state> state) { on_configuration(std::move(state)); });
    keyed_ = std::make_shared<keyed_requests>(requests_, control_, *node_, snapshots_, settings_.id,
                                              started_as_);
}

bool instance::is_caught_up() {
    if (caught_up_) {
        return true;
    }
    if (control_->is_configuration_confirmed()) {
        caught_up_ = true;
        return true;
    }
    // What peers have in force may be old as well, since all may have restarted. It is used only in
    // a domain without a leader.
    const auto own = control_->current()->current.number;
    const std::lock_guard lock(assignment_mutex_);
    const auto limit = peer_revisions_.empty() ? solo_start_timeout : leaderless_start_timeout;
    const auto has_all_of_peers = std::all_of(peer_revisions_.begin(), peer_revisions_.end(),
                                              [&](const auto& item) { return item.second <= own; });
    const auto may_serve = now() - started_at_ > limit && has_all_of_peers;
    if (may_serve) {
        caught_up_ = true;
    }
    return may_serve;
}

void instance::confirm_until_caught_up() {
    control_->confirm_configuration([this](bool confirmed) {
        if (!confirmed && !is_caught_up()) {
            confirm_until_caught_up();
        }
    });
}

std::shared_ptr<http::server> instance::make_server() {
    http::server_options options;
    options.listen = settings_.http;
    options.limits = settings_.limits;
    if (!settings_.caller_tls.certificate.empty()) {
        options.tls = http::make_server_tls(settings_.caller_tls);
    }
    return std::make_shared<http::server>(context_, std::move(options),
                                          [this](http::exchange& with) { return handle(with); });
}

std::string instance::start() {
    if (settings_.wire.port != 0) {
        if (auto error = node_->start(); !error.empty()) {
            return "cannot listen for other instances: " + error;
        }
    }
    try {
        server_ = make_server();
    } catch (const std::exception& error) {
        return std::string("cannot listen for HTTP: ") + error.what();
    }
    on_members({settings_.id});
    if (auto error = control_->start(); !error.empty()) {
        return "cannot use the data folder: " + error;
    }
    owner_->start();
    members_->start();
    confirm_until_caught_up();
    server_->start();
    for (std::uint32_t i = 0; i < settings_.threads; ++i) {
        threads_.emplace_back([this] { context_.run(); });
    }
    LOG(INFO) << telemetry::log_line("started")
                     .add("instance", settings_.id.value)
                     .add("failure_domain", settings_.failure_domain)
                     .add("http", settings::to_string(settings_.http))
                     .text();
    return {};
}

std::uint16_t instance::http_port() const {
    return server_->port();
}

void instance::shut_down() {
    healthy_ = false;
    LOG(INFO) << telemetry::log_line("leaving").add("instance", settings_.id.value).text();
    std::this_thread::sleep_for(settings_.shutdown_notice);
    members_->announce_shutdown();
    owner_->drain();
    const auto drain_deadline = std::chrono::steady_clock::now() + settings_.drain_timeout;
    bool accepting = true;
    while (std::chrono::steady_clock::now() < drain_deadline) {
        std::this_thread::sleep_for(drain_poll_interval);
        if (requests_->open_requests() > 0 || owner_->load() > 0) {
            continue;
        }
        if (accepting) {
            // Callers that still connect while the last requests end are served.
            accepting = false;
            server_->stop_accepting();
            continue;
        }
        // A connection that was just accepted may carry a request that is not counted yet.
        server_->close_idle();
        if (server_->has_ended()) {
            break;
        }
    }
    caller_api_->stop();
    server_->stop_accepting();
    owner_->stop();
    members_->stop();
    std::this_thread::sleep_for(drain_poll_interval);
    LOG(INFO) << telemetry::log_line("left").add("instance", settings_.id.value).text();
}

std::string instance::reload(const settings::instance_settings& updated) {
    telemetry::set_log_level(updated.log.level);
    if (updated.caller_tls.certificate.empty()) {
        return {};
    }
    try {
        server_->set_tls(http::make_server_tls(updated.caller_tls));
    } catch (const std::exception& error) {
        return error.what();
    }
    return {};
}

asio::awaitable<void> instance::handle(http::exchange& with) {
    const auto view = with.request().target();
    const std::string target(view.data(), view.size());
    if (target == "/health") {
        const bool ready = healthy_ && is_caught_up();
        http::reply out;
        out.status = ready ? 200 : 503;
        out.body = ready      ? R"({"state":"ready"})"
                   : healthy_ ? R"({"state":"catching up"})"
                              : R"({"state":"leaving"})";
        co_await with.respond(std::move(out));
        co_return;
    }
    if (target == "/metrics") {
        http::reply out;
        out.content_type = "text/plain; version=0.0.4";
        out.body = metrics_.expose();
        co_await with.respond(std::move(out));
        co_return;
    }
    bool handled = co_await operator_api_->handle(with);
    if (!handled && !is_caught_up()) {
        // A configuration older than the one in force before a restart must not be used.
        dispatch::answer_finished refused;
        refused.result = outcome::not_executed;
        refused.why = reason::catching_up;
        refused.retry_after = std::chrono::seconds{1};
        auto problem = http::format_problem("", refused);
        co_await with.respond(std::move(problem));
        co_return;
    }
    if (!handled) {
        handled = co_await caller_api_->handle(with);
    }
    if (!handled) {
        co_await with.respond(http::format_error(404, "no such path"));
    }
}

asio::awaitable<std::string> instance::describe_status() {
    std::function<void(std::function<void(std::string)>)> ask_owner = [this](auto reply) {
        owner_->with_status(std::move(reply));
    };
    const auto queues = co_await await_reply<std::string>(std::move(ask_owner));
    std::function<void(std::function<void(nlohmann::json)>)> ask_members = [this](auto reply) {
        members_->with_view([reply](const membership::view& view) { reply(list_members(view)); });
    };
    auto members = co_await await_reply<nlohmann::json>(std::move(ask_members));
    std::function<void(std::function<void(std::string)>)> ask_control = [this](auto reply) {
        control_->with_status(std::move(reply));
    };
    const auto control = co_await await_reply<std::string>(std::move(ask_control));
    auto in_force = nlohmann::json::object();
    {
        const std::lock_guard lock(assignment_mutex_);
        for (const auto& [id, number] : peer_revisions_) {
            in_force[std::to_string(id.value)] = number.value;
        }
    }
    in_force[std::to_string(settings_.id.value)] = control_->current()->current.number.value;
    nlohmann::json out{{"instance", settings_.id.value},
                       {"in_force", std::move(in_force)},
                       {"failure_domain", settings_.failure_domain},
                       {"revision", control_->current()->current.number.value},
                       {"open_requests", requests_->open_requests()},
                       {"connections", server_->connections()},
                       {"members", std::move(members)},
                       {"control", nlohmann::json::parse(control)},
                       {"owner", nlohmann::json::parse(queues)}};
    co_return out.dump();
}

void instance::on_request_finished(const request_record& record,
                                   const dispatch::answer_finished& last) {
    const auto ended = now();
    telemetry::request_summary summary;
    summary.urgency = record.work.urgency;
    summary.workspace = record.workspace_name;
    summary.kind = record.call.plain ? "service" : "engine";
    summary.result = last.result;
    summary.why = last.why;
    summary.in_time = last.result == outcome::answered && ended <= record.work.deadline;
    summary.queue_wait = since_arrival(record, record.dispatched_at);
    summary.first_token = since_arrival(record, record.first_token_at);
    summary.total = ended - record.work.arrival;
    summary.generated = last.generated.value;
    if (last.result == outcome::unknown && !record.call.plain && record.first_token_at != 0) {
        summary.wasted_prefill = record.work.prompt.value;
    }
    metrics_.record(summary);
    if (last.generated.value > 1 && !record.call.plain) {
        const auto decoding = summary.total - summary.first_token;
        metrics_.record_token_interval(summary.urgency, decoding / (last.generated.value - 1));
    }
    const auto server = record.right.granted_to();
    LOG(INFO) << telemetry::log_line("request")
                     .add("id", to_string(record.work.id))
                     .add("outcome", to_string(last.result))
                     .add("reason", to_string(last.why))
                     .add("tier", record.work.urgency.value)
                     .add("profile", record.profile_name)
                     .add("workspace", record.workspace_name)
                     .add("server", server ? server->value : 0)
                     .add("owner", record.placed_at.load())
                     .add("wait_us", summary.queue_wait.count())
                     .add("first_token_us", summary.first_token.count())
                     .add("total_us", summary.total.count())
                     .add("prompt_tokens", record.work.prompt.value)
                     .add("cached_tokens", last.cached.value)
                     .add("generated_tokens", last.generated.value)
                     .text();
}

} // namespace tarragonspar::runtime
