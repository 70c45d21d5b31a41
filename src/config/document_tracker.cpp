#include "tarragonspar/config/document_tracker.hpp"

#include <algorithm>
#include <utility>

namespace tarragonspar::config {

namespace {

/// Returns when the sender's statement was true.
time_point moment_of(const document_update& update) {
    return update.requested - update.newest->age;
}

bool proves(const document_tracker& tracker, const document_update& update, document_number number,
            time_point now) {
    return update.newest && update.newest->number == number &&
           now - moment_of(update) <= tracker.options.max_confirmation_age;
}

} // namespace

std::optional<document> receive(document_tracker& tracker, const document_update& update,
                                time_point now) {
    if (!update.content || update.content->number <= tracker.in_force.number) {
        return std::nullopt;
    }
    // A document that replaces an older one is an advance, whoever sent it. The first one after a
    // start may be older than the one in force before that start.
    const auto is_first = tracker.in_force.number.value == 0;
    if (!is_first || proves(tracker, update, update.content->number, now)) {
        return update.content;
    }
    const auto wait = update.source == document_source::entry_instance
                          ? tracker.options.peer_document_wait
                          : tracker.options.control_document_wait;
    tracker.candidate_due = std::min(tracker.candidate_due, tracker.started + wait);
    if (update.content->number > tracker.candidate.number) {
        tracker.candidate = *update.content;
    }
    return due_candidate(tracker, now);
}

std::optional<document> due_candidate(const document_tracker& tracker, time_point now) {
    const auto waits = tracker.in_force.number.value == 0 && tracker.candidate.number.value > 0;
    if (!waits || now < tracker.candidate_due) {
        return std::nullopt;
    }
    return tracker.candidate;
}

void set_in_force(document_tracker& tracker, document value) {
    if (value.number != tracker.in_force.number) {
        tracker.confirmed_at = std::nullopt;
    }
    tracker.in_force = std::move(value);
    tracker.candidate = {};
}

void confirm(document_tracker& tracker, const document_update& update) {
    const auto applies = update.newest && tracker.in_force.number.value > 0 &&
                         update.newest->number == tracker.in_force.number;
    if (!applies) {
        return;
    }
    const auto moment = moment_of(update);
    tracker.confirmed_at = std::max(tracker.confirmed_at.value_or(moment), moment);
}

bool is_confirmed(const document_tracker& tracker, time_point now) {
    return tracker.confirmed_at &&
           now - *tracker.confirmed_at <= tracker.options.max_confirmation_age;
}

std::optional<newest_document> newest_known(const document_tracker& tracker, time_point now) {
    if (!is_confirmed(tracker, now)) {
        return std::nullopt;
    }
    return newest_document{.number = tracker.in_force.number, .age = now - *tracker.confirmed_at};
}

} // namespace tarragonspar::config
