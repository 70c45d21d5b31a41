#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tarragonspar/consensus/replica.hpp"

/// @brief Replicas connected by a message queue that a test delivers from, drops from or
/// duplicates.
namespace tarragonspar::testing {

/// Driver faults that a test injects to verify that the invariant checks detect them.
struct injected_faults {
    bool vote_not_synced{false};    ///< a crash loses the term and the vote
    bool entries_not_synced{false}; ///< a crash loses the newest entries
};

/// @brief A group of replicas with simulated disks and checks of the consensus invariants.
class consensus_cluster {
public:
    consensus_cluster(std::size_t count, std::uint64_t seed, injected_faults faults = {})
        : random_(seed), faults_(faults) {
        for (std::uint32_t i = 1; i <= count; ++i) {
            members_.voters.push_back(consensus::make_replica_id({i}, 0));
        }
        for (const auto id : members_.voters) {
            auto& disk = disks_[id];
            disk.snapshot.members = members_;
            start(id);
        }
    }

    void step(consensus::replica_id id, const consensus::event& input) {
        std::vector<consensus::effect> effects;
        consensus::step(replicas_.at(id), input, now_, random_, effects);
        for (const auto& effect : effects) {
            std::visit([&](const auto& specific) { execute(id, specific); }, effect);
        }
    }

    void tick_all(duration elapsed) {
        now_ += elapsed;
        for (const auto id : running()) {
            if (!paused.contains(id)) {
                step(id, consensus::ticked{});
            }
        }
    }

    void deliver(std::size_t index, bool keep = false) {
        const auto received_message = network[index];
        if (paused.contains(received_message.to)) {
            return;
        }
        if (!keep) {
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (replicas_.contains(received_message.to) && !is_blocked(received_message)) {
            step(received_message.to, consensus::received{received_message});
        }
    }

    void deliver_all() {
        for (int i = 0; i < 2000 && !network.empty(); ++i) {
            deliver(0);
        }
    }

    /// Advances time and delivers all messages until a leader is elected.
    std::optional<consensus::replica_id> elect() {
        for (int i = 0; i < 200; ++i) {
            tick_all(std::chrono::milliseconds{50});
            deliver_all();
            if (const auto id = leader()) {
                return id;
            }
        }
        return std::nullopt;
    }

    void settle() {
        for (int i = 0; i < 80; ++i) {
            tick_all(std::chrono::milliseconds{50});
            deliver_all();
        }
    }

    void crash(consensus::replica_id id) {
        replicas_.erase(id);
    }

    void start(consensus::replica_id id) {
        const auto& disk = disks_.at(id);
        applied_[id] = disk.snapshot.index;
        replicas_.insert_or_assign(id, consensus::make_replica({}, id, disk, now_, random_));
    }

    /// Starts a replica with an empty disk, which is no member yet.
    void add(consensus::replica_id id) {
        disks_[id] = {};
        start(id);
    }

    /// Restarts the instance with an empty disk and a new replica id.
    consensus::replica_id replace_disk(consensus::replica_id id) {
        crash(id);
        disks_.erase(id);
        const consensus::replica_id replacement{id.value + 1};
        disks_[replacement] = {};
        start(replacement);
        return replacement;
    }

    void propose(consensus::replica_id id, const std::string& data) {
        step(id, consensus::propose{.token = ++tokens_, .data = data});
    }

    [[nodiscard]] std::optional<consensus::replica_id> leader() const {
        std::optional<consensus::replica_id> found;
        for (const auto& [id, replica] : replicas_) {
            if (replica.current == consensus::role::leader &&
                (!found || replica.term > replicas_.at(*found).term)) {
                found = id;
            }
        }
        return found;
    }

    [[nodiscard]] std::vector<consensus::replica_id> running() const {
        std::vector<consensus::replica_id> ids;
        for (const auto& [id, replica] : replicas_) {
            ids.push_back(id);
        }
        return ids;
    }

    [[nodiscard]] const consensus::replica& at(consensus::replica_id id) const {
        return replicas_.at(id);
    }

    [[nodiscard]] time_point now() const {
        return now_;
    }

    /// Whether a replica may act as leader, by its lease.
    [[nodiscard]] bool holds_lease(consensus::replica_id id) const {
        const auto end = consensus::lead_lease_end(replicas_.at(id));
        return end && now_ < *end;
    }

    std::vector<consensus::message> network;
    std::set<consensus::replica_id> isolated; ///< replicas that neither receive nor send messages
    std::set<consensus::replica_id> paused;   ///< replicas that take no step
    std::vector<std::string> violations;
    std::map<consensus::log_index, consensus::entry> committed;
    std::map<std::uint64_t, std::optional<consensus::log_index>> reads;

private:
    bool is_blocked(const consensus::message& item) const {
        return isolated.contains(item.from) != isolated.contains(item.to);
    }

    void execute(consensus::replica_id id, const consensus::store_term& action) {
        if (!faults_.vote_not_synced) {
            disks_.at(id).term = action.term;
            disks_.at(id).voted_for = action.voted_for;
        }
    }
    void execute(consensus::replica_id id, const consensus::store_entries& action) {
        auto& entries = disks_.at(id).entries;
        while (!entries.empty() && entries.back().index >= action.from) {
            entries.pop_back();
        }
        if (!faults_.entries_not_synced) {
            entries.insert(entries.end(), action.added.begin(), action.added.end());
        }
    }
    void execute(consensus::replica_id id, const consensus::store_snapshot& action) {
        auto& disk = disks_.at(id);
        disk.snapshot = action.metadata;
        disk.snapshot_data = action.data;
        std::erase_if(disk.entries,
                      [&](const auto& entry) { return entry.index <= action.metadata.index; });
    }
    void execute(consensus::replica_id, const consensus::send& action) {
        network.push_back(action.what);
    }
    void execute(consensus::replica_id id, const consensus::apply& action) {
        if (action.what.index.value != applied_[id].value + 1) {
            violations.push_back("an entry was applied out of order");
        }
        applied_[id] = action.what.index;
        const auto [found, added] = committed.emplace(action.what.index, action.what);
        if (!added && found->second != action.what) {
            violations.push_back("a committed entry changed");
        }
    }
    void execute(consensus::replica_id id, const consensus::restore& action) {
        if (action.metadata.index < applied_[id]) {
            violations.push_back("a snapshot was older than the applied state");
        }
        applied_[id] = action.metadata.index;
    }
    void execute(consensus::replica_id, const consensus::proposed&) {}
    void execute(consensus::replica_id, const consensus::read_ready& action) {
        reads[action.token] = action.index;
    }
    void execute(consensus::replica_id id, const consensus::role_changed& action) {
        if (action.now != consensus::role::leader) {
            return;
        }
        const auto [found, added] = leaders_.emplace(action.term, id);
        if (!added && found->second != id) {
            violations.push_back("two leaders in one term");
        }
        for (const auto& [index, entry] : committed) {
            const auto& log = replicas_.at(id);
            if (index <= log.snapshot.index) {
                continue;
            }
            const auto position = index.value - log.snapshot.index.value - 1;
            if (position >= log.entries.size() || log.entries[position] != entry) {
                violations.push_back("a leader is missing a committed entry");
                return;
            }
        }
    }

    std::mt19937_64 random_;
    injected_faults faults_;
    time_point now_{std::chrono::seconds{1}};
    consensus::group members_;
    std::map<consensus::replica_id, consensus::durable_state> disks_;
    std::map<consensus::replica_id, consensus::replica> replicas_;
    std::map<consensus::replica_id, consensus::log_index> applied_;
    std::map<consensus::term_number, consensus::replica_id> leaders_;
    std::uint64_t tokens_{0};
};

} // namespace tarragonspar::testing
