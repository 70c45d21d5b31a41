#include "tarragonspar/consensus/replica.hpp"

#include <algorithm>

#include "tarragonspar/consensus/detail/log_view.hpp"

namespace tarragonspar::consensus {

namespace {

using detail::entry_at;
using detail::is_quorum;
using detail::is_voter;
using detail::term_at;

/// State and outputs of one step, passed to all helpers.
struct context {
    replica& self;
    time_point now;
    std::mt19937_64& random;
    std::vector<effect>& effects;
};

void send_to(context& in, replica_id to, term_number term, message_body body) {
    in.effects.emplace_back(
        send{.what = {.from = in.self.self, .to = to, .term = term, .body = std::move(body)}});
}

void store_vote(context& in) {
    in.effects.emplace_back(store_term{.term = in.self.term, .voted_for = in.self.voted_for});
}

void reset_election(context& in) {
    const auto& options = in.self.options;
    std::uniform_int_distribution<std::int64_t> wait(options.election_min.count(),
                                                     options.election_max.count());
    in.self.election_due = in.now + duration{wait(in.random)};
}

void fail_reads(context& in) {
    for (const auto& item : in.self.reads) {
        in.effects.emplace_back(read_ready{.token = item.token, .index = std::nullopt});
    }
    in.self.reads.clear();
}

void become_follower(context& in, term_number term, std::optional<replica_id> leader) {
    const auto was_leader = in.self.current == role::leader;
    if (term > in.self.term) {
        in.self.term = term;
        in.self.voted_for = std::nullopt;
        store_vote(in);
    }
    in.self.current = role::follower;
    in.self.leader = leader;
    in.self.followers.clear();
    if (was_leader) {
        fail_reads(in);
        in.effects.emplace_back(role_changed{.now = role::follower, .term = in.self.term});
    }
}

void append_as_leader(context& in, entry_kind kind, std::string data) {
    entry added{.term = in.self.term,
                .index = {last_index(in.self).value + 1},
                .kind = kind,
                .data = std::move(data)};
    in.self.entries.push_back(added);
    in.effects.emplace_back(store_entries{.from = added.index, .added = {added}});
}

void apply_up_to(context& in, log_index commit) {
    commit = std::min(commit, last_index(in.self));
    while (in.self.commit < commit) {
        ++in.self.commit.value;
        in.effects.emplace_back(apply{.what = entry_at(in.self, in.self.commit)});
    }
}

/// Members that this leader has had no contact with for longer than the shortest election timeout.
std::vector<member_absence> absent_members(const context& in) {
    std::vector<member_absence> out;
    for (const auto& [id, progress] : in.self.followers) {
        const auto age = in.now - progress.last_seen;
        if (age > in.self.options.election_min) {
            out.push_back({.member = id, .age = age});
        }
    }
    return out;
}

void send_entries(context& in, replica_id to, follower_progress& progress) {
    if (progress.next <= in.self.snapshot.index) {
        const auto offset = progress.snapshot_offset.value_or(0);
        progress.snapshot_offset = offset;
        send_to(in, to, in.self.term,
                snapshot_chunk{.metadata = in.self.snapshot,
                               .offset = offset,
                               .total = in.self.snapshot_data.size(),
                               .data = in.self.snapshot_data.substr(
                                   offset, in.self.options.snapshot_chunk_bytes),
                               .round = in.self.round});
        return;
    }
    const log_index previous{progress.next.value - 1};
    auto entries = detail::entries_for_message(in.self, progress.next);
    const auto count = entries.size();
    send_to(in, to, in.self.term,
            append_request{.previous_index = previous,
                           .previous_term = *term_at(in.self, previous),
                           .entries = std::move(entries),
                           .commit = in.self.commit,
                           .round = in.self.round,
                           .absent = absent_members(in)});
    progress.next.value += count;
}

/// When a new leader or its predecessors last had contact with a member. A member that is not known
/// to be absent counts as seen now, so that it has time to answer.
time_point last_known_contact(const context& in, replica_id id) {
    if (in.self.votes.contains(id)) {
        return in.now;
    }
    if (const auto found = in.self.absent.find(id); found != in.self.absent.end()) {
        return found->second;
    }
    return in.self.last_leader == id ? in.self.leader_last_seen : in.now;
}

/// Adds and removes follower progress to match the group in force.
void update_followers(context& in) {
    const auto members = current_group(in.self);
    std::vector<replica_id> all = members.voters;
    all.insert(all.end(), members.learners.begin(), members.learners.end());
    for (const auto id : all) {
        if (id == in.self.self) {
            continue;
        }
        in.self.followers.try_emplace(
            id, follower_progress{.next = {last_index(in.self).value + 1}, .last_seen = in.now});
    }
    std::erase_if(in.self.followers, [&](const auto& item) {
        return std::find(all.begin(), all.end(), item.first) == all.end();
    });
}

void start_round(context& in) {
    auto& rounds = in.self.rounds;
    rounds.push_back({.number = ++in.self.round, .sent_at = in.now});
    while (in.now - rounds.front().sent_at >= in.self.options.election_min) {
        rounds.pop_front();
    }
}

void broadcast(context& in) {
    start_round(in);
    update_followers(in);
    for (auto& [id, progress] : in.self.followers) {
        send_entries(in, id, progress);
    }
    in.self.heartbeat_due = in.now + in.self.options.heartbeat;
}

void answer_reads(context& in) {
    const auto members = current_group(in.self);
    std::erase_if(in.self.reads, [&](const pending_read& item) {
        const auto confirmed = is_quorum(members, [&](replica_id id) {
            const auto found = in.self.followers.find(id);
            return id == in.self.self || (found != in.self.followers.end() &&
                                          found->second.acknowledged_round >= item.round);
        });
        if (confirmed) {
            in.effects.emplace_back(read_ready{.token = item.token, .index = item.index});
        }
        return confirmed;
    });
}

void step_down_if_removed(context& in) {
    const auto committed = detail::group_at(in.self, in.self.commit);
    if (in.self.current == role::leader && !is_voter(committed, in.self.self) &&
        !is_changing_group(in.self)) {
        become_follower(in, in.self.term, std::nullopt);
    }
}

void advance_commit(context& in) {
    const auto members = current_group(in.self);
    auto candidate = last_index(in.self);
    while (candidate > in.self.commit && term_at(in.self, candidate) == in.self.term) {
        const auto replicated = is_quorum(members, [&](replica_id id) {
            const auto found = in.self.followers.find(id);
            return id == in.self.self ||
                   (found != in.self.followers.end() && found->second.match >= candidate);
        });
        if (replicated) {
            apply_up_to(in, candidate);
            step_down_if_removed(in);
            return;
        }
        --candidate.value;
    }
}

void become_leader(context& in) {
    in.self.current = role::leader;
    in.self.leader = in.self.self;
    in.self.followers.clear();
    in.self.rounds.clear();
    in.effects.emplace_back(role_changed{.now = role::leader, .term = in.self.term});
    update_followers(in);
    for (auto& [id, progress] : in.self.followers) {
        progress.last_seen = last_known_contact(in, id);
    }
    append_as_leader(in, entry_kind::barrier, {});
    advance_commit(in);
    broadcast(in);
}

void request_votes(context& in, bool pre_vote) {
    const auto members = current_group(in.self);
    const auto term = pre_vote ? term_number{in.self.term.value + 1} : in.self.term;
    const auto last = last_index(in.self);
    for (const auto id : members.voters) {
        if (id != in.self.self) {
            send_to(in, id, term,
                    vote_request{.last_index = last,
                                 .last_term = *term_at(in.self, last),
                                 .pre_vote = pre_vote});
        }
    }
}

void campaign(context& in);

void count_votes(context& in) {
    const auto won = is_quorum(current_group(in.self),
                               [&](replica_id id) { return in.self.votes.contains(id); });
    if (!won) {
        return;
    }
    if (in.self.current == role::pre_candidate) {
        campaign(in);
    } else if (in.self.current == role::candidate) {
        become_leader(in);
    }
}

void campaign(context& in) {
    in.self.current = role::candidate;
    ++in.self.term.value;
    in.self.voted_for = in.self.self;
    in.self.leader = std::nullopt;
    in.self.votes = {in.self.self};
    reset_election(in);
    store_vote(in);
    request_votes(in, false);
    count_votes(in);
}

void pre_campaign(context& in) {
    reset_election(in);
    if (!is_voter(current_group(in.self), in.self.self)) {
        return;
    }
    in.self.current = role::pre_candidate;
    in.self.leader = std::nullopt;
    in.self.votes = {in.self.self};
    request_votes(in, true);
    count_votes(in);
}

// Messages.

bool is_log_up_to_date(const replica& self, const vote_request& request) {
    const auto last = last_index(self);
    return std::pair(request.last_term, request.last_index) >=
           std::pair(*term_at(self, last), last);
}

/// Whether this replica leads or has heard of a leader within the shortest election timeout. That
/// it knows of a newer term or of no leader since then does not matter: the leader can't know it.
bool has_live_leader(const context& in) {
    const auto has_heard = in.self.leader_last_seen != time_point{};
    return in.self.current == role::leader ||
           (has_heard && in.now - in.self.leader_last_seen < in.self.options.election_min);
}

void on_vote_request(context& in, const message& from, const vote_request& request) {
    if (has_live_leader(in) && from.term > in.self.term) {
        return; // a replica that lost contact must not disrupt a leader that others still reach
    }
    if (request.pre_vote) {
        const auto granted = from.term > in.self.term && is_log_up_to_date(in.self, request);
        send_to(in, from.from, granted ? from.term : in.self.term,
                vote_reply{.granted = granted, .pre_vote = true});
        return;
    }
    if (from.term > in.self.term) {
        become_follower(in, from.term, std::nullopt);
    }
    const auto vote_available = !in.self.voted_for || *in.self.voted_for == from.from;
    const auto may_grant_vote =
        in.self.current == role::follower || in.self.current == role::pre_candidate;
    const auto granted = from.term == in.self.term && vote_available && may_grant_vote &&
                         !has_live_leader(in) && is_log_up_to_date(in.self, request);
    if (granted && !in.self.voted_for) {
        in.self.current = role::follower;
        in.self.voted_for = from.from;
        store_vote(in);
        reset_election(in);
    }
    send_to(in, from.from, in.self.term, vote_reply{.granted = granted, .pre_vote = false});
}

void on_vote_reply(context& in, const message& from, const vote_reply& reply) {
    if (!reply.granted) {
        if (from.term > in.self.term) {
            become_follower(in, from.term, std::nullopt);
        }
        return;
    }
    const auto expected_role = reply.pre_vote ? role::pre_candidate : role::candidate;
    const auto term = reply.pre_vote ? term_number{in.self.term.value + 1} : in.self.term;
    if (in.self.current == expected_role && from.term == term) {
        in.self.votes.insert(from.from);
        count_votes(in);
    }
}

/// Appends entries that are missing and replaces conflicting ones. Committed entries never
/// conflict.
void append_entries(context& in, const std::vector<entry>& entries) {
    auto first_new = entries.begin();
    while (first_new != entries.end() && (first_new->index <= in.self.snapshot.index ||
                                          term_at(in.self, first_new->index) == first_new->term)) {
        ++first_new;
    }
    if (first_new == entries.end()) {
        return;
    }
    const auto from = first_new->index;
    while (!in.self.entries.empty() && in.self.entries.back().index >= from) {
        in.self.entries.pop_back();
    }
    std::vector<entry> added(first_new, entries.end());
    in.self.entries.insert(in.self.entries.end(), added.begin(), added.end());
    in.effects.emplace_back(store_entries{.from = from, .added = std::move(added)});
}

void follow_leader(context& in, const message& from) {
    become_follower(in, from.term, from.from);
    in.self.leader_last_seen = in.now;
    in.self.last_leader = from.from;
    reset_election(in);
}

void on_append(context& in, const message& from, const append_request& request) {
    if (from.term < in.self.term) {
        send_to(in, from.from, in.self.term,
                append_reply{.success = false, .match = {}, .round = request.round});
        return;
    }
    follow_leader(in, from);
    in.self.absent.clear();
    for (const auto& item : request.absent) {
        in.self.absent[item.member] = in.now - item.age;
    }
    const auto previous = request.previous_index;
    const auto matches =
        previous < in.self.snapshot.index || term_at(in.self, previous) == request.previous_term;
    if (!matches) {
        const auto hint = std::min(last_index(in.self).value, previous.value - 1);
        send_to(in, from.from, in.self.term,
                append_reply{.success = false, .match = {hint}, .round = request.round});
        return;
    }
    append_entries(in, request.entries);
    const log_index match{previous.value + request.entries.size()};
    apply_up_to(in, std::min(request.commit, match));
    send_to(in, from.from, in.self.term,
            append_reply{.success = true, .match = match, .round = request.round});
}

void record_contact(context& in, follower_progress& progress, std::uint64_t round) {
    progress.last_seen = in.now;
    progress.acknowledged_round = std::max(progress.acknowledged_round, round);
    const auto& rounds = in.self.rounds;
    if (!rounds.empty() && round >= rounds.front().number && round <= rounds.back().number) {
        progress.acknowledged_sent_at =
            std::max(progress.acknowledged_sent_at, rounds[round - rounds.front().number].sent_at);
    }
    answer_reads(in);
}

void on_append_reply(context& in, const message& from, const append_reply& reply) {
    const auto found = in.self.followers.find(from.from);
    if (in.self.current != role::leader || from.term != in.self.term ||
        found == in.self.followers.end()) {
        return;
    }
    auto& progress = found->second;
    record_contact(in, progress, reply.round);
    if (!reply.success) {
        progress.next = {std::max(progress.match.value, reply.match.value) + 1};
        send_entries(in, from.from, progress);
        return;
    }
    progress.match = std::max(progress.match, reply.match);
    progress.next = std::max(progress.next, {progress.match.value + 1});
    advance_commit(in);
    if (in.self.current == role::leader && progress.next <= last_index(in.self)) {
        send_entries(in, from.from, progress);
    }
}

void install_snapshot(context& in) {
    auto& self = in.self;
    self.snapshot = self.incoming_metadata;
    self.snapshot_data = std::move(self.incoming_snapshot);
    self.incoming_snapshot.clear();
    // Entries after the snapshot may conflict with the leader's log; the leader sends them again.
    self.entries.clear();
    self.commit = self.snapshot.index;
    in.effects.emplace_back(store_snapshot{.metadata = self.snapshot, .data = self.snapshot_data});
    in.effects.emplace_back(restore{.metadata = self.snapshot, .data = self.snapshot_data});
}

void on_snapshot(context& in, const message& from, const snapshot_chunk& chunk) {
    if (from.term < in.self.term) {
        return;
    }
    follow_leader(in, from);
    std::uint64_t next = chunk.total;
    if (chunk.metadata.index > in.self.commit) {
        if (chunk.offset == 0 || chunk.metadata != in.self.incoming_metadata) {
            in.self.incoming_metadata = chunk.metadata;
            in.self.incoming_snapshot.clear();
        }
        if (chunk.offset == in.self.incoming_snapshot.size()) {
            in.self.incoming_snapshot += chunk.data;
        }
        next = in.self.incoming_snapshot.size();
        if (next == chunk.total) {
            install_snapshot(in);
        }
    }
    send_to(
        in, from.from, in.self.term,
        snapshot_reply{.index = chunk.metadata.index, .next_offset = next, .round = chunk.round});
}

void on_snapshot_reply(context& in, const message& from, const snapshot_reply& reply) {
    const auto found = in.self.followers.find(from.from);
    if (in.self.current != role::leader || from.term != in.self.term ||
        found == in.self.followers.end()) {
        return;
    }
    auto& progress = found->second;
    record_contact(in, progress, reply.round);
    if (reply.index != in.self.snapshot.index) {
        progress.snapshot_offset = std::nullopt;
        return;
    }
    if (reply.next_offset < in.self.snapshot_data.size()) {
        const auto advanced = progress.snapshot_offset != reply.next_offset;
        progress.snapshot_offset = reply.next_offset;
        if (advanced) {
            send_entries(in, from.from, progress);
        }
        return;
    }
    progress.snapshot_offset = std::nullopt;
    progress.match = std::max(progress.match, reply.index);
    progress.next = std::max(progress.next, {reply.index.value + 1});
    advance_commit(in);
    if (in.self.current == role::leader) {
        send_entries(in, from.from, progress);
    }
}

/// Whether a message other than a vote request or reply carries a newer term, which ends this
/// replica's leadership or candidacy.
bool is_superseded_by(const context& in, const message& from) {
    const auto is_vote_traffic = std::holds_alternative<vote_request>(from.body) ||
                                 std::holds_alternative<vote_reply>(from.body);
    return from.term > in.self.term && !is_vote_traffic;
}

// Events.

void handle(context& in, const received& input) {
    const auto& from = input.what;
    if (from.to != in.self.self) {
        return; // addressed to an earlier identity of this instance
    }
    if (is_superseded_by(in, from)) {
        become_follower(in, from.term, std::nullopt);
    }
    if (const auto* vote = std::get_if<vote_request>(&from.body)) {
        on_vote_request(in, from, *vote);
    } else if (const auto* voted = std::get_if<vote_reply>(&from.body)) {
        on_vote_reply(in, from, *voted);
    } else if (const auto* append = std::get_if<append_request>(&from.body)) {
        on_append(in, from, *append);
    } else if (const auto* appended = std::get_if<append_reply>(&from.body)) {
        on_append_reply(in, from, *appended);
    } else if (const auto* chunk = std::get_if<snapshot_chunk>(&from.body)) {
        on_snapshot(in, from, *chunk);
    } else if (const auto* chunk_reply = std::get_if<snapshot_reply>(&from.body)) {
        on_snapshot_reply(in, from, *chunk_reply);
    }
}

void check_quorum(context& in) {
    const auto has_quorum = is_quorum(current_group(in.self), [&](replica_id id) {
        const auto found = in.self.followers.find(id);
        return id == in.self.self ||
               (found != in.self.followers.end() &&
                in.now - found->second.last_seen < in.self.options.election_max);
    });
    if (!has_quorum) {
        become_follower(in, in.self.term, std::nullopt);
        reset_election(in);
    }
}

void handle(context& in, const ticked&) {
    if (in.self.current == role::leader) {
        check_quorum(in);
        if (in.self.current == role::leader && in.now >= in.self.heartbeat_due) {
            for (auto& [id, progress] : in.self.followers) {
                // Resends entries that were sent but not acknowledged.
                if (progress.match.value > 0) {
                    progress.next = {progress.match.value + 1};
                }
            }
            broadcast(in);
        }
        return;
    }
    if (in.now >= in.self.election_due) {
        pre_campaign(in);
    }
}

void handle(context& in, const propose& proposal) {
    if (in.self.current != role::leader) {
        in.effects.emplace_back(
            proposed{.token = proposal.token, .index = std::nullopt, .term = in.self.term});
        return;
    }
    append_as_leader(in, entry_kind::command, proposal.data);
    in.effects.emplace_back(
        proposed{.token = proposal.token, .index = last_index(in.self), .term = in.self.term});
    broadcast(in);
    advance_commit(in);
}

bool may_change_group(const replica& self, const group& next) {
    const auto members_in_force = current_group(self);
    const auto stable = has_committed_in_term(self) && !is_changing_group(self);
    if (self.current != role::leader || !stable ||
        !detail::is_single_voter_change(members_in_force, next)) {
        return false;
    }
    return std::all_of(next.voters.begin(), next.voters.end(), [&](replica_id id) {
        return is_voter(members_in_force, id) || is_caught_up(self, id);
    });
}

void handle(context& in, const propose_group& proposal) {
    if (!may_change_group(in.self, proposal.next)) {
        in.effects.emplace_back(
            proposed{.token = proposal.token, .index = std::nullopt, .term = in.self.term});
        return;
    }
    append_as_leader(in, entry_kind::members, encode(proposal.next));
    in.effects.emplace_back(
        proposed{.token = proposal.token, .index = last_index(in.self), .term = in.self.term});
    broadcast(in);
    advance_commit(in);
}

void handle(context& in, const read_request& request) {
    if (in.self.current != role::leader || !has_committed_in_term(in.self)) {
        in.effects.emplace_back(read_ready{.token = request.token, .index = std::nullopt});
        return;
    }
    broadcast(in);
    in.self.reads.push_back(
        {.token = request.token, .round = in.self.round, .index = in.self.commit});
    answer_reads(in);
}

void handle(context& in, const compacted& compaction) {
    if (compaction.index <= in.self.snapshot.index || compaction.index > in.self.commit) {
        return;
    }
    const snapshot_metadata metadata{.index = compaction.index,
                                     .term = *term_at(in.self, compaction.index),
                                     .members = detail::group_at(in.self, compaction.index)};
    while (!in.self.entries.empty() && in.self.entries.front().index <= compaction.index) {
        in.self.entries.pop_front();
    }
    in.self.snapshot = metadata;
    in.self.snapshot_data = compaction.data;
    for (auto& [id, progress] : in.self.followers) {
        progress.snapshot_offset = std::nullopt;
    }
    in.effects.emplace_back(store_snapshot{.metadata = metadata, .data = compaction.data});
}

} // namespace

replica make_replica(const replica_options& options, replica_id self, durable_state stored,
                     time_point now, std::mt19937_64& random) {
    replica out{.options = options, .self = self};
    out.term = stored.term;
    out.voted_for = stored.voted_for;
    out.snapshot = std::move(stored.snapshot);
    out.snapshot_data = std::move(stored.snapshot_data);
    out.entries.assign(stored.entries.begin(), stored.entries.end());
    out.commit = out.snapshot.index;
    std::uniform_int_distribution<std::int64_t> wait(options.first_election_min.count(),
                                                     options.first_election_max.count());
    out.election_due = now + duration{wait(random)};
    return out;
}

void step(replica& target, const event& input, time_point now, std::mt19937_64& random,
          std::vector<effect>& effects) {
    context in{.self = target, .now = now, .random = random, .effects = effects};
    std::visit([&](const auto& specific) { handle(in, specific); }, input);
}

} // namespace tarragonspar::consensus
