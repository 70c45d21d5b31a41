#pragma once

#include <memory>
#include <random>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/gateway/caller_log.hpp"
#include "tarragonspar/gateway/dialect.hpp"
#include "tarragonspar/gateway/grant_service.hpp"
#include "tarragonspar/gateway/query_handler.hpp"
#include "tarragonspar/gateway/query_load.hpp"
#include "tarragonspar/gateway/reports.hpp"
#include "tarragonspar/gateway/server_directory.hpp"
#include "tarragonspar/http/server.hpp"
#include "tarragonspar/runtime/control_service.hpp"
#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/telemetry/metrics.hpp"
#include "tarragonspar/wire/node.hpp"

namespace tarragonspar::gateway {

/// @brief A control instance: stores published documents and, while it leads the control group,
/// grants requests.
class control_instance final : private query_handler {
public:
    control_instance(settings::instance_settings settings, std::unique_ptr<const dialect> protocol);
    ~control_instance() override;
    control_instance(const control_instance&) = delete;
    control_instance& operator=(const control_instance&) = delete;
    control_instance(control_instance&&) = delete;
    control_instance& operator=(control_instance&&) = delete;

    /// @brief Binds all addresses and starts serving.
    /// @return an empty string, or the reason why the instance can't start
    [[nodiscard]] std::string start();
    void shut_down();
    void reload(const settings::instance_settings& fresh);

private:
    void on_consensus(instance_id from, std::string messages) override;
    void on_query(instance_id from, wire::topic about, std::string payload,
                  std::function<void(wire::answer)> reply) override;

    /// @brief Handles a query on the context's thread and records how long it waited.
    template <class Action>
    void post_query(Action action);
    void log_load();
    void on_document(config::document newest);
    void on_group(runtime::control_service::group_view group);
    void on_servers(std::vector<config::server> servers);
    void answer_report(const std::string& payload, const std::function<void(wire::answer)>& reply);
    void answer_document_part(const std::string& payload,
                              const std::function<void(wire::answer)>& reply);
    void count_document(std::size_t bytes);
    void answer_grant(const std::string& payload, std::function<void(wire::answer)> reply);
    void handle_notice(const dispatch::server_notice& notice);
    void start_scheduling_if_ready();
    void update_quota_share();
    [[nodiscard]] bool schedules() const;
    /// @brief Whether no other instance can lead the group at present: this one does, and its lease
    /// is not over. The control thread may be waiting for its disk meanwhile.
    [[nodiscard]] bool holds_lead() const;
    /// @brief Begins or ends the lead towards entry instances.
    void update_lead();
    /// @brief Calls `update_lead` when the lease ends.
    void watch_lead();
    void log_lease();
    /// @brief Refuses operators' calls that do not exist, before their body is read.
    [[nodiscard]] std::optional<http::reply> check_head(const http::request_message& head) const;
    boost::asio::awaitable<void> handle(http::exchange& with);
    boost::asio::awaitable<void> publish(http::exchange& with, std::string content);
    boost::asio::awaitable<void> read_newest(http::exchange& with);

    settings::instance_settings settings_;
    std::unique_ptr<const dialect> protocol_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
    std::thread thread_;
    telemetry::metrics metrics_;
    caller_log caller_log_{metrics_};
    std::shared_ptr<http::caller_guard> guard_;
    std::unique_ptr<wire::node> node_;
    std::shared_ptr<runtime::control_service> control_;
    std::shared_ptr<grant_service> grant_service_;
    std::shared_ptr<server_directory> directory_;
    std::shared_ptr<http::server> server_;
    std::shared_ptr<http::server> metrics_server_;
    // The members below are used on the context's thread only.
    runtime::control_service::group_view group_;
    boost::asio::steady_timer lease_timer_;
    bool leads_{false};          ///< `holds_lead` when it was last checked
    time_point leads_since_{};   ///< when `leads_` was last set
    time_point lost_lease_at_{}; ///< none: it did not lose its lease since it leads the group
    /// Whether it leads, knows the servers and has received reports of the running requests.
    bool schedules_{false};
    /// Largest number of entry instances that was reported to this instance since it leads.
    std::uint32_t expected_dispatchers_{0};
    config::document newest_;
    config::document_sender document_sender_; ///< has `newest_`
    config::catalogue catalogue_;             ///< content of `newest_`
    double quota_share_{1.0};
    server_list list_;
    std::mt19937_64 random_;
    bool shutting_down_{false};
    query_load load_;
};

} // namespace tarragonspar::gateway
