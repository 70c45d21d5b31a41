#include "tarragonspar/runtime/control_service.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/leaf.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

/// Pause before a replica whose disk failed starts again from its files.
constexpr auto disk_retry = std::chrono::milliseconds{500};
/// Bounds of the pause before the next look at what is due.
constexpr duration min_tick = std::chrono::milliseconds{5};
constexpr duration max_tick = std::chrono::milliseconds{200};
/// Pause between two tries to find out whether a group exists already.
constexpr auto identity_retry = std::chrono::milliseconds{200};
/// A write to the disk that takes longer is logged: a third of the shortest wait for an election.
constexpr duration slow_write = std::chrono::milliseconds{300};

/// Runs an operation on files; returns a sentence when it fails.
template <class Operation>
std::string run_on_disk(Operation operation) {
    std::string fault;
    leaf::try_handle_all([&]() -> leaf::result<void> { return operation(); },
                         [&](const storage::file_fault& what) { fault = describe(what); },
                         [&] { fault = "the disk can't be used"; });
    return fault;
}

} // namespace

control_service::control_service(control_options options, wire::node& node, listener on_change)
    : options_(std::move(options)), node_(node), on_change_(std::move(on_change)),
      tick_timer_(pool_), restart_timer_(pool_), random_(std::random_device{}()) {
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
        start_replica(0, true);
        return {};
    }
    std::optional<std::uint32_t> disk;
    auto fault = run_on_disk([&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(disk, control::replica_store::read_identity(options_.data_folder));
        return {};
    });
    if (!fault.empty()) {
        return fault;
    }
    if (!disk && options_.open_group) {
        // Only the settings tell whether a group exists; asking others would let two groups be
        // founded while they can't reach each other.
        const auto founding = options_.may_found;
        disk =
            founding ? std::uint32_t{0} : static_cast<std::uint32_t>(random_() % 0x7fffffffU) + 1;
        fault = load_founders(founding);
        if (fault.empty()) {
            fault = run_on_disk([&] {
                return control::replica_store::write_identity(options_.data_folder, *disk);
            });
        }
        if (!fault.empty()) {
            return fault;
        }
        telemetry::write(
            telemetry::log_line(founding ? "control_founds" : "control_joins").add("disk", *disk));
    } else if (disk && options_.open_group) {
        if (fault = load_founders(false); !fault.empty()) {
            return fault;
        }
    }
    if (disk) {
        start_replica(*disk, false);
        return failed_ ? "the control replica's files can't be used; see the log" : std::string{};
    }
    asio::post(pool_, [self = shared_from_this()] { self->find_identity(); });
    return {};
}

void control_service::stop() {
    asio::post(pool_, [this] {
        stopped_ = true;
        tick_timer_.cancel();
        restart_timer_.cancel();
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
    const auto asked = options_.replicas.size();
    if (asked == 0) {
        on_peer_states(0, {});
        return;
    }
    for (const auto peer : options_.replicas) {
        node_.ask(peer, wire::topic::control_status, "",
                  [self, answers, pending, asked](std::optional<wire::answer> answer) {
                      asio::post(self->pool_, [self, answers, pending, asked, answer] {
                          if (answer && answer->known) {
                              answers->push_back(*answer);
                          }
                          if (--*pending == 0) {
                              self->on_peer_states(asked, *answers);
                          }
                      });
                  });
    }
}

void control_service::on_peer_states(std::size_t asked, const std::vector<wire::answer>& answers) {
    bool exists = false;
    for (const auto& answer : answers) {
        const auto in = json::parse(answer.payload, nullptr, false);
        exists = exists || (in.is_object() && in.value("term", 0) > 0);
    }
    if (!exists && answers.size() < asked) {
        // A group may exist among those that did not answer.
        tick_timer_.expires_after(identity_retry);
        tick_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->find_identity();
            }
        });
        return;
    }
    const auto disk =
        exists ? static_cast<std::uint32_t>(random_() % 0x7fffffffU) + 1 : std::uint32_t{0};
    const auto fault = run_on_disk(
        [&] { return control::replica_store::write_identity(options_.data_folder, disk); });
    if (!fault.empty()) {
        fail(fault);
        return;
    }
    telemetry::write(
        telemetry::log_line(exists ? "control_joins" : "control_founds").add("disk", disk));
    start_replica(disk, !exists);
}

void control_service::start_replica(std::uint32_t disk, bool founding) {
    disk_ = disk;
    consensus::durable_state stored;
    if (!options_.data_folder.empty()) {
        const auto fault = run_on_disk([&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(opened, control::replica_store::open(options_.data_folder, stored));
            store_.emplace(std::move(opened));
            return {};
        });
        if (!fault.empty()) {
            fail(fault);
            return;
        }
    }
    const auto id = consensus::make_replica_id(options_.self, disk);
    const auto is_first_start = stored.snapshot.members.voters.empty();
    if (is_first_start && (founding || disk == 0)) {
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
    if (stored.snapshot_data.empty()) {
        // Every founding replica starts from the same settings, with nothing of what peers may
        // have told before: an answer known in advance would keep its change from being applied.
        state_ = {};
        recent_.clear();
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
    telemetry::write(telemetry::log_line("control_replica_started")
                         .add("disk", disk)
                         .add("term", static_cast<std::int64_t>(stored.term.value))
                         .add("applied", static_cast<std::int64_t>(applied_.value))
                         .add("entries", static_cast<std::int64_t>(stored.entries.size())));
    replica_ = consensus::make_replica(options_.consensus, id, std::move(stored), now(), random_);
    publish_configuration();
    asio::post(pool_, [self = weak_from_this()] {
        if (const auto held = self.lock()) {
            held->tick();
        }
    });
}

// --- running the replica ---

void control_service::schedule_tick() {
    auto pause = max_tick;
    if (replica_) {
        const auto due = replica_->current == consensus::role::leader ? replica_->heartbeat_due
                                                                      : replica_->election_due;
        pause = std::clamp(due - now(), min_tick, max_tick);
    }
    tick_timer_.expires_after(pause);
    tick_timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto held = self.lock();
        if (!error && held) {
            held->tick();
        }
    });
}

void control_service::tick() {
    if (stopped_ || failed_) {
        return;
    }
    step(consensus::ticked{});
    compact_if_due();
    ask_to_join();
    replace_absent();
    note_group();
    schedule_tick();
}

void control_service::step(const consensus::event& what) {
    if (!replica_ || failed_) {
        return;
    }
    std::vector<consensus::effect> effects;
    const auto due = replica_->heartbeat_due;
    consensus::step(*replica_, what, now(), random_, effects);
    carry_out(effects);
    if (replica_ && replica_->heartbeat_due != due &&
        !std::holds_alternative<consensus::ticked>(what)) {
        schedule_tick(); // the next heartbeat moved
    }
}

bool control_service::flush() {
    if (!store_ || store_->is_synced()) {
        return true;
    }
    const auto begun = now();
    const auto fault = run_on_disk([&] { return store_->sync(); });
    note_write(now() - begun);
    if (!fault.empty()) {
        fail(fault);
    }
    return fault.empty();
}

void control_service::note_write(duration taken) {
    if (on_disk_) {
        on_disk_(taken);
    }
    if (taken >= slow_write) {
        telemetry::write(
            telemetry::log_line("control_disk_slow").add("ms", to_milliseconds(taken)));
    }
}

void control_service::carry_out(std::vector<consensus::effect>& effects) {
    std::vector<consensus::message> messages;
    for (auto& effect : effects) {
        if (auto* term = std::get_if<consensus::store_term>(&effect); term && store_) {
            store_->add(*term);
        } else if (auto* entries = std::get_if<consensus::store_entries>(&effect);
                   entries && store_) {
            store_->add(*entries);
        }
    }
    // One sync for all of a step's records, before anything of it can be seen outside.
    if (!flush()) {
        return;
    }
    for (auto& effect : effects) {
        if (auto* out = std::get_if<consensus::send>(&effect)) {
            messages.push_back(std::move(out->what));
        } else if (const auto* ready = std::get_if<consensus::apply>(&effect)) {
            on_applied(ready->what);
        } else if (const auto* in = std::get_if<consensus::proposed>(&effect)) {
            on_proposed(*in);
        } else if (const auto* read = std::get_if<consensus::read_ready>(&effect)) {
            on_read_ready(*read);
        } else if (const auto* whole = std::get_if<consensus::restore>(&effect)) {
            restore(whole->data);
        } else if (std::holds_alternative<consensus::store_snapshot>(effect) && store_) {
            const auto begun = now();
            const auto fault = run_on_disk([&] { return store_->store_snapshot(*replica_); });
            note_write(now() - begun);
            if (!fault.empty()) {
                fail(fault);
                return;
            }
        } else if (const auto* changed = std::get_if<consensus::role_changed>(&effect)) {
            telemetry::write(telemetry::log_line("control_role")
                                 .add("leads", changed->now == consensus::role::leader ? 1 : 0)
                                 .add("term", static_cast<std::int64_t>(changed->term.value)));
            if (changed->now != consensus::role::leader) {
                give_up_waiting();
            }
        }
    }
    send_all(messages);
    note_group();
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

void control_service::on_proposed(const consensus::proposed& what) {
    const auto found = proposing_.find(what.token);
    if (found == proposing_.end()) {
        return;
    }
    auto done = std::move(found->second);
    proposing_.erase(found);
    if (!what.index) {
        done(std::nullopt);
        return;
    }
    waiting_.insert_or_assign(*what.index,
                              waiting_proposal{.term = what.term, .done = std::move(done)});
}

void control_service::on_applied(const consensus::entry& what) {
    applied_ = what.index;
    std::optional<control::reply> reply;
    if (what.kind == consensus::entry_kind::command) {
        const auto before = state_.configuration.current.number;
        const auto command = control::decode_command(what.data);
        reply = control::apply(state_, command);
        if (const auto* answer = std::get_if<config::document_answer>(&*reply);
            answer != nullptr && answer->taken) {
            telemetry::write(
                telemetry::log_line("document_accepted")
                    .add("number", static_cast<std::int64_t>(state_.published.number.value))
                    .add("bytes", static_cast<std::int64_t>(state_.published.content.size())));
            if (on_document_) {
                on_document_(state_.published);
            }
        }
        if (state_.configuration.current.number != before) {
            remember_change(std::get<config::change>(command), state_.configuration.current.number);
            publish_configuration();
        }
    }
    const auto waiting = waiting_.find(what.index);
    if (waiting != waiting_.end()) {
        const auto own = waiting->second.term == what.term;
        const auto done = std::move(waiting->second.done);
        waiting_.erase(waiting);
        done(own ? reply : std::nullopt);
    }
}

void control_service::restore(const std::string& data) {
    state_ = control::decode_state(data);
    applied_ = replica_->snapshot.index;
    recent_.clear();
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
    give_up_waiting();
    give_up_unstored();
    note_group();
    if (!options_.open_group || !disk_) {
        return;
    }
    // What is in memory may be ahead of the disk, so the replica starts again from its files.
    restart_timer_.expires_after(disk_retry);
    restart_timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto held = self.lock();
        if (!error && held && !held->stopped_) {
            held->store_.reset();
            held->replica_.reset();
            held->failed_ = false;
            held->start_replica(*held->disk_, false);
        }
    });
}

void control_service::give_up_waiting() {
    // Another leader may still commit these entries; the commands are safe to send again.
    const auto waiting = std::exchange(waiting_, {});
    for (const auto& [index, item] : waiting) {
        item.done(std::nullopt);
    }
}

void control_service::give_up_unstored() {
    for (const auto& [token, done] : std::exchange(proposing_, {})) {
        done(std::nullopt);
    }
    for (const auto& [token, done] : std::exchange(reading_, {})) {
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

void control_service::with_status(std::function<void(std::string)> use) {
    asio::post(pool_, [self = shared_from_this(), use = std::move(use)] {
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
        }
        use(out.dump());
    });
}

} // namespace tarragonspar::runtime
