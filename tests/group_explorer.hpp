#pragma once

#include <functional>

#include "consensus_cluster.hpp"
#include "tarragonspar/control/group_changes.hpp"

/// @brief An open control group under replacements, losses, cuts and restarts in virtual time.
namespace tarragonspar::testing {

using namespace std::chrono_literals;

/// @brief Which kinds of trouble a run has, and how dense it is.
struct explorer_options {
    std::size_t machines{4};
    int troubles{6};
    /// Time after which the loss of another machine must be survived.
    duration catch_up{4s};
    /// A machine is replaced while another one is cut off or restarts. The group may then have no
    /// leader until `catch_up` after both are back.
    bool overlapping{false};
};

/// @brief Runs the decisions of `control::group_changes` on simulated replicas.
///
/// One machine at a time is lost, by one of the ways that a deployment knows; the next trouble
/// begins `catch_up` after the machine, or its successor, is back.
class group_explorer {
public:
    group_explorer(explorer_options options, std::uint64_t seed)
        : options_(options), random_(seed), cluster_(founders, seed) {
        for (auto i = founders; i < options_.machines; ++i) {
            add_machine();
        }
        advance(15s); // the first election and the joins of the further machines
    }

    void run() {
        for (int i = 0; i < options_.troubles && violations.empty(); ++i) {
            check_spare_majority();
            if (options_.overlapping) {
                replace_beside_an_outage();
                advance(recovery);
            } else {
                start_trouble();
            }
            advance(options_.catch_up + duration{random_() % 3'000'000});
        }
        check_spare_majority();
        advance(20s);
        check_all_alive_are_voters();
    }

    void advance(duration time) {
        for (duration passed{}; passed < time; passed += tick) {
            cluster_.tick_all(tick);
            cluster_.deliver_all();
            for (const auto id : cluster_.running()) {
                lead(id);
            }
            if (cluster_.now() >= next_joins_) {
                next_joins_ = cluster_.now() + join_interval;
                request_joins();
            }
            cluster_.deliver_all();
        }
        violations.insert(violations.end(), cluster_.violations.begin(), cluster_.violations.end());
        cluster_.violations.clear();
    }

    /// A machine is gone for good; another one starts at a new address.
    void replace(consensus::replica_id id) {
        note("replaced", id);
        cluster_.crash(id);
        advance(200ms);
        add_machine();
    }
    void cut_off(consensus::replica_id id, duration time) {
        note("cut off", id);
        cluster_.isolated = {id};
        advance(time);
        heal();
    }
    void restart(consensus::replica_id id, duration down) {
        note("restarted", id);
        cluster_.crash(id);
        advance(down);
        cluster_.start(id);
        connected_since_ = cluster_.now();
    }
    void wipe(consensus::replica_id id) {
        note("wiped", id);
        cluster_.replace_disk(id);
    }
    /// All processes end at once and keep their disks, except one that may lose it.
    void restart_all(std::optional<consensus::replica_id> wiped) {
        note("all restarted, wiped", wiped.value_or(consensus::replica_id{}));
        const auto all = cluster_.running();
        for (const auto id : all) {
            cluster_.crash(id);
        }
        records_.clear();
        advance(700ms);
        for (const auto id : all) {
            if (id == wiped) {
                cluster_.add({id.value + 1});
            } else {
                cluster_.start(id);
            }
        }
        connected_since_ = cluster_.now();
    }
    void split(duration time) {
        note("split", {});
        for (const auto id : cluster_.running()) {
            if (cluster_.isolated.size() < cluster_.running().size() / 2) {
                cluster_.isolated.insert(id);
            }
        }
        advance(time);
        heal();
    }

    [[nodiscard]] std::optional<consensus::replica_id> leader() const {
        return cluster_.leader();
    }
    [[nodiscard]] std::vector<consensus::replica_id> running() const {
        return cluster_.running();
    }
    [[nodiscard]] consensus::group group() const {
        const auto id = cluster_.leader();
        return id ? current_group(cluster_.at(*id)) : consensus::group{};
    }

    std::vector<std::string> violations;
    std::string history; ///< the troubles so far, for the text of a failure

private:
    static constexpr std::size_t founders = 3;
    static constexpr duration tick = 10ms;
    static constexpr duration join_interval = 500ms;
    /// Time within which the group must recover after more was lost at once than it bears.
    static constexpr duration recovery = 12s;
    static constexpr duration answer_time = 1s; ///< a heartbeat and its answer, with room
    static constexpr duration assume_removed_after = 3s;

    void heal() {
        cluster_.isolated.clear();
        connected_since_ = cluster_.now();
    }

    void note(const std::string& what, consensus::replica_id id) {
        history += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                      cluster_.now().time_since_epoch())
                                      .count()) +
                   " " + what + " " + std::to_string(instance_of(id).value) + "\n";
    }

    void add_machine() {
        cluster_.add(consensus::make_replica_id({++last_instance_}, 1));
    }

    bool connected(consensus::replica_id a, consensus::replica_id b) const {
        return cluster_.isolated.contains(a) == cluster_.isolated.contains(b);
    }

    void lead(consensus::replica_id id) {
        const auto now = cluster_.now();
        auto& record = records_[id];
        control::update_term(record, cluster_.at(id), now);
        if (auto promotion = control::next_promotion(record, cluster_.at(id), {}, now)) {
            note("leader promotes", promotion->member);
            control::record_promotion(record, now);
            cluster_.step(id, consensus::propose_group{.next = std::move(promotion->next)});
        }
        auto removal = control::next_removal(record, cluster_.at(id), {}, now);
        if (!removal.next) {
            return;
        }
        const auto ids = cluster_.running();
        const auto lives = std::find(ids.begin(), ids.end(), *removal.member) != ids.end();
        // A member that has just been connected again may not have answered yet.
        const auto may_have_answered = cluster_.now() - connected_since_ > answer_time;
        if (lives && connected(id, *removal.member) && may_have_answered) {
            violations.push_back("a connected member is removed");
        }
        note("leader removes", *removal.member);
        control::record_removal(record, removal, now);
        cluster_.step(id, consensus::propose_group{.next = std::move(*removal.next)});
        check_identities(id);
    }

    void request_joins() {
        for (const auto id : cluster_.running()) {
            const auto& replica = cluster_.at(id);
            const auto voters = current_group(replica).voters;
            const auto is_voter = std::find(voters.begin(), voters.end(), id) != voters.end();
            const auto may_be_removed =
                !replica.leader && cluster_.now() - replica.leader_last_seen > assume_removed_after;
            if (is_voter && !may_be_removed) {
                continue;
            }
            for (const auto contact : cluster_.running()) {
                if (contact != id && connected(contact, id)) {
                    pass_on_join(contact, id);
                }
            }
        }
    }

    void pass_on_join(consensus::replica_id contact, consensus::replica_id joining) {
        const auto leader = cluster_.at(contact).leader;
        const auto ids = cluster_.running();
        if (leader && std::find(ids.begin(), ids.end(), *leader) != ids.end() &&
            connected(contact, *leader)) {
            handle_join(*leader, joining);
        }
    }

    void handle_join(consensus::replica_id id, consensus::replica_id joining) {
        const auto& replica = cluster_.at(id);
        if (replica.current != consensus::role::leader) {
            return;
        }
        auto& record = records_[id];
        control::update_term(record, replica, cluster_.now());
        const auto voters = current_group(replica).voters;
        if (std::find(voters.begin(), voters.end(), joining) != voters.end()) {
            control::record_heard_of(record, joining, cluster_.now());
            return;
        }
        if (auto next = control::add_learner(replica, joining)) {
            note("leader admits", joining);
            cluster_.step(id, consensus::propose_group{.next = std::move(*next)});
            check_identities(id);
        }
    }

    void check_identities(consensus::replica_id leader) {
        const auto members = current_group(cluster_.at(leader));
        std::set<std::uint32_t> instances;
        for (const auto* ids : {&members.voters, &members.learners}) {
            for (const auto id : *ids) {
                if (!instances.insert(instance_of(id).value).second) {
                    violations.push_back("two identities of an instance are members");
                }
            }
        }
    }

    std::size_t living_voters(const consensus::group& members) const {
        const auto ids = cluster_.running();
        return static_cast<std::size_t>(
            std::count_if(members.voters.begin(), members.voters.end(), [&](auto id) {
                return std::find(ids.begin(), ids.end(), id) != ids.end();
            }));
    }

    /// One more loss must leave a majority of voters that live.
    void check_spare_majority() {
        const auto members = group();
        const auto living = living_voters(members);
        if (members.voters.empty()) {
            violations.push_back("no leader");
        } else if ((living - 1) * 2 <= members.voters.size()) {
            violations.push_back("one more loss ends the group: " + std::to_string(living) +
                                 " of " + std::to_string(members.voters.size()) + " voters live");
        }
    }

    void check_all_alive_are_voters() {
        const auto members = group();
        if (members.voters != cluster_.running()) {
            violations.push_back("the voters aren't the machines that live: " +
                                 std::to_string(members.voters.size()) + " voters, of which " +
                                 std::to_string(living_voters(members)) + " live, " +
                                 std::to_string(cluster_.running().size()) + " machines");
        }
    }

    void start_trouble() {
        const auto ids = cluster_.running();
        const auto any = ids[random_() % ids.size()];
        const auto id = random_() % 2 == 0 ? cluster_.leader().value_or(any) : any;
        const duration time{1'000'000 + random_() % 11'000'000};
        switch (random_() % 8) {
        case 0:
            return cut_off(id, time);
        case 1:
            return restart(id, time);
        case 2:
            return wipe(id);
        case 3:
            return restart_all(std::nullopt);
        case 4:
            return split(time);
        case 5:
            return restart_all(id);
        default:
            return replace(id);
        }
    }

    void replace_beside_an_outage() {
        auto ids = cluster_.running();
        std::shuffle(ids.begin(), ids.end(), random_);
        const duration time{1'000'000 + random_() % 11'000'000};
        const auto restarts = random_() % 2 == 0;
        if (restarts) {
            note("down", ids[0]);
            cluster_.crash(ids[0]);
        } else {
            note("cut off", ids[0]);
            cluster_.isolated = {ids[0]};
        }
        advance(duration{random_() % 2'000'000});
        replace(ids[1]);
        advance(time);
        if (restarts) {
            cluster_.start(ids[0]);
            connected_since_ = cluster_.now();
        } else {
            heal();
        }
    }

    explorer_options options_;
    std::mt19937_64 random_;
    consensus_cluster cluster_;
    std::map<consensus::replica_id, control::group_changes> records_;
    std::uint32_t last_instance_{founders};
    time_point next_joins_{};
    time_point connected_since_{};
};

} // namespace tarragonspar::testing
