#include "tarragonspar/admission/tier_queue.hpp"

#include <algorithm>

namespace tarragonspar::admission {

namespace {

/// Remembered workspaces above which idle ones are dropped.
constexpr std::size_t max_idle_lanes = 64;

/// The moment that a request is ordered by: its latency objective, or its deadline.
time_point due(const work_item& work) {
    return work.objective == time_point{} ? work.deadline : work.objective;
}

std::size_t level_of(const work_item& work) {
    return std::size_t{work.urgency.value} * rank_count + work.rank.value;
}

} // namespace

void tier_queue::push(const queued_item& item) {
    const deadline_key key{due(item.work), item.work.id};
    auto& lanes = levels_.at(level_of(item.work));
    auto& own = lanes.lanes[item.work.workspace];
    if (own.order.empty()) {
        own.virtual_time = std::max(own.virtual_time, lanes.virtual_now);
        lanes.backlogged.emplace(own.virtual_time, item.work.workspace);
    }
    const auto& kept = items_.emplace(item.work.id, item).first->second;
    own.order.emplace(key, &kept);
    lanes.order.emplace(key, &kept);
    lanes.work_seconds += item.cost_seconds;
    deadlines_.emplace(deadline_key{item.work.deadline, item.work.id}, &kept);
}

void tier_queue::unlink(const queued_item& item) {
    const deadline_key key{due(item.work), item.work.id};
    auto& lanes = levels_.at(level_of(item.work));
    auto& own = lanes.lanes.at(item.work.workspace);
    own.order.erase(key);
    lanes.order.erase(key);
    deadlines_.erase({item.work.deadline, item.work.id});
    lanes.work_seconds = lanes.order.empty() ? 0.0 : lanes.work_seconds - item.cost_seconds;
    if (own.order.empty()) {
        lanes.backlogged.erase({own.virtual_time, item.work.workspace});
        forget_idle_lanes(lanes);
    }
}

std::optional<queued_item> tier_queue::erase(const request_id& id) {
    const auto found = items_.find(id);
    if (found == items_.end()) {
        return std::nullopt;
    }
    auto item = std::move(found->second);
    items_.erase(found);
    unlink(item);
    return item;
}

void tier_queue::charge(const queued_item& item) {
    auto& lanes = levels_.at(level_of(item.work));
    auto& own = lanes.lanes[item.work.workspace];
    const auto waiting = !own.order.empty();
    if (waiting) {
        lanes.backlogged.erase({own.virtual_time, item.work.workspace});
    }
    own.virtual_time = std::max(own.virtual_time, lanes.virtual_now) + item.cost_seconds;
    if (waiting) {
        lanes.backlogged.emplace(own.virtual_time, item.work.workspace);
    }
    if (!lanes.backlogged.empty()) {
        lanes.virtual_now = std::max(lanes.virtual_now, lanes.backlogged.begin()->first);
    }
}

std::optional<queued_item> tier_queue::take(const request_id& id) {
    auto item = erase(id);
    if (item) {
        charge(*item);
    }
    return item;
}

void tier_queue::forget_idle_lanes(level_lanes& lanes) {
    if (lanes.lanes.size() - lanes.backlogged.size() <= max_idle_lanes) {
        return;
    }
    std::erase_if(lanes.lanes, [&](const auto& entry) {
        return entry.second.order.empty() &&
               (entry.second.virtual_time <= lanes.virtual_now || lanes.backlogged.empty());
    });
    if (lanes.lanes.size() - lanes.backlogged.size() <= max_idle_lanes) {
        return;
    }
    std::erase_if(lanes.lanes, [](const auto& entry) { return entry.second.order.empty(); });
}

const queued_item* tier_queue::peek_level(const level_lanes& lanes) const {
    if (lanes.backlogged.empty()) {
        return nullptr;
    }
    const auto limit = lanes.backlogged.begin()->first + options_.fairness_slack_seconds;
    const item_order::value_type* best = nullptr;
    for (const auto& [virtual_time, workspace] : lanes.backlogged) {
        if (virtual_time > limit) {
            break;
        }
        const auto& first = *lanes.lanes.at(workspace).order.begin();
        if (best == nullptr || first.first < best->first) {
            best = &first;
        }
    }
    return best->second;
}

const queued_item* tier_queue::peek(tier max_urgency) const {
    for (std::size_t level = 0; level < first_level({max_urgency.value}) + rank_count; ++level) {
        if (const auto* item = peek_level(levels_.at(level)); item != nullptr) {
            return item;
        }
    }
    return nullptr;
}

void tier_queue::collect(const level_lanes& lanes, bool on_time, std::size_t limit, time_point now,
                         std::vector<const queued_item*>& out) const {
    if (lanes.backlogged.empty()) {
        return;
    }
    // The eligible workspaces' orders are merged: one workspace that sends many times its usual
    // has most of the items, and walking past them took longer than all else.
    struct run {
        item_order::const_iterator at;
        item_order::const_iterator end;
    };
    const auto part_of = [&](const workspace_id& workspace) {
        const auto& order = lanes.lanes.at(workspace).order;
        const auto first_on_time = order.lower_bound({now, request_id{}});
        return on_time ? run{first_on_time, order.end()} : run{order.begin(), first_on_time};
    };
    const auto last = lanes.backlogged.begin()->first + options_.fairness_slack_seconds;
    std::vector<run> runs;
    auto at = lanes.backlogged.begin();
    for (; at != lanes.backlogged.end() && at->first <= last; ++at) {
        const auto part = part_of(at->second);
        if (part.at != part.end) {
            runs.push_back(part);
        }
    }
    while (!runs.empty() && out.size() < limit) {
        const auto next =
            std::min_element(runs.begin(), runs.end(),
                             [](const run& a, const run& b) { return a.at->first < b.at->first; });
        out.push_back(next->at->second);
        if (++next->at == next->end) {
            runs.erase(next);
        }
    }
    // Whoever is eligible may have to wait for one server; others of the kind don't wait for it.
    for (; at != lanes.backlogged.end() && out.size() < limit; ++at) {
        for (auto part = part_of(at->second); part.at != part.end && out.size() < limit;
             ++part.at) {
            out.push_back(part.at->second);
        }
    }
}

std::vector<const queued_item*> tier_queue::candidates(tier max_urgency, std::size_t limit,
                                                       time_point now) const {
    std::vector<const queued_item*> out;
    for (std::uint8_t urgency = 0; urgency <= max_urgency.value; ++urgency) {
        // A late answer of one kind is still worth more than one in time of the kind after the
        // next.
        for (std::size_t rank = 0; rank <= rank_count; ++rank) {
            if (rank < rank_count) {
                collect(levels_.at(first_level({urgency}) + rank), true, limit, now, out);
            }
            if (rank > 0) {
                collect(levels_.at(first_level({urgency}) + rank - 1), false, limit, now, out);
            }
        }
    }
    return out;
}

const queued_item* tier_queue::newest_of_lowest_tier() const {
    const auto* lowest = lowest_level();
    return lowest == nullptr ? nullptr : lowest->order.rbegin()->second;
}

const queued_item* tier_queue::find(const request_id& id) const {
    const auto found = items_.find(id);
    return found == items_.end() ? nullptr : &found->second;
}

const tier_queue::level_lanes* tier_queue::lowest_level() const {
    const auto found = std::find_if(levels_.rbegin(), levels_.rend(),
                                    [](const auto& lanes) { return !lanes.order.empty(); });
    return found == levels_.rend() ? nullptr : &*found;
}

std::optional<tier> tier_queue::lowest_tier() const {
    const auto* lowest = lowest_level();
    if (lowest == nullptr) {
        return std::nullopt;
    }
    return tier{static_cast<std::uint8_t>((lowest - levels_.data()) / rank_count)};
}

const queued_item* tier_queue::least_worthy(
    const std::function<bool(const queued_item&, const queued_item&)>& less_worthy) const {
    const auto* lowest = lowest_level();
    if (lowest == nullptr) {
        return nullptr;
    }
    const queued_item* worst = nullptr;
    for (const auto& [key, item] : lowest->order) {
        if (worst == nullptr || less_worthy(*item, *worst)) {
            worst = item;
        }
    }
    return worst;
}

const queued_item* tier_queue::earliest_deadline() const {
    return deadlines_.empty() ? nullptr : deadlines_.begin()->second;
}

void tier_queue::for_each(tier which, const std::function<void(const queued_item&)>& visit) const {
    for (std::size_t rank = 0; rank < rank_count; ++rank) {
        for (const auto& [key, item] : levels_.at(first_level(which) + rank).order) {
            visit(*item);
        }
    }
}

std::size_t tier_queue::size(tier which) const noexcept {
    std::size_t count = 0;
    for (std::size_t rank = 0; rank < rank_count; ++rank) {
        count += levels_[first_level(which) + rank].order.size();
    }
    return count;
}

double tier_queue::work_ahead(tier which) const noexcept {
    double work = 0.0;
    for (std::size_t level = 0; level < first_level(which) + rank_count; ++level) {
        work += levels_[level].work_seconds;
    }
    return work;
}

std::size_t tier_queue::workspace_count() const noexcept {
    std::size_t count = 0;
    for (const auto& lanes : levels_) {
        count += lanes.lanes.size();
    }
    return count;
}

} // namespace tarragonspar::admission
