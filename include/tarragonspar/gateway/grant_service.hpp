#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/config/catalogue.hpp"
#include "tarragonspar/dispatch/grant_scheduler.hpp"

namespace tarragonspar::gateway {

/// @brief A grant scheduler with a clock and the callbacks that wait for its results.
///
/// All functions run on the context's thread.
class grant_service : public std::enable_shared_from_this<grant_service> {
public:
    using reply = std::function<void(dispatch::grant_result)>;

    /// @param choice_noise  see `dispatch::scheduler_options`
    explicit grant_service(boost::asio::io_context& context, double choice_noise = 0.0);

    void set_servers(const std::vector<config::server>& servers);
    /// @brief Sets the shares of all slots and of each server's slots that this scheduler may fill
    /// where others grant as well. Takes effect with the next list of servers.
    void set_shares(double slots, double server_slots);
    /// @param share  share of each quota that this scheduler may grant
    void set_quotas(const config::catalogue& from, const admission::quota_tolerance& tolerance,
                    double share);
    /// @param fate  if the previous server was lost: what became of it
    void ask(const work_item& work, dispatch::previous_grant previous, dispatch::server_fate fate,
             reply answer);
    void record(const dispatch::grant_update& update);
    /// @brief Records what an answer to one of this instance's requests said of the server's limit.
    /// @param sent  when the request was sent
    /// @return whether the limit is another one than before
    bool record_limit(server_id server, std::optional<double> per_second, time_point sent);
    /// @brief Records what other instances were told about the request limits of servers.
    void record(const std::vector<dispatch::limit_statement>& told);
    [[nodiscard]] std::vector<dispatch::limit_statement> limits(bool own_only) const;
    /// @param share  share of the servers' request limits that this scheduler may use
    void set_request_limit_share(double share);
    /// @brief Records the origin of a stream whose first event arrived at this instance.
    void record_own(const dispatch::stream_origin& origin);
    /// @brief Records the origins of streams that another instance reports.
    void record(const std::vector<dispatch::stream_origin>& origins);
    [[nodiscard]] const dispatch::stream_versions& streams() const {
        return scheduler_.streams;
    }
    /// @brief From now on this instance grants all requests, as the leader does.
    void begin_to_grant_all();
    /// @brief Adds another instance's evidence about prompt parts that crash servers.
    void record(const dispatch::suspicion_report& report);
    /// @brief Returns this instance's evidence about prompt parts that crash servers.
    [[nodiscard]] dispatch::suspicion_report suspicions();
    /// @brief Returns the quarantines in force, for operators.
    [[nodiscard]] std::vector<dispatch::quarantine_summary> quarantines() const;
    /// @brief Ends the suspicion of a prompt part at all instances, as an operator asks for.
    /// @return whether it was suspected
    bool lift_quarantine(std::uint64_t part);
    /// @brief Counts a request that this instance refuses by a quarantine.
    void record_refusal(std::uint64_t part);
    /// @brief Returns the quarantine that forbids to send a request to any server, if there is one.
    [[nodiscard]] std::optional<dispatch::prompt_judgement>
    find_quarantine(const work_item& work) const;
    /// @return whether the notice was not known before
    bool record(const dispatch::server_notice& notice);
    /// @brief Returns the notice that currently forbids a dispatcher to send to a server, if there
    /// is one.
    [[nodiscard]] std::optional<dispatch::server_notice> find_notice(server_id server,
                                                                     instance_id dispatcher) const;
    void record_external_grant(const work_item& work, server_id server);
    void resume_quotas(duration window, std::size_t expected_dispatchers);
    /// @brief Restores the quota counts from this instance's own usage.
    void resume_quotas(const admission::workspace_usage& used, duration window);
    void reconcile(const dispatch::dispatcher_report& report);

    /// @brief Drops all waiting requests without results.
    /// @return the callbacks that have not been called
    std::vector<reply> clear_pending();

    [[nodiscard]] bool has_servers() const {
        return !scheduler_.servers.empty();
    }
    [[nodiscard]] std::vector<instance_id> dispatchers() const;
    /// @brief Share of the entry instances that report at present.
    [[nodiscard]] double live_dispatcher_share();
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t quarantined_parts() const;

private:
    static void log_limit(const dispatch::limit_statement& told);
    void log_suspicions();
    /// @brief Whether another line about prompt parts may be written now.
    [[nodiscard]] bool may_log_suspicion();
    void deliver(std::vector<dispatch::decision>& results);
    void schedule_tick();

    boost::asio::steady_timer timer_;
    bool ticking_{false};
    time_point log_second_{}; ///< begin of the second in which `logged_` lines were written
    std::uint32_t logged_{0};
    std::int64_t suppressed_{0}; ///< lines about prompt parts that were not written
    dispatch::grant_scheduler scheduler_;
    std::unordered_map<request_id, reply> pending_replies_;
};

} // namespace tarragonspar::gateway
