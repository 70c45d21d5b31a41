#include "tarragonspar/consensus/detail/log_view.hpp"

#include <algorithm>
#include <functional>

namespace tarragonspar::consensus {

log_index last_index(const replica& source) {
    return source.entries.empty() ? source.snapshot.index : source.entries.back().index;
}

group current_group(const replica& source) {
    return detail::group_at(source, last_index(source));
}

bool is_changing_group(const replica& source) {
    return std::any_of(source.entries.begin(), source.entries.end(), [&](const entry& item) {
        return item.kind == entry_kind::members && item.index > source.commit;
    });
}

bool is_caught_up(const replica& source, replica_id learner) {
    const auto found = source.followers.find(learner);
    return found != source.followers.end() && found->second.match >= source.commit;
}

std::optional<time_point> lead_lease_end(const replica& source) {
    if (source.current != role::leader || !has_committed_in_term(source)) {
        return std::nullopt;
    }
    std::vector<time_point> confirmed;
    for (const auto id : current_group(source).voters) {
        const auto found = source.followers.find(id);
        const auto sent_at = found != source.followers.end() ? found->second.acknowledged_sent_at
                                                             : time_point::min();
        confirmed.push_back(id == source.self ? time_point::max() : sent_at);
    }
    if (confirmed.empty()) {
        return std::nullopt;
    }
    // A majority has acknowledged a round that was sent at this time or later.
    const auto middle = confirmed.begin() + static_cast<std::ptrdiff_t>(confirmed.size() / 2);
    std::nth_element(confirmed.begin(), middle, confirmed.end(), std::greater<>{});
    if (*middle == time_point::min()) {
        return std::nullopt;
    }
    return *middle == time_point::max() ? *middle : *middle + source.options.election_min;
}

namespace detail {

std::optional<term_number> term_at(const replica& source, log_index index) {
    if (index == source.snapshot.index) {
        return source.snapshot.term;
    }
    if (index < source.snapshot.index || index > last_index(source)) {
        return std::nullopt;
    }
    return entry_at(source, index).term;
}

const entry& entry_at(const replica& source, log_index index) {
    return source.entries.at(index.value - source.snapshot.index.value - 1);
}

group group_at(const replica& source, log_index index) {
    for (auto item = source.entries.rbegin(); item != source.entries.rend(); ++item) {
        if (item->kind == entry_kind::members && item->index <= index) {
            return decode_group(item->data);
        }
    }
    return source.snapshot.members;
}

std::vector<entry> entries_for_message(const replica& source, log_index index) {
    const auto& options = source.options;
    std::vector<entry> out;
    std::size_t bytes = 0;
    for (auto at = index; at <= last_index(source) && out.size() < options.max_entries_per_message;
         ++at.value) {
        const auto& next = entry_at(source, at);
        bytes += next.data.size();
        if (!out.empty() && bytes > options.max_bytes_per_message) {
            break;
        }
        out.push_back(next);
    }
    return out;
}

bool is_voter(const group& members, replica_id id) {
    return std::binary_search(members.voters.begin(), members.voters.end(), id);
}

bool is_single_voter_change(const group& from, const group& to) {
    std::vector<replica_id> changed;
    std::set_symmetric_difference(from.voters.begin(), from.voters.end(), to.voters.begin(),
                                  to.voters.end(), std::back_inserter(changed));
    return changed.size() <= 1 && !to.voters.empty();
}

} // namespace detail

bool has_committed_in_term(const replica& source) {
    return detail::term_at(source, source.commit) == source.term;
}

} // namespace tarragonspar::consensus
