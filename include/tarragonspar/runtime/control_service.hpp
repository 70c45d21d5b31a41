#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include "tarragonspar/consensus/replica.hpp"
#include "tarragonspar/control/replica_store.hpp"
#include "tarragonspar/control/state.hpp"
#include "tarragonspar/runtime/config_service.hpp"
#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/wire/node.hpp"

namespace tarragonspar::runtime {

/// @brief Options of the control service.
struct control_options {
    instance_id self;
    bool replica{false};               ///< this instance is a control replica
    std::string data_folder;           ///< empty: the replica's state is in memory
    std::vector<instance_id> replicas; ///< other instances with a control replica
    /// Not all replicas are known in advance: they request to join, and absent ones are replaced.
    bool open_group{false};
    bool may_found{false};       ///< open groups: with a new disk, this instance is a founder
    config::configuration first; ///< accepted as revision 1 when the group is formed
    consensus::replica_options consensus;
    std::size_t compact_after{512};               ///< applied entries between two snapshots
    std::uint64_t compact_bytes{8 * 1024 * 1024}; ///< log size that triggers a snapshot
};

/// @brief Runs a control replica where the settings enable one, and provides the accepted
/// configuration on instances without one.
///
/// All work runs on a dedicated thread, since storing blocks on the disk.
class control_service final : public config_service,
                              public std::enable_shared_from_this<control_service> {
public:
    using listener = std::function<void(std::shared_ptr<const config::state>)>;
    using document_listener = std::function<void(config::document)>;

    /// @brief State of the control group as known to this instance.
    struct group_view {
        bool runs{false}; ///< the replica's disk can be used
        bool is_voter{false};
        bool leads{false};
        /// Leads and has applied everything that was accepted before its term.
        bool is_current{false};
        std::optional<instance_id> leader;
        std::vector<instance_id> members; ///< voters and learners
        consensus::term_number term;

        bool operator==(const group_view&) const = default;
    };
    using group_listener = std::function<void(group_view)>;
    /// Called with the time of each write to the disk, on the service's thread.
    using disk_listener = std::function<void(duration)>;

    /// @brief How the publication of a document ended.
    struct publication {
        bool acknowledged{false}; ///< every instance will see it or a newer one; false: unknown
        int attempts{0};          ///< times that it was sent to a replica; -1: not known
        std::optional<instance_id> through; ///< the leader that accepted it
    };

    control_service(control_options options, wire::node& node, listener on_change);
    ~control_service() override;

    /// @brief Opens the disk and starts.
    /// @return an empty string, or why the disk can't be used
    [[nodiscard]] std::string start();
    void stop();

    boost::asio::awaitable<std::optional<config::change_answer>>
    propose(config::change change) override;
    [[nodiscard]] std::shared_ptr<const config::state> current() const override;

    /// @brief Submits a command to the group, through its current leader.
    /// @param done  receives the reply, or nothing when it is unknown whether it was applied
    void submit(control::command command, std::function<void(std::optional<control::reply>)> done);

    /// @brief Sets the listeners; call it before `start`. They are called on the service's thread
    /// when a document comes into force here, when the leader or the group changes, and after
    /// each write to the disk.
    void listen(document_listener on_document, group_listener on_group, disk_listener on_disk);

    /// @brief Publishes a document, through the current leader of the group.
    /// @param done  called once
    void publish(config::document document, std::function<void(publication)> done);

    /// @brief Reads the newest document; a linearizable read.
    /// @param done  receives nothing when it can't be proved now that the document is the newest
    void read_published(std::function<void(std::optional<config::document>)> done);

    /// @brief Handles messages of another replica.
    void on_messages(const std::string& bytes);

    /// @brief Answers a query of another instance about the control group or the configuration.
    void on_query(wire::topic about, const std::string& payload,
                  std::function<void(wire::answer)> reply);

    /// @brief Called with the revision that a peer knows; requests it if it is newer.
    void on_peer_revision(instance_id peer, revision newest);

    /// @brief Calls `callback` with the replica's status as JSON, on the service's thread.
    void with_status(std::function<void(std::string)> callback);

private:
    struct waiting_proposal {
        consensus::term_number term;
        std::function<void(std::optional<control::reply>)> done;
    };

    /// A command that is being sent to the leader.
    struct submission {
        std::string bytes;
        std::vector<instance_id> candidates; ///< not yet tried in this round
        int attempts{0};
        /// Receives the reply, if any, and the replica that sent it.
        std::function<void(std::optional<std::string>, const submission&)> done;
        std::optional<instance_id> through;
    };

    void find_identity();
    void on_peer_states(std::size_t queried, const std::vector<wire::answer>& answers);
    void start_replica(std::uint32_t disk, bool founding);
    void schedule_tick();
    void tick();
    void step(const consensus::event& event);
    void execute(std::vector<consensus::effect>& effects);
    bool flush();
    void record_write(duration taken);
    void send_all(std::vector<consensus::message>& messages);
    void on_applied(const consensus::entry& entry);
    void on_proposed(const consensus::proposed& result);
    void restore(const std::string& data);
    void fail(const std::string& why);
    void fail_waiting_proposals();
    /// @brief Fails the proposals and reads that the replica did not answer before its disk failed.
    void fail_pending_operations();
    void compact_if_due();
    void request_join();
    void remove_absent_voter();
    void notify_group_change();
    void on_read_ready(const consensus::read_ready& ready);
    void read_locally(std::function<void(std::optional<config::document>)> done);
    [[nodiscard]] std::vector<instance_id> other_replicas() const;
    /// @brief Sets the first voters: a founder takes them from the settings and stores them, any
    /// other instance loads those that it stored before.
    /// @return an empty string, or why the disk can't be used
    [[nodiscard]] std::string init_founders(bool is_founder);
    /// @brief Forwards a replica's request to join to the leader, which the replica may not know.
    void forward_join(consensus::replica_id joining);
    void handle_join(consensus::replica_id joining);
    void submit_locally(std::string bytes, std::function<void(std::optional<std::string>)> done);
    void submit_to_leader(submission pending);
    void publish_configuration();
    void apply_configuration(const std::string& payload);
    void add_recent_change(const config::change& accepted, revision number);
    [[nodiscard]] std::string answer_configuration(const std::string& payload) const;
    [[nodiscard]] std::vector<instance_id> candidates_leader_first() const;

    control_options options_;
    wire::node& node_;
    listener on_change_;
    boost::asio::thread_pool pool_{1};
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer restart_timer_; ///< restarts a replica whose disk failed
    std::mt19937_64 random_;
    std::optional<consensus::replica> replica_;
    std::optional<control::replica_store> store_;
    bool failed_{false};
    std::optional<std::uint32_t> disk_;
    bool stopped_{false};
    control::state state_;
    consensus::log_index applied_;
    std::map<consensus::log_index, waiting_proposal> waiting_proposals_;
    std::map<std::uint64_t, std::function<void(std::optional<control::reply>)>> proposals_;
    std::uint64_t next_token_{0};
    std::vector<instance_id> founders_; ///< open groups: the first voters, all with disk 0
    std::deque<std::pair<revision, config::change>> recent_changes_;
    std::optional<instance_id> leader_hint_;
    std::map<std::uint64_t, std::function<void(std::optional<config::document>)>> reads_;
    document_listener on_document_;
    group_listener on_group_;
    disk_listener on_disk_;
    group_view reported_;
    bool configuration_requested_{false};
    time_point next_join_{};
    mutable std::mutex published_mutex_;
    std::shared_ptr<const config::state> published_;
};

} // namespace tarragonspar::runtime
