#include "tarragonspar/control/founding.hpp"

#include <algorithm>

namespace tarragonspar::control {

namespace {

bool belongs_to_group(const peer_report& report) {
    return report.term.value > 0 || report.disk.value_or(founding_disk) != founding_disk;
}

} // namespace

founding_step next_founding_step(bool has_seat, std::size_t peers,
                                 const std::vector<peer_report>& answers) {
    if (std::any_of(answers.begin(), answers.end(), belongs_to_group)) {
        return has_seat ? founding_step::run : founding_step::join;
    }
    if (answers.size() < peers) {
        return founding_step::wait; // a peer that did not answer may belong to a group
    }
    if (!has_seat) {
        return founding_step::take_seat;
    }
    const auto all_seated =
        std::all_of(answers.begin(), answers.end(),
                    [](const peer_report& report) { return report.disk.has_value(); });
    return all_seated ? founding_step::run : founding_step::wait;
}

} // namespace tarragonspar::control
