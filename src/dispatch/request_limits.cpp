#include "tarragonspar/dispatch/request_limits.hpp"

#include <algorithm>

namespace tarragonspar::dispatch {

namespace {

/// Time over which unused requests add up. Users bound the requests in four seconds, with an
/// addition of half of them.
constexpr double burst_seconds = 0.5;
/// Lowest rate, in requests a second, at which a limited server is asked whether its limit has
/// ended. Users tolerate five requests in four seconds whatever the limit.
constexpr double min_rate = 0.25;

/// Statements of others that repeat the known limit count as newer only from this difference on:
/// ages in messages are inexact, and a statement must not become newer by being passed around.
constexpr duration min_refresh = std::chrono::milliseconds{500};

double usable_rate(double per_second, double share) {
    return std::max(per_second, min_rate) * share;
}

} // namespace

bool request_limits::record_answer(server_id server, std::optional<double> per_second,
                                   time_point sent, time_point now) {
    const auto found = limits_.find(server);
    const auto known = found != limits_.end() ? found->second.per_second : std::nullopt;
    if (!per_second && (!known || sent <= found->second.at)) {
        return false;
    }
    const auto changed = known != per_second;
    merge({.server = server, .per_second = per_second, .at = now}, now);
    auto& limit = limits_.at(server);
    limit.at = now;
    limit.own = true;
    return changed;
}

bool request_limits::merge(const limit_statement& told, time_point now) {
    const auto [found, is_new] =
        limits_.try_emplace(told.server, limited_server{.at = time_point::min()});
    auto& limit = found->second;
    if (told.at < limit.at) {
        return false;
    }
    const auto changed = limit.per_second != told.per_second;
    if (!changed && !is_new && told.at < limit.at + min_refresh) {
        return false;
    }
    if (!limit.per_second) {
        // The server was just sent what its slots allowed.
        limit.available = 0.0;
        limit.available_at = now;
    }
    limit.per_second = told.per_second;
    limit.at = told.at;
    limit.own = limit.own && !changed;
    return changed;
}

double request_limits::available(const limited_server& of, double share, time_point now) {
    const auto rate = usable_rate(*of.per_second, share);
    const auto most = std::max(1.0, rate * burst_seconds);
    return std::min(most, of.available + rate * to_seconds(now - of.available_at));
}

bool request_limits::allows(server_id server, double share, time_point now) const {
    if (limits_.empty()) {
        return true;
    }
    const auto found = limits_.find(server);
    return found == limits_.end() || !found->second.per_second ||
           available(found->second, share, now) >= 1.0;
}

void request_limits::take(server_id server, double share, time_point now) {
    const auto found = limits_.find(server);
    if (found == limits_.end() || !found->second.per_second) {
        return;
    }
    found->second.available = std::max(0.0, available(found->second, share, now) - 1.0);
    found->second.available_at = now;
}

std::optional<double> request_limits::find(server_id server) const {
    const auto found = limits_.find(server);
    return found == limits_.end() ? std::nullopt : found->second.per_second;
}

std::vector<limit_statement> request_limits::statements(bool own_only) const {
    std::vector<limit_statement> out;
    for (const auto& [server, limit] : limits_) {
        if (limit.own || !own_only) {
            out.push_back({.server = server, .per_second = limit.per_second, .at = limit.at});
        }
    }
    return out;
}

} // namespace tarragonspar::dispatch
