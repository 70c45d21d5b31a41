#include "tarragonspar/dispatch/answer_log.hpp"

#include <algorithm>

namespace tarragonspar::dispatch {

bool answer_log::append(answer_event event) {
    if (ended_) {
        return false;
    }
    if (const auto* start = std::get_if<answer_started>(&event)) {
        if (started_) {
            return false;
        }
        started_ = *start;
    }
    if (const auto* piece = std::get_if<answer_piece>(&event)) {
        if (piece->offset != next_offset_) {
            return false;
        }
        next_offset_ += piece->tokens;
        bytes_ += piece->text.size();
    }
    ended_ = std::holds_alternative<answer_finished>(event);
    events_.push_back(std::move(event));
    drop_consumed();
    return true;
}

const answer_event* answer_log::at(std::uint64_t position) const {
    if (position < first_ || position >= first_ + events_.size()) {
        return nullptr;
    }
    return &events_[position - first_];
}

std::optional<std::uint64_t> answer_log::position_of(std::uint64_t token_offset) const {
    if (token_offset == 0 && first_ == 0) {
        return 0;
    }
    auto position = first_;
    for (const auto& event : events_) {
        const auto* piece = std::get_if<answer_piece>(&event);
        if (piece != nullptr && piece->offset >= token_offset) {
            return piece->offset == token_offset ? std::optional{position} : std::nullopt;
        }
        ++position;
    }
    return next_offset_ == token_offset ? std::optional{ended_ ? position - 1 : position}
                                        : std::nullopt;
}

void answer_log::consume(std::uint64_t position) {
    consumed_ = std::max(consumed_, position);
    drop_consumed();
}

void answer_log::drop_consumed() {
    while (bytes_ > max_bytes_ && first_ < consumed_ && events_.size() > 1) {
        if (const auto* piece = std::get_if<answer_piece>(&events_.front())) {
            bytes_ -= piece->text.size();
        }
        events_.pop_front();
        ++first_;
    }
}

const answer_finished* answer_log::finished() const {
    return ended_ ? std::get_if<answer_finished>(&events_.back()) : nullptr;
}

} // namespace tarragonspar::dispatch
