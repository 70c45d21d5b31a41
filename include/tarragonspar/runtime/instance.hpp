#pragma once

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "tarragonspar/http/server.hpp"
#include "tarragonspar/runtime/caller_api.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/runtime/control_service.hpp"
#include "tarragonspar/runtime/coordinator.hpp"
#include "tarragonspar/runtime/forwarding.hpp"
#include "tarragonspar/runtime/membership_service.hpp"
#include "tarragonspar/runtime/operator_api.hpp"
#include "tarragonspar/runtime/owner.hpp"
#include "tarragonspar/runtime/snapshot.hpp"
#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/telemetry/metrics.hpp"
#include "tarragonspar/wire/node.hpp"

namespace tarragonspar::runtime {

/// @brief One entry instance with all its parts.
class instance final : private wire::handler {
public:
    explicit instance(settings::instance_settings settings);
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;
    instance(instance&&) = delete;
    instance& operator=(instance&&) = delete;
    ~instance() override;

    /// @brief Binds all addresses and starts to serve.
    /// @return an empty string, or why the instance can't start
    [[nodiscard]] std::string start();

    /// @brief Shuts down gracefully: fails the health check, hands queued requests to peers,
    /// finishes running requests, and returns.
    void shut_down();

    /// @brief Reloads certificates and the log level.
    /// @return an empty string, or an error message; the old certificates then stay in use
    std::string reload(const settings::instance_settings& updated);

    /// @brief Port of the HTTP interface.
    [[nodiscard]] std::uint16_t http_port() const;

private:
    void on_enqueue(instance_id from, work_item work, dispatch::call_body call,
                    std::shared_ptr<wire::remote_request> request) override;
    void on_withdraw(instance_id from, const request_id& id) override;
    void on_gossip(instance_id from, wire::gossip_message message,
                   std::function<void(wire::gossip_message)> reply) override;
    void on_probe(instance_id target, std::function<void(bool)> reply) override;
    void on_consensus(instance_id from, std::string messages) override;
    void on_query(instance_id from, wire::topic about, std::string payload,
                  std::function<void(wire::answer)> reply) override;

    void make_parts();
    void make_requests();
    void make_membership();
    void make_control();
    [[nodiscard]] bool is_caught_up();
    /// @brief Asks for a confirmation of the configuration until the instance has caught up.
    void confirm_until_caught_up();
    [[nodiscard]] std::shared_ptr<http::server> make_server();
    boost::asio::awaitable<void> handle(http::exchange& with);
    boost::asio::awaitable<std::string> describe_status();
    void on_configuration(std::shared_ptr<const config::state> state);
    void on_members(std::vector<instance_id> usable);
    void assign_servers();
    void on_request_finished(const request_record& record, const dispatch::answer_finished& last);
    [[nodiscard]] std::string domain_of(instance_id id) const;
    [[nodiscard]] std::string address_of(server_id id) const;

    settings::instance_settings settings_;
    incarnation started_as_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> keep_running_;
    std::vector<std::thread> threads_;
    telemetry::metrics metrics_;
    snapshot_cell snapshots_;
    std::unique_ptr<wire::node> node_;
    std::unique_ptr<wire_owners> remote_;
    std::shared_ptr<owner> owner_;
    std::shared_ptr<coordinator> requests_;
    std::shared_ptr<membership_service> members_;
    std::shared_ptr<control_service> control_;
    std::shared_ptr<keyed_requests> keyed_;
    std::unique_ptr<caller_api> caller_api_;
    std::unique_ptr<operator_api> operator_api_;
    std::shared_ptr<http::server> server_;
    std::atomic<bool> healthy_{true};
    std::atomic<bool> caught_up_{false};
    time_point started_at_{now()};
    std::mutex assignment_mutex_;
    std::vector<instance_id> usable_;
    std::map<instance_id, revision> peer_revisions_; ///< in force at peers, as last reported
};

} // namespace tarragonspar::runtime
