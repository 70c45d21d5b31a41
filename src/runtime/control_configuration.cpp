#include "tarragonspar/runtime/control_service.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/// Recent changes kept so that peers can catch up without the complete configuration.
constexpr std::size_t max_recent_changes = 256;
/// Time for which a confirmation of the configuration in force counts. It bounds the reads that
/// callers can cause.
constexpr duration confirmation_validity = std::chrono::seconds{1};
/// Time after which the configuration counts as not confirmed.
constexpr duration confirmation_timeout = std::chrono::seconds{1};
/// Interval between two attempts to find a leader that confirms the configuration.
constexpr auto confirmation_interval = std::chrono::milliseconds{100};
/// Field of a query for the configuration that only a leader may answer, by a linearizable read.
constexpr const char* confirm_field = "confirm";
/// Field of the answer to such a query.
constexpr const char* confirmed_field = "confirmed";

} // namespace

std::shared_ptr<const config::state> control_service::current() const {
    const std::lock_guard lock(published_mutex_);
    return published_;
}

void control_service::publish_configuration() {
    auto next = std::make_shared<const config::state>(state_.configuration);
    {
        const std::lock_guard lock(published_mutex_);
        if (next->current.number < published_->current.number) {
            return; // a replica that replays its log must not revert the configuration in force
        }
        published_ = next;
    }
    on_change_(std::move(next));
    check_confirmation();
}

void control_service::add_recent_change(const config::change& accepted, revision number) {
    recent_changes_.emplace_back(number, accepted);
    if (recent_changes_.size() > max_recent_changes) {
        recent_changes_.pop_front();
    }
}

std::string control_service::answer_configuration(const std::string& payload) const {
    const auto query = json::parse(payload, nullptr, false);
    const revision after{query.is_object() ? query.value("after", std::uint64_t{0}) : 0};
    const auto state = current();
    json out{{"revision", state->current.number.value}};
    const auto is_newest = after == state->current.number;
    const auto covers = is_newest || (!recent_changes_.empty() &&
                                      recent_changes_.front().first.value <= after.value + 1 &&
                                      recent_changes_.back().first == state->current.number);
    if (!covers) {
        out["state"] = *state;
        return out.dump();
    }
    out["changes"] = json::array();
    for (const auto& [number, change] : recent_changes_) {
        if (number > after) {
            out["changes"].push_back(change);
        }
    }
    return out.dump();
}

void control_service::answer_configuration_query(const std::string& payload,
                                                 std::function<void(wire::answer)> reply) {
    const auto query = json::parse(payload, nullptr, false);
    if (!query.is_object() || !query.contains(confirm_field)) {
        reply({.known = true, .payload = answer_configuration(payload)});
        return;
    }
    read_locally([self = shared_from_this(), payload,
                  reply = std::move(reply)](const std::optional<config::document>& read) {
        if (!read) {
            reply({});
            return;
        }
        auto out = json::parse(self->answer_configuration(payload));
        out[confirmed_field] = true;
        reply({.known = true, .payload = out.dump()});
    });
}

// --- confirming the configuration in force ---

void control_service::confirm_configuration(std::function<void(bool)> done) {
    asio::post(pool_, [self = shared_from_this(), done = std::move(done)]() mutable {
        if (self->stopped_) {
            return;
        }
        if (self->confirmed_at_ && now() - *self->confirmed_at_ < confirmation_validity) {
            done(true);
            return;
        }
        self->waiting_confirmations_.push_back(std::move(done));
        if (self->waiting_confirmations_.size() == 1) {
            self->confirm_deadline_ = now() + confirmation_timeout;
            self->try_confirm();
        }
    });
}

void control_service::try_confirm() {
    if (stopped_ || waiting_confirmations_.empty()) {
        return;
    }
    if (now() >= confirm_deadline_) {
        end_confirmation(false);
        return;
    }
    ask_leader_for_configuration();
    if (waiting_confirmations_.empty()) {
        return; // this instance leads a group of one
    }
    confirm_timer_.expires_after(confirmation_interval);
    confirm_timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto service = self.lock();
        if (!error && service) {
            service->try_confirm();
        }
    });
}

void control_service::ask_leader_for_configuration() {
    const auto known = current()->current.number;
    const auto asked_at = now();
    const auto self = shared_from_this();
    // Only the leader confirms; it may have changed, so all replicas are asked.
    const auto payload = json{{"after", known.value}, {confirm_field, true}}.dump();
    for (const auto peer : other_replicas()) {
        node_.ask(peer, wire::topic::configuration, payload,
                  [self, known, asked_at](const std::optional<wire::answer>& answer) {
                      if (!answer || !answer->known) {
                          return;
                      }
                      asio::post(self->pool_, [self, known, asked_at, payload = answer->payload] {
                          self->on_newest_configuration(payload, known, asked_at);
                      });
                  });
    }
    read_locally([self, asked_at](const std::optional<config::document>& read) {
        if (read) {
            self->on_newest_revision(self->current()->current.number, asked_at);
        }
    });
}

void control_service::on_newest_configuration(const std::string& payload, revision known,
                                              time_point asked_at) {
    const auto in = json::parse(payload, nullptr, false);
    const auto is_confirmed = in.is_object() && in.contains(confirmed_field) &&
                              in.contains("revision") && in.at("revision").is_number_unsigned();
    if (stopped_ || !is_confirmed) {
        return; // an instance of an earlier version does not know such queries
    }
    const revision newest{in.at("revision").get<std::uint64_t>()};
    // The changes in the answer follow `known`.
    if (newest > known && current()->current.number == known) {
        apply_configuration(payload);
    }
    on_newest_revision(newest, asked_at);
}

void control_service::on_newest_revision(revision newest, time_point asked_at) {
    // The first statement is kept: while changes follow each other, the revision in force here is
    // always behind the latest one.
    if (!unapplied_newest_) {
        unapplied_newest_ = {.number = newest, .asked_at = asked_at};
    }
    check_confirmation();
}

void control_service::check_confirmation() {
    if (!unapplied_newest_ || current()->current.number < unapplied_newest_->number) {
        return;
    }
    const auto asked_at = unapplied_newest_->asked_at;
    unapplied_newest_.reset();
    confirmed_at_ = std::max(confirmed_at_.value_or(asked_at), asked_at);
    is_confirmed_ = true;
    if (now() - *confirmed_at_ < confirmation_validity) {
        end_confirmation(true);
    }
}

void control_service::end_confirmation(bool confirmed) {
    confirm_timer_.cancel();
    for (const auto& done : std::exchange(waiting_confirmations_, {})) {
        done(confirmed);
    }
}

void control_service::on_peer_revision(instance_id peer, revision newest) {
    asio::post(pool_, [self = shared_from_this(), peer, newest] {
        const auto known = self->current()->current.number;
        if (newest <= known || self->configuration_requested_ || self->stopped_) {
            return;
        }
        self->configuration_requested_ = true;
        self->node_.ask(peer, wire::topic::configuration, json{{"after", known.value}}.dump(),
                        [self](std::optional<wire::answer> answer) {
                            asio::post(self->pool_, [self, answer] {
                                self->configuration_requested_ = false;
                                if (answer && answer->known) {
                                    self->apply_configuration(answer->payload);
                                }
                            });
                        });
    });
}

void control_service::apply_configuration(const std::string& payload) {
    if (replica_ && !failed_) {
        return; // a replica applies only its own log
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
                if (answer.result == config::change_result::accepted) {
                    add_recent_change(change, answer.number);
                }
            }
        }
        if (next.current.number.value != in.at("revision").get<std::uint64_t>()) {
            LOG(WARNING) << "ignored configuration changes from a peer: they do not result in the "
                            "peer's revision";
            return;
        }
    } catch (const std::exception& error) {
        LOG(WARNING) << "ignored a malformed configuration from a peer: " << error.what();
        return;
    }
    state_.configuration = std::move(next);
    publish_configuration();
}

} // namespace tarragonspar::runtime
