#include "tarragonspar/dispatch/stream_versions.hpp"

#include <algorithm>

namespace tarragonspar::dispatch {

namespace {

/// Time past the deadline of a request for which its stream stays recorded: a route's timeout may
/// end the request before its caller stops waiting.
constexpr duration retention = std::chrono::seconds{15};
/// Time for which a version stays known after its last server left the list; longer than streams
/// last and are recorded.
constexpr duration version_memory = std::chrono::seconds{60};
/// Largest number of recorded streams: those of half a minute at several thousand a second.
constexpr std::size_t max_streams = 200'000;
/// Largest number of origins in one report.
constexpr std::size_t max_reported = 1'000;

} // namespace

time_point take_up_end(const work_item& work) noexcept {
    return work.deadline + retention;
}

void stream_versions::record_grant(const stream_origin& origin, time_point now) {
    const auto found = streams_.find(origin.stream);
    if (found == streams_.end() || !found->second.begun) {
        insert(origin, false, now);
    }
}

void stream_versions::record_begin(const stream_origin& origin, bool own, time_point now) {
    insert(origin, true, now);
    if (own) {
        own_.push_back(origin);
        ++own_recorded_;
    }
}

void stream_versions::insert(const stream_origin& origin, bool begun, time_point now) {
    forget_old(now);
    const auto [at, is_new] = streams_.try_emplace(origin.stream);
    if (is_new) {
        order_.push_back(origin.stream);
    }
    at->second = {.software = origin.software,
                  .until = std::max(at->second.until, origin.until),
                  .begun = begun};
}

void stream_versions::forget_old(time_point now) {
    while (!order_.empty()) {
        const auto found = streams_.find(order_.front());
        if (found->second.until > now && order_.size() < max_streams) {
            break;
        }
        streams_.erase(found);
        order_.pop_front();
    }
    while (!own_.empty() && (own_.front().until <= now || own_.size() >= max_streams)) {
        own_.pop_front();
    }
}

void stream_versions::record_servers(const std::vector<config::server>& listed, time_point now) {
    for (auto& [service, versions] : versions_) {
        for (auto& [software, known] : versions) {
            known.last_listed = known.is_listed ? now : known.last_listed;
            known.is_listed = false;
        }
        std::erase_if(versions, [&](const auto& item) {
            return now - item.second.last_listed >= version_memory;
        });
    }
    std::erase_if(versions_, [](const auto& item) { return item.second.empty(); });
    for (const auto& server : listed) {
        if (server.software_version.empty()) {
            continue;
        }
        for (const auto& name : server.offers) {
            versions_[{hash_name(name)}][software_of(server)] = {.last_listed = now,
                                                                 .is_listed = true};
        }
    }
}

std::optional<software_id> stream_versions::find(std::uint64_t stream, time_point now) const {
    const auto found = streams_.find(stream);
    return found == streams_.end() || found->second.until <= now
               ? std::nullopt
               : std::optional{found->second.software};
}

bool stream_versions::has_several(model_id service, time_point now) const {
    const auto found = versions_.find(service);
    return found != versions_.end() &&
           std::count_if(found->second.begin(), found->second.end(), [&](const auto& item) {
               return item.second.is_listed || now - item.second.last_listed < version_memory;
           }) > 1;
}

version_choice stream_versions::choose(const work_item& work, time_point now) const {
    if (work.software != software_id{} || work.resumed_stream == 0) {
        return {.source = version_source::any, .software = work.software};
    }
    if (const auto recorded = find(work.resumed_stream, now)) {
        return {.source = version_source::recorded, .software = *recorded};
    }
    if (work.several_versions || has_several(work.model, now)) {
        return {.source = version_source::unknown, .software = {}};
    }
    const auto found = versions_.find(work.model);
    if (found == versions_.end()) {
        return {.source = version_source::any, .software = {}};
    }
    const auto& versions = found->second;
    const auto only = std::find_if(versions.begin(), versions.end(),
                                   [](const auto& item) { return item.second.is_listed; });
    return only == versions.end()
               ? version_choice{.source = version_source::unknown, .software = {}}
               : version_choice{.source = version_source::only, .software = only->first};
}

stream_versions::own_origins stream_versions::own_after(std::uint64_t after, time_point now) const {
    own_origins out{.list = {}, .last = after};
    const auto first_kept = own_recorded_ - own_.size();
    auto number = std::max(after, first_kept);
    for (; number < own_recorded_ && out.list.size() < max_reported; ++number) {
        const auto& origin = own_[static_cast<std::size_t>(number - first_kept)];
        if (origin.until > now) {
            out.list.push_back(origin);
        }
        out.last = number + 1;
    }
    return out;
}

} // namespace tarragonspar::dispatch
