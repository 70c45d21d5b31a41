#include "tarragonspar/runtime/control_service.hpp"

#include <boost/asio/post.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace tarragonspar::runtime {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

/// Recent changes kept so that peers can catch up without the complete configuration.
constexpr std::size_t max_recent_changes = 256;

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
    const auto covers = !recent_changes_.empty() &&
                        recent_changes_.front().first.value <= after.value + 1 &&
                        recent_changes_.back().first == state->current.number;
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
