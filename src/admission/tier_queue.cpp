#include "tarragonspar/admission/tier_queue.hpp"

#include <algorithm>

namespace tarragonspar::admission {

namespace {

/// Number of idle flows above which they are evicted.
constexpr std::size_t max_idle_flows = 64;

/// Separates the requests that continue, by deadline, from all others, which come after them.
constexpr time_point first_due_of_new{duration::min() / 2};
/// Candidates of one rank that continue and need the same software version, or any. They may wait
/// for a few servers only, while others are free.
constexpr std::size_t max_continuing_alike = 2;
/// Divides the number of candidates. The quotient bounds the requests of one rank that continue.
constexpr std::size_t continuing_divisor = 2;
/// Requests of one rank that continue among which the candidates are found.
constexpr std::size_t max_continuing_visited = 64;

/// Returns the time that a request is ordered by: its latency objective if it has one, else its
/// deadline. The objective of a request that continues was for the beginning of its answer.
time_point due(const work_item& work) {
    if (continues(work)) {
        return time_point::min() + work.deadline.time_since_epoch();
    }
    return work.objective == time_point{} ? work.deadline : work.objective;
}

/// Returns an item's part of the work that new requests wait for. Requests that need one software
/// version may wait for servers that new ones can do without.
double new_work_seconds(const queued_item& item) {
    return item.work.software != software_id{} ? 0.0 : item.cost_seconds;
}

std::size_t level_of(const work_item& work) {
    return std::size_t{work.urgency.value} * rank_count + work.rank.value;
}

} // namespace

void tier_queue::push(const queued_item& item) {
    const deadline_key key{due(item.work), item.work.id};
    auto& level = levels_.at(level_of(item.work));
    auto& flow_state = level.flows[item.work.workspace];
    if (flow_state.order.empty()) {
        flow_state.virtual_time = std::max(flow_state.virtual_time, level.virtual_now);
        level.backlogged.emplace(flow_state.virtual_time, item.work.workspace);
    }
    const auto& stored = items_.emplace(item.work.id, item).first->second;
    flow_state.order.emplace(key, &stored);
    level.order.emplace(key, &stored);
    level.work_seconds += new_work_seconds(item);
    deadlines_.emplace(deadline_key{item.work.deadline, item.work.id}, &stored);
}

void tier_queue::unlink(const queued_item& item) {
    const deadline_key key{due(item.work), item.work.id};
    auto& level = levels_.at(level_of(item.work));
    auto& flow_state = level.flows.at(item.work.workspace);
    flow_state.order.erase(key);
    level.order.erase(key);
    deadlines_.erase({item.work.deadline, item.work.id});
    level.work_seconds = level.order.empty() ? 0.0 : level.work_seconds - new_work_seconds(item);
    if (flow_state.order.empty()) {
        level.backlogged.erase({flow_state.virtual_time, item.work.workspace});
        evict_idle_flows(level);
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
    auto& level = levels_.at(level_of(item.work));
    auto& flow_state = level.flows[item.work.workspace];
    const auto waiting = !flow_state.order.empty();
    if (waiting) {
        level.backlogged.erase({flow_state.virtual_time, item.work.workspace});
    }
    flow_state.virtual_time =
        std::max(flow_state.virtual_time, level.virtual_now) + item.cost_seconds;
    if (waiting) {
        level.backlogged.emplace(flow_state.virtual_time, item.work.workspace);
    }
    if (!level.backlogged.empty()) {
        level.virtual_now = std::max(level.virtual_now, level.backlogged.begin()->first);
    }
}

std::optional<queued_item> tier_queue::dequeue(const request_id& id) {
    auto item = erase(id);
    if (item) {
        charge(*item);
    }
    return item;
}

void tier_queue::evict_idle_flows(priority_level& level) {
    if (level.flows.size() - level.backlogged.size() <= max_idle_flows) {
        return;
    }
    std::erase_if(level.flows, [&](const auto& entry) {
        return entry.second.order.empty() &&
               (entry.second.virtual_time <= level.virtual_now || level.backlogged.empty());
    });
    if (level.flows.size() - level.backlogged.size() <= max_idle_flows) {
        return;
    }
    std::erase_if(level.flows, [](const auto& entry) { return entry.second.order.empty(); });
}

const queued_item* tier_queue::peek_level(const priority_level& level) const {
    if (level.backlogged.empty()) {
        return nullptr;
    }
    const auto limit = level.backlogged.begin()->first + options_.fairness_slack_seconds;
    const item_order::value_type* best = nullptr;
    for (const auto& [virtual_time, workspace] : level.backlogged) {
        if (virtual_time > limit) {
            break;
        }
        const auto& first = *level.flows.at(workspace).order.begin();
        if (best == nullptr || first.first < best->first) {
            best = &first;
        }
    }
    return best->second;
}

const queued_item* tier_queue::peek(tier max_tier) const {
    for (std::size_t level = 0; level < first_level({max_tier.value}) + rank_count; ++level) {
        if (const auto* item = peek_level(levels_.at(level)); item != nullptr) {
            return item;
        }
    }
    return nullptr;
}

void tier_queue::collect(const priority_level& level, selection which, std::size_t limit,
                         time_point now, std::vector<const queued_item*>& out) const {
    if (level.backlogged.empty()) {
        return;
    }
    // Merges the orders of the eligible workspaces. A workspace that sends many times its usual
    // load has most of the items, and iterating over all of them dominated the run time.
    struct item_range {
        item_order::const_iterator at;
        item_order::const_iterator end;
    };
    const auto range_of = [&](const workspace_id& workspace) {
        const auto& order = level.flows.at(workspace).order;
        const auto first_new = order.lower_bound({first_due_of_new, request_id{}});
        if (which == selection::continuing) {
            return item_range{order.begin(), first_new};
        }
        const auto first_on_time =
            order.lower_bound({std::max(now, first_due_of_new), request_id{}});
        return which == selection::on_time ? item_range{first_on_time, order.end()}
                                           : item_range{first_new, first_on_time};
    };
    const auto last = level.backlogged.begin()->first + options_.fairness_slack_seconds;
    std::vector<item_range> ranges;
    auto at = level.backlogged.begin();
    for (; at != level.backlogged.end() && at->first <= last; ++at) {
        const auto range = range_of(at->second);
        if (range.at != range.end) {
            ranges.push_back(range);
        }
    }
    while (!ranges.empty() && out.size() < limit) {
        const auto next = std::min_element(
            ranges.begin(), ranges.end(),
            [](const item_range& a, const item_range& b) { return a.at->first < b.at->first; });
        out.push_back(next->at->second);
        if (++next->at == next->end) {
            ranges.erase(next);
        }
    }
    // An eligible request may have to wait for one particular server; others of its rank need not.
    for (; at != level.backlogged.end() && out.size() < limit; ++at) {
        for (auto range = range_of(at->second); range.at != range.end && out.size() < limit;
             ++range.at) {
            out.push_back(range.at->second);
        }
    }
}

void tier_queue::collect_continuing(const priority_level& level, std::size_t limit,
                                    std::vector<const queued_item*>& out) const {
    std::vector<const queued_item*> all;
    collect(level, selection::continuing, max_continuing_visited, time_point::min(), all);
    std::map<software_id, std::size_t> alike;
    for (const auto* item : all) {
        if (out.size() >= limit) {
            return;
        }
        if (++alike[item->work.software] <= max_continuing_alike) {
            out.push_back(item);
        }
    }
}

std::vector<const queued_item*> tier_queue::candidates(tier max_tier, std::size_t limit,
                                                       time_point now) const {
    std::vector<const queued_item*> out;
    for (std::uint8_t urgency = 0; urgency <= max_tier.value; ++urgency) {
        // A late answer of one rank is still worth more than a timely one two ranks below.
        for (std::size_t rank = 0; rank <= rank_count; ++rank) {
            if (rank < rank_count) {
                const auto& level = levels_.at(first_level({urgency}) + rank);
                collect_continuing(level, std::min(limit, out.size() + limit / continuing_divisor),
                                   out);
                collect(level, selection::on_time, limit, now, out);
            }
            if (rank > 0) {
                collect(levels_.at(first_level({urgency}) + rank - 1), selection::late, limit, now,
                        out);
            }
        }
    }
    return out;
}

const queued_item* tier_queue::latest_due_of_lowest_tier() const {
    const auto* lowest = lowest_level();
    return lowest == nullptr ? nullptr : lowest->order.rbegin()->second;
}

const queued_item* tier_queue::latest_due_new() const {
    for (auto level = levels_.rbegin(); level != levels_.rend(); ++level) {
        if (!level->order.empty() && !continues(level->order.rbegin()->second->work)) {
            return level->order.rbegin()->second;
        }
    }
    return nullptr;
}

const queued_item* tier_queue::find(const request_id& id) const {
    const auto found = items_.find(id);
    return found == items_.end() ? nullptr : &found->second;
}

const tier_queue::priority_level* tier_queue::lowest_level() const {
    const auto found = std::find_if(levels_.rbegin(), levels_.rend(),
                                    [](const auto& level) { return !level.order.empty(); });
    return found == levels_.rend() ? nullptr : &*found;
}

std::optional<tier> tier_queue::lowest_tier() const {
    const auto* lowest = lowest_level();
    if (lowest == nullptr) {
        return std::nullopt;
    }
    return tier{static_cast<std::uint8_t>((lowest - levels_.data()) / rank_count)};
}

const queued_item* tier_queue::first_to_shed(
    const std::function<bool(const queued_item&, const queued_item&)>& shed_before) const {
    const auto* lowest = lowest_level();
    if (lowest == nullptr) {
        return nullptr;
    }
    const queued_item* chosen = nullptr;
    for (const auto& [key, item] : lowest->order) {
        if (chosen == nullptr || shed_before(*item, *chosen)) {
            chosen = item;
        }
    }
    return chosen;
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
    for (const auto& level : levels_) {
        count += level.flows.size();
    }
    return count;
}

} // namespace tarragonspar::admission
