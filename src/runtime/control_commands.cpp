#include "tarragonspar/runtime/control_service.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/await_reply.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/types/cbor.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/// Interval between two requests to become a voter.
constexpr duration join_interval = std::chrono::milliseconds{500};
/// Time without a leader after which a voter may have been removed; elections take less.
constexpr duration assume_removed_after = std::chrono::seconds{3};
/// Delay before a command is sent to the next candidate.
constexpr auto submit_retry_delay = std::chrono::milliseconds{100};
/// Attempts to send a command before its result counts as unknown.
constexpr int max_submit_attempts = 40;

/// Returns the newest uncommitted command with these bytes, if any.
const consensus::entry* find_uncommitted(const consensus::replica& source,
                                         const std::string& bytes) {
    for (auto item = source.entries.rbegin(); item != source.entries.rend(); ++item) {
        if (item->index <= source.commit) {
            return nullptr;
        }
        if (item->kind == consensus::entry_kind::command && item->data == bytes) {
            return &*item;
        }
    }
    return nullptr;
}

} // namespace

void control_service::request_join() {
    const auto time = now_with_suspension();
    if (!replica_ || time < next_join_) {
        return;
    }
    const auto voters = current_group(*replica_).voters;
    const auto is_voter = std::find(voters.begin(), voters.end(), replica_->self) != voters.end();
    // A removed voter is not notified, and its own log ends before its removal. The leader ignores
    // the request of a replica that is still a voter.
    const auto may_be_removed = options_.open_group && !replica_->leader &&
                                time - replica_->leader_last_seen > assume_removed_after;
    if (is_voter && !may_be_removed) {
        return;
    }
    next_join_ = time + join_interval;
    const auto payload = json{{"join", replica_->self.value}}.dump();
    for (const auto peer : other_replicas()) {
        node_.ask(peer, wire::topic::change, payload, [](std::optional<wire::answer>) {});
    }
}

void control_service::forward_join(consensus::replica_id joining) {
    const auto leader = replica_ ? replica_->leader : std::nullopt;
    if (!leader || *leader == replica_->self) {
        return; // the replica retries
    }
    const auto payload = json{{"join", joining.value}, {"passed_on", true}}.dump();
    node_.ask(consensus::instance_of(*leader), wire::topic::change, payload,
              [](std::optional<wire::answer>) {});
}

void control_service::handle_join(consensus::replica_id joining) {
    if (!replica_ || replica_->current != consensus::role::leader) {
        return;
    }
    const auto time = now_with_suspension();
    control::update_term(group_changes_, *replica_, time);
    const auto voters = current_group(*replica_).voters;
    if (std::find(voters.begin(), voters.end(), joining) != voters.end()) {
        // A voter asks when it hears of no leader: it lives, although this leader may not reach it.
        control::record_heard_of(group_changes_, joining, time);
        return;
    }
    auto next = control::add_learner(*replica_, joining);
    if (!next) {
        return; // the replica asks again
    }
    propose_member("control_admits", joining, std::move(*next));
}

void control_service::submit_locally(const control::command& command, std::string bytes,
                                     std::function<void(std::optional<std::string>)> done) {
    if (!replica_ || failed_ || replica_->current != consensus::role::leader) {
        done(std::nullopt);
        return;
    }
    auto respond = [done = std::move(done)](const std::optional<control::reply>& reply) {
        done(reply ? std::optional{control::encode(*reply)} : std::nullopt);
    };
    if (const auto* document = std::get_if<config::document>(&command)) {
        // A document in force is committed; only a newer one changes the state.
        if (document->number <= state_.published.number) {
            respond(control::apply(state_, command));
            return;
        }
        if (const auto* waiting = find_uncommitted(*replica_, bytes)) {
            waiting_proposals_.emplace(
                waiting->index,
                waiting_proposal{.term = waiting->term, .done = std::move(respond)});
            return;
        }
    }
    const auto token = ++next_token_;
    proposals_.emplace(token, std::move(respond));
    step(consensus::propose{.token = token, .data = std::move(bytes)});
}

std::vector<instance_id> control_service::candidates_leader_first() const {
    std::vector<instance_id> list;
    if (replica_ && replica_->leader) {
        list.push_back(consensus::instance_of(*replica_->leader));
    } else if (leader_hint_) {
        list.push_back(*leader_hint_);
    }
    if (options_.replica) {
        list.push_back(options_.self);
    }
    const auto others = other_replicas();
    list.insert(list.end(), others.begin(), others.end());
    return list;
}

void control_service::submit_to_leader(submission pending) {
    if (pending.attempts >= max_submit_attempts || stopped_) {
        pending.done(std::nullopt, pending);
        return;
    }
    if (pending.candidates.empty()) {
        pending.candidates = candidates_leader_first();
    }
    const auto target = pending.candidates.front();
    pending.candidates.erase(pending.candidates.begin());
    ++pending.attempts;
    const auto self = shared_from_this();
    const auto on_answer = [self, target, pending](const std::optional<std::string>& reply) {
        if (reply) {
            self->leader_hint_ = target;
            auto ended = pending;
            ended.through = target;
            ended.done(reply, ended);
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(self->pool_, submit_retry_delay);
        timer->async_wait([self, timer, pending](auto) { self->submit_to_leader(pending); });
    };
    if (target == options_.self) {
        const auto command = control::decode_command(pending.bytes);
        submit_locally(command, std::move(pending.bytes), on_answer);
        return;
    }
    const auto payload =
        json{{"command", json::binary({pending.bytes.begin(), pending.bytes.end()})}};
    std::string encoded;
    json::to_cbor(payload, encoded);
    node_.ask(target, wire::topic::change, encoded,
              [self, on_answer](std::optional<wire::answer> answer) {
                  asio::post(self->pool_, [on_answer, answer] {
                      on_answer(answer && answer->known ? std::optional{answer->payload}
                                                        : std::nullopt);
                  });
              });
}

void control_service::submit(control::command command,
                             std::function<void(std::optional<control::reply>)> done) {
    asio::post(pool_, [self = shared_from_this(), bytes = control::encode(command),
                       done = std::move(done)] {
        submission pending{.bytes = bytes};
        pending.done = [done](const std::optional<std::string>& reply, const submission&) {
            done(reply ? std::optional{control::decode_reply(*reply)} : std::nullopt);
        };
        self->submit_to_leader(std::move(pending));
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

void control_service::on_query(wire::topic about, const std::string& payload,
                               std::function<void(wire::answer)> reply) {
    asio::post(pool_, [self = shared_from_this(), about, payload, reply = std::move(reply)] {
        if (about == wire::topic::configuration) {
            self->answer_configuration_query(payload, reply);
            return;
        }
        if (about == wire::topic::control_status) {
            json status{{"term", self->replica_ ? self->replica_->term.value : 0}};
            if (self->disk_) {
                status["disk"] = *self->disk_;
            }
            if (self->replica_ && self->replica_->leader) {
                status["leader"] = consensus::instance_of(*self->replica_->leader).value;
            }
            reply({.known = self->options_.replica, .payload = status.dump()});
            return;
        }
        if (about == wire::topic::published) {
            self->read_locally([reply](std::optional<config::document> newest) {
                reply({.known = newest.has_value(),
                       .payload = newest ? cbor::encode(json(*newest)) : std::string{}});
            });
            return;
        }
        const auto joining = json::parse(payload, nullptr, false);
        if (joining.is_object() && joining.contains("join")) {
            const consensus::replica_id id{joining.at("join").get<std::uint64_t>()};
            // Forwarded only once, since two members may each consider the other the leader.
            if (!joining.contains("passed_on")) {
                self->forward_join(id);
            }
            self->handle_join(id);
            reply({.known = true, .payload = {}});
            return;
        }
        std::string bytes;
        control::command command;
        try {
            const auto in = json::from_cbor(payload);
            const auto& binary = in.at("command").get_binary();
            bytes.assign(binary.begin(), binary.end());
            command = control::decode_command(bytes);
        } catch (const std::exception&) {
            reply({});
            return;
        }
        self->submit_locally(command, std::move(bytes), [reply](std::optional<std::string> done) {
            reply({.known = done.has_value(), .payload = done.value_or("")});
        });
    });
}

} // namespace tarragonspar::runtime
