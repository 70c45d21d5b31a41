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

/// @brief What the control service is told at its start.
struct control_options {
    instance_id self;
    bool replica{false};               ///< this instance is a control replica
    std::string data_folder;           ///< empty: the replica's state is in memory
    std::vector<instance_id> replicas; ///< other instances with a control replica
    /// Replicas are not all known beforehand: they ask to join, and absent ones are replaced.
    bool open_group{false};
    bool may_found{false};       ///< open groups: a new disk here belongs to the first group
    config::configuration first; ///< accepted as revision 1 when the group is formed
    consensus::replica_options consensus;
    std::size_t compact_after{512};               ///< applied entries between two snapshots
    std::uint64_t compact_bytes{8 * 1024 * 1024}; ///< log size that brings on a snapshot
};

/// @brief Runs a control replica where the settings ask for one, and brings the accepted
/// configuration to instances without one.
///
/// Everything runs on one thread of its own, since storing waits for the disk.
class control_service final : public config_service,
                              public std::enable_shared_from_this<control_service> {
public:
    using listener = std::function<void(std::shared_ptr<const config::state>)>;
    using document_listener = std::function<void(config::document)>;

    /// @brief What is known about the group from here.
    struct group_view {
        bool runs{false}; ///< the replica's disk can be used
        bool is_voter{false};
        bool leads{false};
        std::optional<instance_id> leader;
        std::vector<instance_id> members; ///< voters and learners
        consensus::term_number term;

        bool operator==(const group_view&) const = default;
    };
    using group_listener = std::function<void(group_view)>;
    /// Told how long each write to the disk took, on the service's thread.
    using disk_listener = std::function<void(duration)>;

    /// @brief How the publication of a document ended.
    struct publication {
        bool acknowledged{false}; ///< everybody will see it or a newer one; false: unknown
        int attempts{0};          ///< times that it was handed to a replica; -1: not known
        std::optional<instance_id> through; ///< the replica that led and took it
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

    /// @brief Has a command applied by the group, through whichever replica leads.
    /// @param done  gets the reply, or nothing when it is not known whether it was applied
    void submit(control::command what, std::function<void(std::optional<control::reply>)> done);

    /// @brief Calls back on the service's thread when a document comes into force here, and when
    /// the leader or the group changes; to be set before `start`.
    void listen(document_listener on_document, group_listener on_group, disk_listener on_disk);

    /// @brief Publishes a document, through whichever replica leads.
    /// @param done  called once
    void publish(config::document what, std::function<void(publication)> done);

    /// @brief Reads the newest document, proved to be the newest.
    /// @param done  gets nothing when that can't be proved now
    void read_published(std::function<void(std::optional<config::document>)> done);

    /// @brief Messages of another replica.
    void on_messages(const std::string& bytes);

    /// @brief A question of another instance about the control group or the configuration.
    void on_question(wire::topic about, const std::string& payload,
                     std::function<void(wire::answer)> reply);

    /// @brief A peer knows this revision; a newer one is asked for.
    void on_peer_revision(instance_id peer, revision newest);

    /// @brief Passes a JSON document on the replica to `use`, on the service's thread.
    void with_status(std::function<void(std::string)> use);

private:
    struct waiting_proposal {
        consensus::term_number term;
        std::function<void(std::optional<control::reply>)> done;
    };

    /// A command on its way to the replica that leads.
    struct submission {
        std::string bytes;
        std::vector<instance_id> candidates; ///< still to be asked in this round
        int attempts{0};
        /// Gets the reply, if any, and the replica that gave it.
        std::function<void(std::optional<std::string>, const submission&)> done;
        std::optional<instance_id> through;
    };

    void find_identity();
    void on_peer_states(std::size_t asked, const std::vector<wire::answer>& answers);
    void start_replica(std::uint32_t disk, bool founding);
    void schedule_tick();
    void tick();
    void step(const consensus::event& what);
    void carry_out(std::vector<consensus::effect>& effects);
    bool flush();
    void note_write(duration taken);
    void send_all(std::vector<consensus::message>& messages);
    void on_applied(const consensus::entry& what);
    void on_proposed(const consensus::proposed& what);
    void restore(const std::string& data);
    void fail(const std::string& why);
    void give_up_waiting();
    /// @brief Ends what the replica was asked and did not answer before its disk failed.
    void give_up_unstored();
    void compact_if_due();
    void ask_to_join();
    void replace_absent();
    void note_group();
    void on_read_ready(const consensus::read_ready& what);
    void read_here(std::function<void(std::optional<config::document>)> done);
    [[nodiscard]] std::vector<instance_id> other_replicas() const;
    [[nodiscard]] std::string load_founders(bool founding);
    /// @brief Tells the leader of a replica that asks to join, since that one may not know the
    /// leader.
    void pass_on_join(consensus::replica_id joining);
    void take_join(consensus::replica_id joining);
    void submit_here(std::string bytes, std::function<void(std::optional<std::string>)> done);
    void submit_anywhere(submission what);
    void publish_configuration();
    void take_configuration(const std::string& payload);
    void remember_change(const config::change& accepted, revision number);
    [[nodiscard]] std::string answer_configuration(const std::string& payload) const;
    [[nodiscard]] std::vector<instance_id> leader_first() const;

    control_options options_;
    wire::node& node_;
    listener on_change_;
    boost::asio::thread_pool pool_{1};
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer restart_timer_; ///< of a replica whose disk failed
    std::mt19937_64 random_;
    std::optional<consensus::replica> replica_;
    std::optional<control::replica_store> store_;
    bool failed_{false};
    std::optional<std::uint32_t> disk_;
    bool stopped_{false};
    control::state state_;
    consensus::log_index applied_;
    std::map<consensus::log_index, waiting_proposal> waiting_;
    std::map<std::uint64_t, std::function<void(std::optional<control::reply>)>> proposing_;
    std::uint64_t next_token_{0};
    std::vector<instance_id> founders_; ///< open groups: the first voters, all with disk 0
    std::deque<std::pair<revision, config::change>> recent_;
    std::optional<instance_id> leader_hint_;
    std::map<std::uint64_t, std::function<void(std::optional<config::document>)>> reading_;
    document_listener on_document_;
    group_listener on_group_;
    disk_listener on_disk_;
    group_view reported_;
    bool asking_configuration_{false};
    time_point next_join_{};
    mutable std::mutex published_mutex_;
    std::shared_ptr<const config::state> published_;
};

} // namespace tarragonspar::runtime
