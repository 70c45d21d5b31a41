#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/config/catalogue.hpp"
#include "tarragonspar/dispatch/grant_desk.hpp"

namespace tarragonspar::gateway {

/// @brief A grant desk with a clock, and the callbacks of those who wait for its verdicts.
///
/// All functions run on the context's thread.
class desk_service : public std::enable_shared_from_this<desk_service> {
public:
    using reply = std::function<void(dispatch::verdict)>;

    /// @param choice_noise  see `dispatch::scheduler_options`
    explicit desk_service(boost::asio::io_context& context, double choice_noise = 0.0);

    void set_servers(const std::vector<config::server>& servers);
    /// @brief Parts of all slots, and of each server's, that this desk may fill beside others;
    /// counts from the next list of servers on.
    void set_shares(double slots, double server_slots);
    /// @param share  part of each quota that this desk may hand out
    void set_quotas(const config::catalogue& from, const admission::quota_tolerance& tolerance,
                    double share);
    void ask(const work_item& work, dispatch::earlier_grant earlier, reply answer);
    void note(const dispatch::grant_news& news);
    /// @return whether the notice is news
    bool note(const dispatch::server_notice& notice);
    /// @brief The notice that forbids a holder to send to a server now, if there is one.
    [[nodiscard]] std::optional<dispatch::server_notice> find_notice(server_id server,
                                                                     instance_id holder) const;
    void note_elsewhere(const work_item& work, server_id server);
    void resume_quotas(duration window, std::size_t expected_holders);
    /// @brief Goes on counting quotas from this instance's own use.
    void resume_quotas(const admission::workspace_usage& used, duration window);
    void reconcile(const dispatch::holder_report& report);

    /// @brief Gives up everything that waits, without verdicts.
    /// @return the callbacks that were left waiting
    std::vector<reply> forget_all();

    [[nodiscard]] bool has_servers() const {
        return !desk_.servers.empty();
    }
    [[nodiscard]] std::vector<instance_id> holders() const;
    /// @brief Part of the entry instances that are heard now.
    [[nodiscard]] double holder_share();
    [[nodiscard]] std::size_t queued() const;

private:
    void carry_out(std::vector<dispatch::decision>& made);
    void schedule_tick();

    boost::asio::steady_timer timer_;
    bool ticking_{false};
    dispatch::grant_desk desk_;
    std::unordered_map<request_id, reply> asking_;
};

} // namespace tarragonspar::gateway
