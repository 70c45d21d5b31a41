#include "tarragonspar/control/group_changes.hpp"

#include <algorithm>

namespace tarragonspar::control {

namespace {

using consensus::replica_id;

bool contains(const std::vector<replica_id>& ids, replica_id id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool may_propose(const consensus::replica& leader) {
    return leader.current == consensus::role::leader && consensus::has_committed_in_term(leader);
}

bool has_connected_majority(const std::vector<replica_id>& voters, replica_id self,
                            const std::vector<member_contact>& contacts, duration max_age) {
    std::size_t connected = contains(voters, self) ? 1 : 0;
    for (const auto& contact : contacts) {
        connected += contact.age <= max_age && contains(voters, contact.id) ? 1 : 0;
    }
    return connected * 2 > voters.size();
}

bool is_replaced(const group_changes& record, duration absent_for, time_point now) {
    return !record.joins.empty() && record.joins.back() > now - absent_for;
}

removal judge_absence(const group_changes& record, const consensus::replica& leader,
                      const member_contact& absent, const std::vector<member_contact>& contacts,
                      const group_change_options& options, time_point now) {
    removal out{.member = absent.id, .absent_for = absent.age};
    auto next = current_group(leader);
    std::erase(next.voters, absent.id);
    std::erase(next.learners, absent.id);
    const auto timeout = absent.is_voter && is_replaced(record, absent.age, now)
                             ? options.replaced_timeout
                             : options.absent_timeout;
    if (absent.age <= timeout) {
        out.state = removal_state::recently_seen;
    } else if (now - record.leads_since < options.takeover_grace) {
        out.state = removal_state::just_elected;
    } else if (is_changing_group(leader)) {
        out.state = removal_state::changing;
    } else if (absent.is_voter && next.voters.size() < options.min_voters) {
        out.state = removal_state::too_few;
    } else if (!has_connected_majority(next.voters, leader.self, contacts,
                                       options.max_contact_age)) {
        out.state = removal_state::no_majority;
    } else {
        out.state = removal_state::due;
        out.next = std::move(next);
    }
    return out;
}

} // namespace

const char* to_string(removal_state state) {
    switch (state) {
    case removal_state::none_absent:
        return "none_absent";
    case removal_state::not_leader:
        return "not_leader";
    case removal_state::changing:
        return "changing";
    case removal_state::just_elected:
        return "just_elected";
    case removal_state::recently_seen:
        return "recently_seen";
    case removal_state::too_few:
        return "too_few_voters";
    case removal_state::no_majority:
        return "no_majority";
    case removal_state::due:
        return "due";
    }
    return "unknown";
}

void update_term(group_changes& record, const consensus::replica& leader, time_point now) {
    const auto leads = leader.current == consensus::role::leader;
    if (!leads || record.term != leader.term) {
        record = {.term = leads ? leader.term : consensus::term_number{}, .leads_since = now};
    }
}

void record_heard_of(group_changes& record, replica_id voter, time_point now) {
    record.heard_of[voter] = now;
}

std::vector<member_contact> contacts_of(const group_changes& record,
                                        const consensus::replica& leader, time_point now) {
    const auto members = current_group(leader);
    std::vector<member_contact> out;
    for (const auto& [id, progress] : leader.followers) {
        auto last = progress.last_seen;
        if (const auto heard = record.heard_of.find(id); heard != record.heard_of.end()) {
            last = std::max(last, heard->second);
        }
        out.push_back({.id = id,
                       .is_voter = contains(members.voters, id),
                       .age = std::max(duration::zero(), now - last)});
    }
    return out;
}

removal next_removal(const group_changes& record, const consensus::replica& leader,
                     const group_change_options& options, time_point now) {
    if (!may_propose(leader)) {
        return {.state = removal_state::not_leader};
    }
    const auto contacts = contacts_of(record, leader, now);
    auto by_age = contacts;
    std::stable_sort(by_age.begin(), by_age.end(),
                     [](const auto& a, const auto& b) { return a.age > b.age; });
    removal first;
    for (const auto& contact : by_age) {
        if (contact.age <= options.max_contact_age) {
            break;
        }
        auto found = judge_absence(record, leader, contact, contacts, options, now);
        if (found.state == removal_state::due) {
            return found;
        }
        if (!first.member) {
            first = std::move(found);
        }
    }
    return first;
}

void record_removal(group_changes& record, const removal& proposed, time_point now) {
    // One join replaces one absent voter.
    const auto join = std::find_if(record.joins.begin(), record.joins.end(),
                                   [&](time_point at) { return at > now - proposed.absent_for; });
    if (join != record.joins.end()) {
        record.joins.erase(join);
    }
}

std::optional<consensus::group> add_learner(const consensus::replica& leader, replica_id joining) {
    auto next = current_group(leader);
    if (!may_propose(leader) || is_changing_group(leader) || contains(next.voters, joining) ||
        contains(next.learners, joining)) {
        return std::nullopt;
    }
    const auto is_same_instance = [&](replica_id id) {
        return instance_of(id) == instance_of(joining);
    };
    std::erase_if(next.voters, is_same_instance);
    std::erase_if(next.learners, is_same_instance);
    next.learners.push_back(joining);
    std::sort(next.learners.begin(), next.learners.end());
    return next;
}

std::optional<promotion> next_promotion(const group_changes& record,
                                        const consensus::replica& leader,
                                        const group_change_options& options, time_point now) {
    if (!may_propose(leader) || is_changing_group(leader)) {
        return std::nullopt;
    }
    for (const auto& contact : contacts_of(record, leader, now)) {
        if (contact.is_voter || contact.age > options.max_contact_age ||
            !consensus::is_caught_up(leader, contact.id)) {
            continue;
        }
        promotion out{.member = contact.id, .next = current_group(leader)};
        std::erase(out.next.learners, contact.id);
        out.next.voters.push_back(contact.id);
        std::sort(out.next.voters.begin(), out.next.voters.end());
        return out;
    }
    return std::nullopt;
}

void record_promotion(group_changes& record, time_point now) {
    record.joins.push_back(now);
}

} // namespace tarragonspar::control
