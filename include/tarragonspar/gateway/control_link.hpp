#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/config/document_tracker.hpp"
#include "tarragonspar/config/document_transfer.hpp"
#include "tarragonspar/gateway/grant_service.hpp"
#include "tarragonspar/gateway/reports.hpp"
#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/wire/node.hpp"

namespace tarragonspar::gateway {

/// @brief Connects an entry instance to the control group: reports, updates and grants.
///
/// Grants come from the leader of the group. While no leader is reachable, the instance's local
/// grant scheduler decides. It uses only a small share of each server's slots, since it does not
/// know which requests other entry instances send. All functions run on the context's thread.
class control_link : public std::enable_shared_from_this<control_link> {
public:
    /// @brief Who sent a document.
    struct document_origin {
        instance_id from;
        bool leads{false}; ///< the sender leads the control group
    };
    struct callbacks {
        std::function<dispatch::dispatcher_report()> open_requests;
        /// Returns the quota units that this instance's requests used in the past window.
        std::function<admission::workspace_usage()> used;
        std::function<void(const config::document&, const document_origin&)> on_document;
        /// Called when it changes whether the document in force is confirmed to be the newest.
        std::function<void(bool)> on_confirmation;
        std::function<void(std::uint32_t entry_instances)> on_deployment_size;
        /// Called when the list of servers has changed.
        std::function<void()> on_servers;
        /// Called with whether this instance should read the list of servers itself.
        std::function<void(bool)> on_list_wanted;
    };

    control_link(boost::asio::io_context& context, instance_id self, wire::node& node,
                 std::vector<instance_id> contacts, duration quota_window, callbacks handlers);

    void start();
    void stop();

    /// @brief Adds control instances to contact, after the settings have changed.
    void add_contacts(const std::vector<instance_id>& contacts);

    /// @brief Asks for permission to send a request.
    /// @param fate    if the previous server was lost: what became of it
    /// @param answer  called with the grant result, never before this function has returned
    void ask(const work_item& work, dispatch::previous_grant previous, dispatch::server_fate fate,
             grant_service::reply answer);

    /// @brief Returns the quarantines that this instance knows of.
    [[nodiscard]] std::vector<dispatch::quarantine_summary> quarantines() const {
        return local_scheduler_->quarantines();
    }
    /// @brief Ends the suspicion of a prompt part; reports tell it to the other instances.
    bool lift_quarantine(std::uint64_t part) {
        return local_scheduler_->lift_quarantine(part);
    }

    /// @brief Reports the progress or the end of a request.
    void record(const dispatch::grant_update& update);

    /// @brief Records a notice that a server gave this instance. From now on no request is sent to
    /// that server against the notice, whichever scheduler grants it. The leader is notified.
    void record(const dispatch::server_notice& notice);

    /// @brief Records what an answer said of the rate of requests that its server accepts.
    /// @param per_second  nothing: it names no limit
    /// @param sent        when the request was sent
    void record_limit(server_id server, std::optional<double> per_second, time_point sent);

    /// @brief Records the origin of a stream whose first event arrived here. Reports tell it to the
    /// leader.
    void record_stream(const dispatch::stream_origin& origin) {
        local_scheduler_->record_own(origin);
    }
    /// @brief Returns the software version that began a stream, if it is recorded here.
    [[nodiscard]] std::optional<software_id> find_stream(std::uint64_t stream) const;
    /// @brief Whether this instance has known servers of several software versions of a service
    /// while streams last.
    [[nodiscard]] bool has_several_versions(model_id service) const;
    /// @brief Whether the list of servers gives software versions.
    [[nodiscard]] bool has_versions() const {
        return local_scheduler_->streams().has_versions();
    }
    /// @brief Returns the software version of a listed server.
    [[nodiscard]] std::optional<software_id> find_software(server_id server) const;

    void set_document(const config::document& in_force, const config::catalogue& content);
    /// @brief Stores a list of servers that was read from the platform `age` ago; an older list
    /// than the known one is ignored.
    void set_servers(std::vector<config::server> servers, duration age);

    /// @brief Answers the report of another entry instance that has no leader.
    [[nodiscard]] std::optional<control_update> answer_peer(instance_id from,
                                                            const std::string& report);

    /// @brief Answers another entry instance that asks for a part of the document in force.
    [[nodiscard]] std::optional<config::document_part>
    answer_document_part(const std::string& request);

    /// @brief Whether the document in force was recently confirmed to be the newest, so that
    /// requests may be refused for good by it.
    [[nodiscard]] bool is_document_confirmed() const;

    /// @brief Whether a list of servers is known.
    [[nodiscard]] bool has_servers() const noexcept {
        return list_.fingerprint != 0;
    }
    /// @brief Whether the leader of the control group has answered recently.
    [[nodiscard]] bool has_leader() const noexcept {
        return scheduler_.has_value();
    }

private:
    /// A request for a grant that has no result yet.
    struct pending_grant {
        work_item work;
        dispatch::previous_grant previous{dispatch::previous_grant::none};
        dispatch::server_fate fate{dispatch::server_fate::unknown}; ///< of the previous server
        std::optional<dispatch::server_notice> notice; ///< why the previous grant was not used
        grant_service::reply answer;
        /// Number of the latest query; answers to earlier ones are ignored.
        std::uint64_t query_number{};
    };

    void report();
    void query_peer();
    void add_peer(instance_id peer);
    void on_peer_update(instance_id peer, time_point requested, const control_update& update);
    void apply_update(instance_id from, config::document_update documents,
                      const control_update& update);
    /// @brief Puts a received document in force if it may be, and records what is newest.
    void handle_documents(instance_id from, const config::document_update& documents);
    /// @brief Asks for the document that another instance holds, if it is newer.
    void fetch_document(instance_id from, config::document_source source,
                        config::document_number offered);
    void ask_document_part(instance_id from, config::document_source source,
                           const config::document_part_request& request);
    void on_document_part(instance_id from, config::document_source source,
                          std::optional<config::document_part> part);
    void check_document();
    void update_local_shares();
    /// Which origins of streams a report held, by their numbers.
    struct sent_streams {
        std::uint64_t after{}; ///< number of the last one before them
        std::uint64_t last{};
    };
    void on_control_update(instance_id from, time_point requested, const sent_streams& streams,
                           const std::optional<control_update>& update);
    void set_scheduler(std::optional<instance_id> scheduler);
    void choose_target(std::optional<instance_id> leader);
    void retry_pending_grants();
    void send_grant_request(pending_grant& pending);
    /// @brief Refuses a request by a quarantine that this instance knows of; a new leader may not.
    void refuse_quarantined(const pending_grant& pending,
                            const dispatch::prompt_judgement& quarantine);
    void query_scheduler(const pending_grant& pending);
    void return_grant(pending_grant& pending, const dispatch::grant& given,
                      const dispatch::server_notice& notice);
    void query_local_scheduler(const pending_grant& pending);
    void handle_remote_result(const request_id& id, std::uint64_t query_number,
                              const std::optional<dispatch::grant_result>& result);
    void handle_grant_result(const request_id& id, std::uint64_t query_number,
                             std::optional<dispatch::grant_result> result);

    boost::asio::io_context& context_;
    instance_id self_;
    wire::node& node_;
    duration quota_window_;
    callbacks callbacks_;
    boost::asio::steady_timer timer_;
    std::vector<instance_id> contacts_;
    std::size_t next_contact_{0};
    std::optional<instance_id> target_;
    std::optional<instance_id> scheduler_;
    time_point scheduler_last_seen_{};
    time_point failure_logged_{};
    std::uint32_t entry_instances_{1};
    std::vector<instance_id> peers_;
    std::mt19937_64 random_;
    config::document_tracker documents_;
    instance_id candidate_from_; ///< sender of the unconfirmed document
    config::document_receiver document_receiver_;
    config::document_sender document_sender_; ///< has the document in force
    /// The latest statement about the newest document, who made it and when it was asked for.
    std::optional<config::newest_document> newest_stated_;
    instance_id newest_stated_by_;
    time_point newest_requested_{};
    bool reported_confirmed_{false};
    server_list list_;
    std::shared_ptr<grant_service> local_scheduler_;
    std::unordered_map<request_id, pending_grant> pending_grants_;
    std::uint64_t last_query_{0};
    /// Number of the last origin of a stream that the leader has got from this instance.
    std::uint64_t streams_confirmed_{0};
    bool stopped_{false};
};

} // namespace tarragonspar::gateway
