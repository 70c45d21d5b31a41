#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/gateway/desk_service.hpp"
#include "tarragonspar/gateway/reports.hpp"
#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/wire/node.hpp"

namespace tarragonspar::gateway {

/// @brief An entry instance's way to the control group: reports, news and grants.
///
/// Grants come from the leader of the group. While none is in reach, a desk of this instance's own
/// grants, which gives each server only a small share of its slots, since it does not know what
/// other entry instances send. All functions run on the context's thread.
class control_link : public std::enable_shared_from_this<control_link> {
public:
    struct hooks {
        std::function<dispatch::holder_report()> open_requests;
        /// Quota units that this instance's requests used in the past window.
        std::function<admission::workspace_usage()> used;
        std::function<void(const config::document&)> on_document;
        std::function<void(std::uint32_t entry_instances)> on_size;
        /// The list of servers has changed.
        std::function<void()> on_servers;
        /// Whether this instance should read the list of servers itself.
        std::function<void(bool)> on_list_wanted;
    };

    control_link(boost::asio::io_context& context, instance_id self, wire::node& node,
                 std::vector<instance_id> contacts, duration quota_window, hooks uses);

    void start();
    void stop();

    /// @brief Adds instances to ask, after the settings have changed.
    void add_contacts(const std::vector<instance_id>& contacts);

    /// @brief Asks for leave to send a request; the verdict comes later.
    void ask(const work_item& work, dispatch::earlier_grant earlier, desk_service::reply answer);

    /// @brief Tells what became of a request.
    void note(const dispatch::grant_news& news);

    /// @brief Takes what a server said about itself to this instance: no request is sent there
    /// against its word from now on, whoever grants it, and the scheduler is told.
    void note(const dispatch::server_notice& notice);

    void set_document(const config::document& in_force, const config::catalogue& content);
    /// @brief A list of servers that was read from the platform `age` ago.
    void set_servers(std::vector<config::server> servers, duration age);

    /// @brief Answers another entry instance that hears no leader.
    [[nodiscard]] std::optional<control_news> answer_peer(instance_id from,
                                                          const std::string& report);

    /// @brief Whether some list of servers is known.
    [[nodiscard]] bool has_servers() const noexcept {
        return list_.mark != 0;
    }
    /// @brief Whether the leader of the control group has answered lately.
    [[nodiscard]] bool has_leader() const noexcept {
        return scheduler_.has_value();
    }

private:
    /// A question without a verdict yet.
    struct open_question {
        work_item work;
        dispatch::earlier_grant earlier{dispatch::earlier_grant::none};
        std::optional<dispatch::server_notice> notice; ///< why the last grant was not used
        desk_service::reply answer;
        std::uint64_t asked{}; ///< number of the time it was asked; other answers are too late
    };

    void report();
    void ask_peer();
    void learn_peer(instance_id peer);
    void on_peer_news(const control_news& news);
    void take_news(const control_news& news);
    void share_servers();
    void on_news(instance_id from, std::optional<wire::answer> answer);
    void set_scheduler(std::optional<instance_id> scheduler);
    void choose_target(std::optional<instance_id> leader);
    void ask_all_again();
    void send_question(open_question& question);
    void ask_scheduler(const open_question& question);
    void return_grant(open_question& question, const dispatch::grant& given,
                      const dispatch::server_notice& notice);
    void ask_own_desk(const open_question& question);
    void take_remote_verdict(const request_id& id, std::uint64_t asked,
                             const std::optional<dispatch::verdict>& what);
    void take_verdict(const request_id& id, std::uint64_t asked,
                      std::optional<dispatch::verdict> what);

    boost::asio::io_context& context_;
    instance_id self_;
    wire::node& node_;
    duration quota_window_;
    hooks uses_;
    boost::asio::steady_timer timer_;
    std::vector<instance_id> contacts_;
    std::size_t next_contact_{0};
    std::optional<instance_id> target_;
    std::optional<instance_id> scheduler_;
    time_point scheduler_heard_{};
    std::uint32_t entry_instances_{1};
    std::vector<instance_id> peers_;
    std::mt19937_64 random_;
    config::document document_;
    server_list list_;
    std::shared_ptr<desk_service> own_desk_;
    std::unordered_map<request_id, open_question> questions_;
    std::uint64_t asked_{0};
    bool stopped_{false};
};

} // namespace tarragonspar::gateway
