#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string_view>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <nlohmann/json_fwd.hpp>

#include "tarragonspar/consensus/replica.hpp"
#include "tarragonspar/control/group_changes.hpp"
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
    control::group_change_options group_changes;  ///< open groups
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
        std::size_t voters{};
        std::size_t absent{}; ///< members that a leader has no contact with
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

    /// @brief Finds out, by a linearizable read through the group's leader, whether the
    /// configuration in force here is the newest accepted one, and applies a newer one.
    /// @param done  receives false when no leader has confirmed it in time; not called once the
    /// service has been stopped
    void confirm_configuration(std::function<void(bool)> done);

    /// @brief Whether a leader has confirmed the configuration in force since the start.
    [[nodiscard]] bool is_configuration_confirmed() const {
        return is_confirmed_;
    }

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

    /// @brief When this instance's lead ends unless a majority confirms it again, by
    /// `now_with_suspension`; can be called on any thread, and while the service's thread waits.
    /// @return `time_point::min()` while the replica does not lead; see `consensus::lead_lease_end`
    [[nodiscard]] time_point lead_lease_end() const;
    /// @brief Length of a lease: since the last message that a majority has answered was sent.
    [[nodiscard]] duration lead_lease_length() const;

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
    /// The newest accepted revision at a point of time, as stated by a leader.
    struct newest_revision {
        revision number;
        time_point asked_at;
    };

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
    /// @brief Stores the disk number on a new disk and starts the replica under it.
    void take_identity(std::uint32_t disk);
    /// @brief Starts the replica from its files.
    /// @param all_seated  closed groups: every founder has its seat, so elections may be held
    void start_replica(std::uint32_t disk, bool all_seated);
    [[nodiscard]] std::uint32_t draw_disk_number();
    /// @brief Opens the replica's files; returns the error, if any.
    [[nodiscard]] std::optional<storage::file_error> open_store(consensus::durable_state& stored);
    /// @brief Open groups: leaves damaged files in place until a leader is confirmed.
    void handle_damage(const storage::file_error& damage, const consensus::durable_state& readable);
    void find_leader();
    void confirm_leader(const wire::answer& status);
    /// @brief Sets the damaged files aside and joins under a new identity.
    void replace_identity();
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
    /// @brief Promotes learners that have caught up; open groups: removes absent members.
    void change_group();
    void promote_learner(time_point time);
    void remove_absent_member(time_point time);
    /// @brief Proposes a group and logs the member that it adds, promotes or removes.
    void propose_member(std::string_view event, consensus::replica_id member,
                        consensus::group next);
    /// @brief Logs the absence of members and why the longest absent one is not removed, where that
    /// has changed.
    void log_removal_state(const control::removal& removal);
    /// @brief The other members with their last contact, for the status of a leader.
    [[nodiscard]] nlohmann::json describe_members() const;
    /// @brief Publishes the lease and reports the group where it has changed.
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
    /// @brief Proposes a command if this replica leads. A document that is sent again is not
    /// appended again.
    /// @param bytes  the encoded command
    void submit_locally(const control::command& command, std::string bytes,
                        std::function<void(std::optional<std::string>)> done);
    void submit_to_leader(submission pending);
    void publish_configuration();
    void answer_configuration_query(const std::string& payload,
                                    std::function<void(wire::answer)> reply);
    void try_confirm();
    void ask_leader_for_configuration();
    /// @brief Handles a leader's answer to a query that was sent at `asked_at`, when `known` was
    /// the revision in force here.
    void on_newest_configuration(const std::string& payload, revision known, time_point asked_at);
    void on_newest_revision(revision newest, time_point asked_at);
    void check_confirmation();
    void end_confirmation(bool confirmed);
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
    boost::asio::steady_timer leader_search_timer_;
    std::mt19937_64 random_;
    std::optional<consensus::replica> replica_;
    std::optional<control::replica_store> store_;
    bool failed_{false};
    bool is_damaged_{false};            ///< the files are damaged and no leader is confirmed yet
    std::vector<instance_id> contacts_; ///< asked for a leader while the files are damaged
    std::optional<std::uint32_t> disk_;
    bool stopped_{false};
    control::state state_;
    consensus::log_index applied_;
    std::multimap<consensus::log_index, waiting_proposal> waiting_proposals_;
    std::map<std::uint64_t, std::function<void(std::optional<control::reply>)>> proposals_;
    std::uint64_t next_token_{0};
    std::vector<instance_id> founders_; ///< open groups: the first voters, all with disk 0
    std::deque<std::pair<revision, config::change>> recent_changes_;
    std::optional<instance_id> leader_hint_;
    std::map<std::uint64_t, std::function<void(std::optional<config::document>)>> reads_;
    document_listener on_document_;
    group_listener on_group_;
    disk_listener on_disk_;
    control::group_changes group_changes_;
    control::removal reported_removal_;
    group_view reported_;
    std::atomic<time_point> lead_lease_end_{time_point::min()};
    bool configuration_requested_{false};
    boost::asio::steady_timer confirm_timer_;
    time_point confirm_deadline_{};
    std::vector<std::function<void(bool)>> waiting_confirmations_;
    std::optional<newest_revision> unapplied_newest_; ///< stated by a leader, not in force here yet
    std::optional<time_point> confirmed_at_; ///< the configuration was then the newest accepted one
    std::atomic<bool> is_confirmed_{false};
    time_point next_join_{};
    mutable std::mutex published_mutex_;
    std::shared_ptr<const config::state> published_;
};

} // namespace tarragonspar::runtime
