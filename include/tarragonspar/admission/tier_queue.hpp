#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "tarragonspar/types/work.hpp"

namespace tarragonspar::admission {

/// @brief A request waiting for a backend server.
struct queued_item {
    work_item work;
    double cost_seconds{}; ///< predicted time on a backend server, for fairness and wait estimates
    int failed_dispatches{}; ///< dispatches that ended before the first byte was written
};

/// @brief Limits of one queue.
struct queue_options {
    /// Lead that one workspace may have over the least served one before deadlines stop deciding.
    double fairness_slack_seconds{2.0};
};

/// @brief Requests that wait for one model or service, by tier, workspace and deadline.
///
/// The next item comes from the most urgent tier that has any. Inside a tier, requests that can
/// still meet their latency objective go first, by the rank of their kind; inside a rank,
/// workspaces are served by start-time fair queueing: a workspace is eligible while the work it has
/// received exceeds the least served one's by no more than the slack; among the eligible ones the
/// earliest deadline wins.
class tier_queue {
public:
    explicit tier_queue(const queue_options& options = {}) : options_(options) {}

    /// @brief Adds an item; its id must not be queued yet.
    /// @par Complexity  logarithmic in the queued items and the waiting workspaces
    void push(const queued_item& item);

    /// @brief Removes an item.
    /// @return the item, or nothing when it is not queued
    /// @par Complexity  logarithmic
    std::optional<queued_item> erase(const request_id& id);

    /// @brief The item that would be served next, or null when the queue is empty.
    /// @param max_urgency  only tiers up to and including this one are looked at
    /// @par Complexity  linear in the workspaces within the slack
    [[nodiscard]] const queued_item* peek(tier max_urgency = {tier_count - 1}) const;

    /// @brief The items that would be served next, at most `limit` of them, in order.
    ///
    /// Inside a tier, requests that can still meet their latency objective go before those of
    /// their kind and the next one that can't. Answers bursts: where all are served in order of
    /// arrival, all are late. Inside a kind, workspaces beyond the slack come after the eligible
    /// ones, the least served first. Answers requests that wait for one server to have room: they
    /// hold up nobody else of their kind.
    /// @par Complexity  `limit` times the waiting workspaces
    [[nodiscard]] std::vector<const queued_item*>
    candidates(tier max_urgency, std::size_t limit, time_point now = time_point::min()) const;

    /// @brief The request of the least urgent tier and rank that is due last, or null.
    [[nodiscard]] const queued_item* newest_of_lowest_tier() const;

    /// @brief Removes an item that is about to be dispatched and charges its workspace.
    std::optional<queued_item> take(const request_id& id);

    /// @brief Looks an item up.
    [[nodiscard]] const queued_item* find(const request_id& id) const;

    /// @brief The least urgent tier that has an item.
    [[nodiscard]] std::optional<tier> lowest_tier() const;

    /// @brief The item of the least urgent tier that ranks lowest by `less_worthy`.
    ///
    /// `less_worthy(a, b)` is true when a should be shed before b.
    /// @par Complexity  linear in the items of that tier
    [[nodiscard]] const queued_item* least_worthy(
        const std::function<bool(const queued_item&, const queued_item&)>& less_worthy) const;

    /// @brief The item whose deadline comes first among all tiers, or null.
    [[nodiscard]] const queued_item* earliest_deadline() const;

    /// @brief Calls `visit` for each item of a tier, in order of deadlines.
    void for_each(tier which, const std::function<void(const queued_item&)>& visit) const;

    [[nodiscard]] std::size_t size() const noexcept {
        return items_.size();
    }
    [[nodiscard]] bool empty() const noexcept {
        return items_.empty();
    }
    [[nodiscard]] std::size_t size(tier which) const noexcept;

    /// @brief Predicted work of the items that would be served before a newcomer of a tier.
    [[nodiscard]] double work_ahead(tier which) const noexcept;

    /// @brief Workspaces remembered, waiting or recently served.
    [[nodiscard]] std::size_t workspace_count() const noexcept;

private:
    using deadline_key = std::pair<time_point, request_id>;

    using item_order = std::map<deadline_key, const queued_item*>; ///< points into `items_`

    struct lane {
        item_order order;
        double virtual_time{};
    };

    struct level_lanes {
        std::unordered_map<workspace_id, lane> lanes;
        std::set<std::pair<double, workspace_id>> backlogged;
        item_order order;
        double virtual_now{};
        double work_seconds{};
    };

    void unlink(const queued_item& item);
    void charge(const queued_item& item);
    void forget_idle_lanes(level_lanes& lanes);
    [[nodiscard]] const queued_item* peek_level(const level_lanes& lanes) const;
    [[nodiscard]] const level_lanes* lowest_level() const;
    [[nodiscard]] static constexpr std::size_t first_level(tier which) noexcept {
        return std::size_t{which.value} * rank_count;
    }
    void collect(const level_lanes& lanes, bool on_time, std::size_t limit, time_point now,
                 std::vector<const queued_item*>& out) const;

    queue_options options_;
    std::unordered_map<request_id, queued_item> items_;
    item_order deadlines_;
    std::array<level_lanes, std::size_t{tier_count} * rank_count> levels_; ///< by tier, then rank
};

} // namespace tarragonspar::admission
