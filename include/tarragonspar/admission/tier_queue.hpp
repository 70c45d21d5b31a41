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

/// @brief A request that waits for a backend server.
struct queued_item {
    work_item work;
    double cost_seconds{}; ///< predicted time on a backend server, for fairness and wait estimates
    int failed_dispatches{}; ///< dispatches that ended before the first byte was written
    time_point queued_at{};
};

/// @brief Limits of one queue.
struct queue_options {
    /// Service, in seconds, that a workspace may have received beyond the least served one and
    /// still be eligible to be chosen by deadline.
    double fairness_slack_seconds{2.0};
};

/// @brief Queue of the requests for one model or service, ordered by tier, workspace and deadline.
///
/// The next item comes from the most urgent tier that has any. Inside a tier, items are ordered
/// by the rank of their kind; `candidates` moves late ones behind the next rank. Inside a rank,
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

    /// @brief Returns the item that would be served next, or null if there is none.
    /// @param max_tier  last tier that is considered
    /// @par Complexity  linear in the workspaces within the slack
    [[nodiscard]] const queued_item* peek(tier max_tier = {tier_count - 1}) const;

    /// @brief Returns the items that would be served next, at most `limit` of them, in order.
    ///
    /// Inside a rank, requests that continue come first: their callers have waited already, or hold
    /// a part of the answer. Inside a tier, requests that can no longer meet their latency
    /// objective come after those of their own and the next less urgent rank that still can: if a
    /// burst were served in order of arrival, all of its requests would be late. Inside a rank,
    /// workspaces beyond the slack come after the eligible ones, the least served first, so that a
    /// request that waits for capacity on one particular server does not block others of its rank.
    /// @par Complexity  `limit` times the waiting workspaces
    [[nodiscard]] std::vector<const queued_item*>
    candidates(tier max_tier, std::size_t limit, time_point now = time_point::min()) const;

    /// @brief Returns the request of the least urgent tier and rank that is due last, or null; one
    /// that continues only if there are no others.
    [[nodiscard]] const queued_item* latest_due_of_lowest_tier() const;

    /// @brief Returns the last due of the least urgent requests that don't continue, or null.
    [[nodiscard]] const queued_item* latest_due_new() const;

    /// @brief Removes an item that is about to be dispatched and charges its workspace.
    std::optional<queued_item> dequeue(const request_id& id);

    /// @brief Returns a queued item, or null if it is not queued.
    [[nodiscard]] const queued_item* find(const request_id& id) const;

    /// @brief Returns the least urgent tier that has an item.
    [[nodiscard]] std::optional<tier> lowest_tier() const;

    /// @brief Returns the item of the least urgent tier and rank that should be shed first, or
    /// null.
    ///
    /// `shed_before(a, b)` returns whether `a` should be shed before `b`.
    /// @par Complexity  linear in the items of that tier and rank
    [[nodiscard]] const queued_item* first_to_shed(
        const std::function<bool(const queued_item&, const queued_item&)>& shed_before) const;

    /// @brief Returns the item with the earliest deadline of all tiers, or null.
    [[nodiscard]] const queued_item* earliest_deadline() const;

    /// @brief Calls `visit` for each item of a tier, by rank, then in order of due time.
    void for_each(tier which, const std::function<void(const queued_item&)>& visit) const;

    [[nodiscard]] std::size_t size() const noexcept {
        return items_.size();
    }
    [[nodiscard]] bool empty() const noexcept {
        return items_.empty();
    }
    [[nodiscard]] std::size_t size(tier which) const noexcept;

    /// @brief Returns the predicted work, in seconds, of the items up to and including a tier,
    /// which would be served before a new request of that tier, without those that need one
    /// software version.
    [[nodiscard]] double work_ahead(tier which) const noexcept;

    /// @brief Returns the number of workspaces with state, waiting or recently served.
    [[nodiscard]] std::size_t workspace_count() const noexcept;

private:
    using deadline_key = std::pair<time_point, request_id>;

    using item_order = std::map<deadline_key, const queued_item*>; ///< points into `items_`

    struct flow {
        item_order order;
        double virtual_time{};
    };

    struct priority_level {
        std::unordered_map<workspace_id, flow> flows;
        std::set<std::pair<double, workspace_id>> backlogged;
        item_order order;
        double virtual_now{};
        double work_seconds{};
    };

    void unlink(const queued_item& item);
    void charge(const queued_item& item);
    void evict_idle_flows(priority_level& level);
    [[nodiscard]] const queued_item* peek_level(const priority_level& level) const;
    [[nodiscard]] const priority_level* lowest_level() const;
    [[nodiscard]] static constexpr std::size_t first_level(tier which) noexcept {
        return std::size_t{which.value} * rank_count;
    }
    void collect_continuing(const priority_level& level, std::size_t limit,
                            std::vector<const queued_item*>& out) const;
    enum class selection : std::uint8_t { continuing, on_time, late };
    void collect(const priority_level& level, selection which, std::size_t limit, time_point now,
                 std::vector<const queued_item*>& out) const;

    queue_options options_;
    std::unordered_map<request_id, queued_item> items_;
    item_order deadlines_;
    /// By tier, then rank.
    std::array<priority_level, std::size_t{tier_count} * rank_count> levels_;
};

} // namespace tarragonspar::admission
