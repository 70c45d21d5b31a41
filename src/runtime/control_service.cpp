#include "tarragonspar/runtime/control_service.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/leaf.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/await_reply.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr auto tick_interval = std::chrono::milliseconds{20};
/// Pause between two tries to find out whether a group exists already.
constexpr auto identity_retry = std::chrono::milliseconds{200};
/// Pause between two requests to become a voter.
constexpr duration join_interval = std::chrono::milliseconds{500};
/// Pause before a command is sent to the next candidate.
constexpr auto submit_retry = std::chrono::milliseconds{100};
/// Times that a command is sent before its fate counts as not known.
constexpr int max_submit_attempts = 40;
/// Changes kept to bring others up to date without the whole configuration.
constexpr std::size_t max_recent_changes = 256;

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
      tick_timer_(pool_), random_(std::random_device{}()) {
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
    LOG(INFO) << telemetry::log_line(exists ? "control_joins" : "control_founds")
                     .add("disk", disk)
                     .text();
    start_replica(disk, !exists);
}

void control_service::start_replica(std::uint32_t disk, bool founding) {
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
        voters.push_back(id);
        for (const auto peer : options_.replicas) {
            voters.push_back(consensus::make_replica_id(peer, 0));
        }
        std::sort(voters.begin(), voters.end());
    }
    if (stored.snapshot_data.empty()) {
        // Every founding replica starts from the same settings.
        state_.configuration.current = options_.first;
        state_.configuration.current.number = {
            std::max<std::uint64_t>(1, options_.first.number.value)};
    } else {
        state_ = control::decode_state(stored.snapshot_data);
    }
    applied_ = stored.snapshot.index;
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
    tick_timer_.expires_after(tick_interval);
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
    schedule_tick();
}

void control_service::step(const consensus::event& what) {
    if (!replica_ || failed_) {
        return;
    }
    std::vector<consensus::effect> effects;
    consensus::step(*replica_, what, now(), random_, effects);
    carry_out(effects);
}

bool control_service::flush() {
    if (!store_) {
        return true;
    }
    const auto fault = run_on_disk([&] { return store_->sync(); });
    if (!fault.empty()) {
        fail(fault);
    }
    return fault.empty();
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
        } else if (const auto* whole = std::get_if<consensus::restore>(&effect)) {
            restore(whole->data);
        } else if (std::holds_alternative<consensus::store_snapshot>(effect) && store_) {
            const auto fault = run_on_disk([&] { return store_->store_snapshot(*replica_); });
            if (!fault.empty()) {
                fail(fault);
                return;
            }
        } else if (const auto* changed = std::get_if<consensus::role_changed>(&effect)) {
            LOG(INFO) << telemetry::log_line("control_role")
                             .add("leads", changed->now == consensus::role::leader ? 1 : 0)
                             .add("term", static_cast<std::int64_t>(changed->term.value))
                             .text();
            if (changed->now != consensus::role::leader) {
                give_up_waiting();
            }
        }
    }
    send_all(messages);
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
}

void control_service::compact_if_due() {
    if (!replica_ || failed_) {
        return;
    }
    if (applied_.value - replica_->snapshot.index.value >= options_.compact_after) {
        step(consensus::compacted{.index = applied_, .data = control::encode(state_)});
    }
}

void control_service::fail(const std::string& why) {
    failed_ = true;
    LOG(ERROR) << "this instance stops being a control replica: " << why;
    give_up_waiting();
}

void control_service::give_up_waiting() {
    // Another leader may still commit these entries; the commands are safe to send again.
    const auto waiting = std::exchange(waiting_, {});
    for (const auto& [index, item] : waiting) {
        item.done(std::nullopt);
    }
}

void control_service::on_messages(const std::string& bytes) {
    asio::post(pool_, [self = shared_from_this(), bytes] {
        for (auto& item : consensus::decode(bytes)) {
            self->step(consensus::received{std::move(item)});
        }
    });
}

// --- becoming a member ---

void control_service::ask_to_join() {
    if (!replica_ || now() < next_join_) {
        return;
    }
    const auto voters = current_group(*replica_).voters;
    if (std::find(voters.begin(), voters.end(), replica_->self) != voters.end()) {
        return;
    }
    next_join_ = now() + join_interval;
    const auto payload = json{{"join", replica_->self.value}}.dump();
    for (const auto peer : options_.replicas) {
        node_.ask(peer, wire::topic::change, payload, [](std::optional<wire::answer>) {});
    }
}

void control_service::take_join(consensus::replica_id joining) {
    if (!replica_ || replica_->current != consensus::role::leader || is_changing_group(*replica_)) {
        return;
    }
    auto next = current_group(*replica_);
    const auto is_voter =
        std::find(next.voters.begin(), next.voters.end(), joining) != next.voters.end();
    if (is_voter) {
        return;
    }
    const auto learner = std::find(next.learners.begin(), next.learners.end(), joining);
    if (learner == next.learners.end()) {
        const auto same_instance = [&](consensus::replica_id id) {
            return instance_of(id) == instance_of(joining);
        };
        std::erase_if(next.voters, same_instance);
        std::erase_if(next.learners, same_instance);
        next.learners.push_back(joining);
    } else if (is_caught_up(*replica_, joining)) {
        next.learners.erase(learner);
        next.voters.push_back(joining);
        std::sort(next.voters.begin(), next.voters.end());
    } else {
        return;
    }
    step(consensus::propose_group{.token = ++next_token_, .next = std::move(next)});
}

// --- commands ---

void control_service::submit_here(std::string bytes,
                                  std::function<void(std::optional<std::string>)> done) {
    if (!replica_ || failed_ || replica_->current != consensus::role::leader) {
        done(std::nullopt);
        return;
    }
    const auto token = ++next_token_;
    proposing_.emplace(token, [done = std::move(done)](std::optional<control::reply> reply) {
        done(reply ? std::optional{control::encode(*reply)} : std::nullopt);
    });
    step(consensus::propose{.token = token, .data = std::move(bytes)});
}

std::vector<instance_id> control_service::leader_first() const {
    std::vector<instance_id> list;
    if (replica_ && replica_->leader) {
        list.push_back(consensus::instance_of(*replica_->leader));
    } else if (leader_hint_) {
        list.push_back(*leader_hint_);
    }
    if (options_.replica) {
        list.push_back(options_.self);
    }
    list.insert(list.end(), options_.replicas.begin(), options_.replicas.end());
    return list;
}

void control_service::submit_anywhere(std::string bytes, std::vector<instance_id> candidates,
                                      int attempts,
                                      std::function<void(std::optional<std::string>)> done) {
    if (attempts >= max_submit_attempts || stopped_) {
        done(std::nullopt);
        return;
    }
    if (candidates.empty()) {
        candidates = leader_first();
    }
    const auto target = candidates.front();
    candidates.erase(candidates.begin());
    const auto self = shared_from_this();
    const auto on_answer = [self, bytes, candidates, attempts, target,
                            done](std::optional<std::string> reply) {
        if (reply) {
            self->leader_hint_ = target;
            done(reply);
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(self->pool_, submit_retry);
        timer->async_wait([self, timer, bytes, candidates, attempts, done](auto) {
            self->submit_anywhere(bytes, candidates, attempts + 1, done);
        });
    };
    if (target == options_.self) {
        submit_here(bytes, on_answer);
        return;
    }
    const auto payload = json{{"command", json::binary({bytes.begin(), bytes.end()})}};
    std::string packed;
    json::to_cbor(payload, packed);
    node_.ask(
        target, wire::topic::change, packed, [self, on_answer](std::optional<wire::answer> answer) {
            asio::post(self->pool_, [on_answer, answer] {
                on_answer(answer && answer->known ? std::optional{answer->payload} : std::nullopt);
            });
        });
}

void control_service::submit(control::command what,
                             std::function<void(std::optional<control::reply>)> done) {
    asio::post(pool_,
               [self = shared_from_this(), bytes = control::encode(what), done = std::move(done)] {
                   self->submit_anywhere(bytes, {}, 0, [done](std::optional<std::string> reply) {
                       done(reply ? std::optional{control::decode_reply(*reply)} : std::nullopt);
                   });
               });
}

asio::awaitable<std::optional<config::change_answer>>
control_service::propose(config::change change) {
    using reply = std::optional<control::reply>;
    std::function<void(std::function<void(reply)>)> start =
        [this, change = std::move(change)](auto done) { submit(change, std::move(done)); };
    const auto answer = co_await await_reply<reply>(std::move(start));
    if (!answer) {
        co_return std::nullopt;
    }
    co_return std::get<config::change_answer>(*answer);
}

void control_service::on_question(wire::topic about, const std::string& payload,
                                  std::function<void(wire::answer)> reply) {
    asio::post(pool_, [self = shared_from_this(), about, payload, reply = std::move(reply)] {
        if (about == wire::topic::configuration) {
            reply({.known = true, .payload = self->answer_configuration(payload)});
            return;
        }
        if (about == wire::topic::control_status) {
            const auto term = self->replica_ ? self->replica_->term.value : 0;
            reply({.known = self->options_.replica, .payload = json{{"term", term}}.dump()});
            return;
        }
        const auto joining = json::parse(payload, nullptr, false);
        if (joining.is_object() && joining.contains("join")) {
            self->take_join({joining.at("join").get<std::uint64_t>()});
            reply({.known = true, .payload = {}});
            return;
        }
        std::string command;
        try {
            const auto in = json::from_cbor(payload);
            const auto& bytes = in.at("command").get_binary();
            command.assign(bytes.begin(), bytes.end());
            static_cast<void>(control::decode_command(command));
        } catch (const std::exception&) {
            reply({});
            return;
        }
        self->submit_here(std::move(command), [reply](std::optional<std::string> done) {
            reply({.known = done.has_value(), .payload = done.value_or("")});
        });
    });
}

// --- the accepted configuration ---

std::shared_ptr<const config::state> control_service::current() const {
    const std::lock_guard lock(published_mutex_);
    return published_;
}

void control_service::publish_configuration() {
    auto next = std::make_shared<const config::state>(state_.configuration);
    {
        const std::lock_guard lock(published_mutex_);
        if (next->current.number < published_->current.number) {
            return; // a replica that replays its log must not take back what is in force
        }
        published_ = next;
    }
    on_change_(std::move(next));
}

void control_service::remember_change(const config::change& accepted, revision number) {
    recent_.emplace_back(number, accepted);
    if (recent_.size() > max_recent_changes) {
        recent_.pop_front();
    }
}

std::string control_service::answer_configuration(const std::string& payload) const {
    const auto asked = json::parse(payload, nullptr, false);
    const revision after{asked.is_object() ? asked.value("after", std::uint64_t{0}) : 0};
    const auto state = current();
    json out{{"revision", state->current.number.value}};
    const auto covers = !recent_.empty() && recent_.front().first.value <= after.value + 1 &&
                        recent_.back().first == state->current.number;
    if (!covers) {
        out["state"] = *state;
        return out.dump();
    }
    out["changes"] = json::array();
    for (const auto& [number, change] : recent_) {
        if (number > after) {
            out["changes"].push_back(change);
        }
    }
    return out.dump();
}

void control_service::on_peer_revision(instance_id peer, revision newest) {
    asio::post(pool_, [self = shared_from_this(), peer, newest] {
        const auto known = self->current()->current.number;
        if (newest <= known || self->asking_configuration_ || self->stopped_) {
            return;
        }
        self->asking_configuration_ = true;
        self->node_.ask(peer, wire::topic::configuration, json{{"after", known.value}}.dump(),
                        [self](std::optional<wire::answer> answer) {
                            asio::post(self->pool_, [self, answer] {
                                self->asking_configuration_ = false;
                                if (answer && answer->known) {
                                    self->take_configuration(answer->payload);
                                }
                            });
                        });
    });
}

void control_service::take_configuration(const std::string& payload) {
    if (replica_ && !failed_) {
        return; // a replica follows its own log
    }
    auto next = *current();
    try {
        const auto in = json::parse(payload);
        if (in.contains("state")) {
            next = in.at("state").get<config::state>();
        } else {
            for (const auto& item : in.at("changes")) {
                auto change = item.get<config::change>();
                change.expected = std::nullopt;
                const auto answer = config::apply(next, change);
                if (answer.result == config::verdict::accepted) {
                    remember_change(change, answer.number);
                }
            }
        }
        if (next.current.number.value != in.at("revision").get<std::uint64_t>()) {
            LOG(WARNING) << "a peer's changes do not lead to its revision";
            return;
        }
    } catch (const std::exception& error) {
        LOG(WARNING) << "a peer sent a malformed configuration: " << error.what();
        return;
    }
    state_.configuration = std::move(next);
    publish_configuration();
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
