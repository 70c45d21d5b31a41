#include "tarragonspar/membership/view.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace tarragonspar::membership {

namespace {

std::uint8_t transmission_limit(const view& source) {
    const auto doublings = std::bit_width(source.others.size() + 1);
    return static_cast<std::uint8_t>(source.options.retransmit_multiplier * doublings);
}

void update(view& target, member_state& state, const member& statement, time_point now) {
    state.what = statement;
    state.changed = now;
    state.transmissions_left = transmission_limit(target);
}

void refute(view& target, const member& statement) {
    if (statement.started_as != target.self.started_as || statement.version < target.self.version ||
        statement.status == target.self.status) {
        return;
    }
    target.self.version = statement.version + 1;
}

} // namespace

bool overrules(const member& a, const member& b) noexcept {
    return std::tuple(a.started_as, a.version, a.status) >
           std::tuple(b.started_as, b.version, b.status);
}

view make_view(const view_options& options, const member& self,
               const std::vector<instance_id>& peers, time_point now) {
    view out{.options = options, .self = self};
    for (const auto peer : peers) {
        if (peer == self.id) {
            continue;
        }
        out.others.emplace(
            peer,
            member_state{.what = {.id = peer, .status = member_status::suspect}, .changed = now});
    }
    return out;
}

bool apply_update(view& target, const member& statement, time_point now) {
    if (statement.id == target.self.id) {
        refute(target, statement);
        return false;
    }
    const auto found = target.others.find(statement.id);
    if (found == target.others.end()) {
        return false;
    }
    auto& state = found->second;
    if (state.observed && !overrules(statement, state.what)) {
        return false;
    }
    state.observed = true;
    update(target, state, statement, now);
    return true;
}

std::optional<instance_id> next_target(view& target, std::mt19937_64& random) {
    if (target.round.empty()) {
        for (const auto& [id, state] : target.others) {
            target.round.push_back(id);
        }
        std::shuffle(target.round.begin(), target.round.end(), random);
    }
    if (target.round.empty()) {
        return std::nullopt;
    }
    const auto chosen = target.round.back();
    target.round.pop_back();
    return chosen;
}

void on_probe_timeout(view& target, instance_id peer, time_point now) {
    const auto found = target.others.find(peer);
    if (found == target.others.end()) {
        return;
    }
    auto& state = found->second;
    auto statement = state.what;
    if (statement.status == member_status::alive) {
        statement.status = member_status::suspect;
    } else if (statement.status == member_status::leaving) {
        statement.status = member_status::dead;
    } else {
        return;
    }
    update(target, state, statement, now);
}

bool expire_suspects(view& target, time_point now) {
    bool changed = false;
    for (auto& [id, state] : target.others) {
        if (state.what.status != member_status::suspect ||
            now - state.changed < target.options.suspicion_timeout) {
            continue;
        }
        auto statement = state.what;
        statement.status = member_status::dead;
        update(target, state, statement, now);
        changed = true;
    }
    return changed;
}

std::vector<member> updates_to_send(view& target) {
    std::vector<member_state*> pending;
    for (auto& [id, state] : target.others) {
        if (state.observed && state.transmissions_left > 0) {
            pending.push_back(&state);
        }
    }
    std::stable_sort(pending.begin(), pending.end(), [](const auto* a, const auto* b) {
        return a->transmissions_left > b->transmissions_left;
    });
    if (pending.size() > target.options.max_updates) {
        pending.resize(target.options.max_updates);
    }
    std::vector<member> out;
    for (auto* state : pending) {
        --state->transmissions_left;
        out.push_back(state->what);
    }
    return out;
}

void announce_shutdown(view& target) {
    target.self.status = member_status::leaving;
    ++target.self.version;
}

std::vector<instance_id> usable_instances(const view& source) {
    std::vector<instance_id> ids;
    if (source.self.status == member_status::alive) {
        ids.push_back(source.self.id);
    }
    for (const auto& [id, state] : source.others) {
        const auto status = state.what.status;
        if (state.observed &&
            (status == member_status::alive || status == member_status::suspect)) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<incarnation> live_incarnation(const view& source, instance_id peer) {
    const auto found = source.others.find(peer);
    if (found == source.others.end() || !found->second.observed ||
        found->second.what.status == member_status::dead) {
        return std::nullopt;
    }
    return found->second.what.started_as;
}

} // namespace tarragonspar::membership
