#include "tarragonspar/runtime/control_service.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/leaf.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "tarragonspar/control/founding.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

/// Delay before a replica whose disk failed restarts from its files.
constexpr auto disk_retry_delay = std::chrono::milliseconds{500};
/// Bounds of the interval between two ticks.
constexpr duration min_tick = std::chrono::milliseconds{5};
constexpr duration max_tick = std::chrono::milliseconds{200};
/// Delay between two attempts to find out whether a group exists already.
constexpr auto identity_retry_delay = std::chrono::milliseconds{200};
/// Disk writes that take at least this long are logged: a third of the shortest election timeout.
constexpr duration slow_write_threshold = std::chrono::milliseconds{300};

/// Runs a file operation; returns an error message when it fails, else an empty string.
template <class Operation>
std::string run_on_disk(Operation operation) {
    std::string error;
    leaf::try_handle_all([&]() -> leaf::result<void> { return operation(); },
                         [&](const storage::file_error& failure) { error = describe(failure); },
                         [&] { error = "the disk can't be used"; });
    return error;
}

std::optional<control::peer_report> read_peer_report(const std::string& payload) {
    try {
        const auto in = json::parse(payload);
        control::peer_report out{.term = {in.at("term").get<std::uint64_t>()}};
        if (in.contains("disk")) {
            out.disk = in.at("disk").get<std::uint32_t>();
        }
        return out;
    } catch (const json::exception& error) {
        telemetry::write(telemetry::log_line("message_unreadable").add("why", error.what()));
        return std::nullopt;
    }
}

} // namespace

control_service::control_service(control_options options, wire::node& node, listener on_change)
    : options_(std::move(options)), node_(node), on_change_(std::move(on_change)),
      tick_timer_(pool_), restart_timer_(pool_), leader_search_timer_(pool_),
      random_(std::random_device{}()), confirm_timer_(pool_) {
    auto first = std::make_shared<config::state>();
    first->current = options_.first;
    published_ = std::move(first);
    std::sort(options_.replicas.begin(), options_.replicas.end());
}

control_service::~control_service() {
    stop();
}

std::string control_service::start() {
    if (!options_.replica) {
        return {};
    }
    if (options_.data_folder.empty()) {
        start_replica(control::founding_disk, true);
        return {};
    }
    std::optional<std::uint32_t> disk;
    auto error = run_on_disk([&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(disk, control::replica_store::read_identity(options_.data_folder));
        return {};
    });
    if (!error.empty()) {
        return error;
    }
    if (!disk && options_.open_group) {
        // Only the settings determine whether a group exists: if it were decided by querying peers,
        // instances that can't reach each other could found two groups.
        const auto is_founder = options_.may_found;
        disk = is_founder ? control::founding_disk : draw_disk_number();
        error = init_founders(is_founder);
        if (error.empty()) {
            error = run_on_disk([&] {
                return control::replica_store::write_identity(options_.data_folder, *disk);
            });
        }
        if (!error.empty()) {
            return error;
        }
        telemetry::write(telemetry::log_line(is_founder ? "control_founds" : "control_joins")
                             .add("disk", *disk));
    } else if (disk && options_.open_group) {
        if (error = init_founders(false); !error.empty()) {
            return error;
        }
    }
    if (disk) {
        start_replica(*disk, false);
        return failed_ && !is_damaged_ ? "the control replica's files can't be used; see the log"
                                       : std::string{};
    }
    asio::post(pool_, [self = shared_from_this()] { self->find_identity(); });
    return {};
}

void control_service::stop() {
    asio::post(pool_, [this] {
        stopped_ = true;
        tick_timer_.cancel();
        restart_timer_.cancel();
        leader_search_timer_.cancel();
        confirm_timer_.cancel();
    });
    pool_.join();
}

// --- identity ---

void control_service::find_identity() {
    if (stopped_) {
        return;
    }
    const auto answers = std::make_shared<std::vector<wire::answer>>();
    const auto pending = std::make_shared<std::size_t>(options_.replicas.size());
    const auto self = shared_from_this();
    const auto queried = options_.replicas.size();
    if (queried == 0) {
        on_peer_states(0, {});
        return;
    }
    for (const auto peer : options_.replicas) {
        node_.ask(peer, wire::topic::control_status, "",
                  [self, answers, pending, queried](std::optional<wire::answer> answer) {
                      asio::post(self->pool_, [self, answers, pending, queried, answer] {
                          if (answer && answer->known) {
                              answers->push_back(*answer);
                          }
                          if (--*pending == 0) {
                              self->on_peer_states(queried, *answers);
                          }
                      });
                  });
    }
}

void control_service::on_peer_states(std::size_t queried,
                                     const std::vector<wire::answer>& answers) {
    std::vector<control::peer_report> reports;
    for (const auto& answer : answers) {
        if (const auto report = read_peer_report(answer.payload)) {
            reports.push_back(*report);
        }
    }
    switch (control::next_founding_step(disk_.has_value(), queried, reports)) {
    case control::founding_step::wait:
        tick_timer_.expires_after(identity_retry_delay);
        tick_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->find_identity();
            }
        });
        return;
    case control::founding_step::take_seat:
        take_identity(control::founding_disk);
        return;
    case control::founding_step::join:
        take_identity(draw_disk_number());
        return;
    case control::founding_step::run:
        start_replica(*disk_, true);
        return;
    }
}

std::uint32_t control_service::draw_disk_number() {
    return static_cast<std::uint32_t>(random_() % 0x7fffffffU) + 1;
}

void control_service::take_identity(std::uint32_t disk) {
    const auto error = run_on_disk(
        [&] { return control::replica_store::write_identity(options_.data_folder, disk); });
    if (!error.empty()) {
        fail(error);
        return;
    }
    telemetry::write(
        telemetry::log_line(disk == control::founding_disk ? "control_founds" : "control_joins")
            .add("disk", disk));
    start_replica(disk, false);
}

void control_service::start_replica(std::uint32_t disk, bool all_seated) {
    disk_ = disk;
    consensus::durable_state stored;
    if (!options_.data_folder.empty()) {
        const auto error = open_store(stored);
        if (error && error->kind == storage::file_error_kind::corrupt && options_.open_group) {
            handle_damage(*error, stored);
            return;
        }
        if (error) {
            fail(describe(*error));
            return;
        }
    }
    const auto id = consensus::make_replica_id(options_.self, disk);
    const auto is_first_start = stored.snapshot.members.voters.empty();
    const auto is_founder = disk == control::founding_disk;
    // An open group names its founders in the settings; each of them takes its seat by itself.
    const auto waits_for_seats = !options_.open_group && is_founder && is_first_start &&
                                 stored.term.value == 0 && stored.entries.empty();
    if (waits_for_seats && !all_seated) {
        asio::post(pool_, [self = weak_from_this()] {
            if (const auto service = self.lock()) {
                service->find_identity();
            }
        });
        return;
    }
    if (is_first_start && is_founder) {
        auto& voters = stored.snapshot.members.voters;
        if (options_.open_group) {
            for (const auto founder : founders_) {
                voters.push_back(consensus::make_replica_id(founder, 0));
            }
        } else {
            voters.push_back(id);
            for (const auto peer : options_.replicas) {
                voters.push_back(consensus::make_replica_id(peer, 0));
            }
        }
        std::sort(voters.begin(), voters.end());
    }
    recent_changes_.clear(); // those after the snapshot are applied again
    if (stored.snapshot_data.empty()) {
        // Every founding replica starts from the same settings and discards what peers have sent
        // before: a change whose answer is already known would not be applied.
        state_ = {};
        state_.configuration.current = options_.first;
        state_.configuration.current.number = {
            std::max<std::uint64_t>(1, options_.first.number.value)};
    } else {
        state_ = control::decode_state(stored.snapshot_data);
    }
    if (on_document_ && state_.published.number.value > 0) {
        on_document_(state_.published);
    }
    applied_ = stored.snapshot.index;
    telemetry::write(
        telemetry::log_line("control_replica_started")
            .add("disk", disk)
            .add("term", static_cast<std::int64_t>(stored.term.value))
            .add("applied", static_cast<std::int64_t>(applied_.value))
            .add("entries", static_cast<std::int64_t>(stored.entries.size()))
            .add("document", static_cast<std::int64_t>(state_.published.number.value)));
    replica_ = consensus::make_replica(options_.consensus, id, std::move(stored),
                                       now_with_suspension(), random_);
    publish_configuration();
    asio::post(pool_, [self = weak_from_this()] {
        if (const auto service = self.lock()) {
            service->tick();
        }
    });
}

// --- running the replica ---

void control_service::schedule_tick() {
    auto delay = max_tick;
    if (replica_) {
        const auto due = replica_->current == consensus::role::leader ? replica_->heartbeat_due
                                                                      : replica_->election_due;
        delay = std::clamp(due - now_with_suspension(), min_tick, max_tick);
    }
    tick_timer_.expires_after(delay);
    tick_timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto service = self.lock();
        if (!error && service) {
            service->tick();
        }
    });
}

void control_service::tick() {
    if (stopped_ || failed_) {
        return;
    }
    step(consensus::ticked{});
    compact_if_due();
    request_join();
    change_group();
    notify_group_change();
    schedule_tick();
}

void control_service::step(const consensus::event& event) {
    if (!replica_ || failed_) {
        return;
    }
    std::vector<consensus::effect> effects;
    const auto due = replica_->heartbeat_due;
    consensus::step(*replica_, event, now_with_suspension(), random_, effects);
    execute(effects);
    if (replica_ && replica_->heartbeat_due != due &&
        !std::holds_alternative<consensus::ticked>(event)) {
        schedule_tick(); // the next heartbeat is due at another time
    }
}

bool control_service::flush() {
    if (!store_ || store_->is_synced()) {
        return true;
    }
    const auto started_at = now();
    const auto error = run_on_disk([&] { return store_->sync(); });
    record_write(now() - started_at);
    if (!error.empty()) {
        fail(error);
    }
    return error.empty();
}

void control_service::record_write(duration taken) {
    if (on_disk_) {
        on_disk_(taken);
    }
    if (taken >= slow_write_threshold) {
        telemetry::write(
            telemetry::log_line("control_disk_slow").add("ms", to_milliseconds(taken)));
    }
}

void control_service::execute(std::vector<consensus::effect>& effects) {
    std::vector<consensus::message> messages;
    for (auto& effect : effects) {
        if (auto* term = std::get_if<consensus::store_term>(&effect); term && store_) {
            store_->add(*term);
        } else if (auto* entries = std::get_if<consensus::store_entries>(&effect);
                   entries && store_) {
            store_->add(*entries);
        }
    }
    // One sync covers all records of a step, before any of its effects is visible outside.
    if (!flush()) {
        return;
    }
    for (auto& effect : effects) {
        if (auto* outgoing = std::get_if<consensus::send>(&effect)) {
            messages.push_back(std::move(outgoing->what));
        } else if (const auto* committed = std::get_if<consensus::apply>(&effect)) {
            on_applied(committed->what);
        } else if (const auto* in = std::get_if<consensus::proposed>(&effect)) {
            on_proposed(*in);
        } else if (const auto* read = std::get_if<consensus::read_ready>(&effect)) {
            on_read_ready(*read);
        } else if (const auto* snapshot = std::get_if<consensus::restore>(&effect)) {
            restore(snapshot->data);
        } else if (std::holds_alternative<consensus::store_snapshot>(effect) && store_) {
            const auto started_at = now();
            const auto error = run_on_disk([&] { return store_->store_snapshot(*replica_); });
            record_write(now() - started_at);
            if (!error.empty()) {
                fail(error);
                return;
            }
        } else if (const auto* changed = std::get_if<consensus::role_changed>(&effect)) {
            telemetry::write(telemetry::log_line("control_role")
                                 .add("leads", changed->now == consensus::role::leader ? 1 : 0)
                                 .add("term", static_cast<std::int64_t>(changed->term.value)));
            if (changed->now != consensus::role::leader) {
                fail_waiting_proposals();
            }
        }
    }
    send_all(messages);
    notify_group_change();
}

void control_service::send_all(std::vector<consensus::message>& messages) {
    std::map<instance_id, std::vector<consensus::message>> by_instance;
    for (auto& item : messages) {
        by_instance[consensus::instance_of(item.to)].push_back(std::move(item));
    }
    for (const auto& [peer, list] : by_instance) {
        node_.send_consensus(peer, consensus::encode(list));
    }
}

void control_service::on_proposed(const consensus::proposed& result) {
    const auto found = proposals_.find(result.token);
    if (found == proposals_.end()) {
        return;
    }
    auto done = std::move(found->second);
    proposals_.erase(found);
    if (!result.index) {
        done(std::nullopt);
        return;
    }
    waiting_proposals_.emplace(*result.index,
                               waiting_proposal{.term = result.term, .done = std::move(done)});
}

void control_service::on_applied(const consensus::entry& entry) {
    applied_ = entry.index;
    std::optional<control::reply> reply;
    if (entry.kind == consensus::entry_kind::command) {
        const auto before = state_.configuration.current.number;
        const auto command = control::decode_command(entry.data);
        reply = control::apply(state_, command);
        if (const auto* answer = std::get_if<config::document_answer>(&*reply);
            answer != nullptr && answer->accepted) {
            telemetry::write(
                telemetry::log_line("document_accepted")
                    .add("number", static_cast<std::int64_t>(state_.published.number.value))
                    .add("bytes", static_cast<std::int64_t>(state_.published.content.size())));
            if (on_document_) {
                on_document_(state_.published);
            }
        }
        if (state_.configuration.current.number != before) {
            add_recent_change(std::get<config::change>(command),
                              state_.configuration.current.number);
            publish_configuration();
        }
    }
    const auto [first, last] = waiting_proposals_.equal_range(entry.index);
    const std::vector<std::pair<consensus::log_index, waiting_proposal>> waiting(first, last);
    waiting_proposals_.erase(first, last);
    for (const auto& [index, item] : waiting) {
        item.done(item.term == entry.term ? reply : std::nullopt);
    }
}

void control_service::restore(const std::string& data) {
    state_ = control::decode_state(data);
    applied_ = replica_->snapshot.index;
    recent_changes_.clear();
    publish_configuration();
    if (on_document_ && state_.published.number.value > 0) {
        on_document_(state_.published);
    }
}

void control_service::compact_if_due() {
    if (!replica_ || failed_) {
        return;
    }
    const auto entries = applied_.value - replica_->snapshot.index.value;
    const auto large = store_ && store_->log_bytes() >= options_.compact_bytes;
    if (entries >= options_.compact_after || (large && entries > 0)) {
        step(consensus::compacted{.index = applied_, .data = control::encode(state_)});
    }
}

void control_service::fail(const std::string& why) {
    failed_ = true;
    telemetry::write(telemetry::log_line("control_disk_failed").add("why", why));
    fail_waiting_proposals();
    fail_pending_operations();
    notify_group_change();
    // The state in memory may be ahead of the disk, so the replica restarts from its files.
    restart_timer_.expires_after(disk_retry_delay);
    restart_timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto service = self.lock();
        if (!error && service && !service->stopped_) {
            service->store_.reset();
            service->replica_.reset();
            service->failed_ = false;
            if (service->disk_) {
                service->start_replica(*service->disk_, false);
            } else {
                service->find_identity();
            }
        }
    });
}

void control_service::fail_waiting_proposals() {
    // Another leader may still commit these entries; the commands are safe to resend.
    const auto waiting = std::exchange(waiting_proposals_, {});
    for (const auto& [index, item] : waiting) {
        item.done(std::nullopt);
    }
}

void control_service::fail_pending_operations() {
    for (const auto& [token, done] : std::exchange(proposals_, {})) {
        done(std::nullopt);
    }
    for (const auto& [token, done] : std::exchange(reads_, {})) {
        done(std::nullopt);
    }
}

void control_service::on_messages(const std::string& bytes) {
    asio::post(pool_, [self = shared_from_this(), bytes] {
        for (auto& item : consensus::decode(bytes)) {
            self->step(consensus::received{std::move(item)});
        }
    });
}

void control_service::with_status(std::function<void(std::string)> callback) {
    asio::post(pool_, [self = shared_from_this(), callback = std::move(callback)] {
        json out{{"replica", self->options_.replica}, {"failed", self->failed_}};
        if (self->replica_) {
            const auto& own = *self->replica_;
            const auto members = current_group(own);
            out["leads"] = own.current == consensus::role::leader;
            out["term"] = own.term.value;
            out["leader"] = own.leader ? consensus::instance_of(*own.leader).value : 0;
            out["commit"] = own.commit.value;
            out["voters"] = members.voters.size();
            out["is_voter"] = std::find(members.voters.begin(), members.voters.end(), own.self) !=
                              members.voters.end();
            out["keys"] = self->state_.keys.records.size();
            if (own.current == consensus::role::leader) {
                out["members"] = self->describe_members();
                out["removal"] = control::to_string(self->reported_removal_.state);
            }
        }
        callback(out.dump());
    });
}

} // namespace tarragonspar::runtime
