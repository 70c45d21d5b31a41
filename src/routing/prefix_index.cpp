#include "tarragonspar/routing/prefix_index.hpp"

#include <algorithm>
#include <utility>

namespace tarragonspar::routing {

namespace {

/// Blocks that are remembered however small the server's cache seems.
constexpr std::size_t min_capacity = 64;
/// Part of the belief given up when an answer contradicts it.
constexpr std::size_t shrink_divisor = 16;
/// Part by which the capacity grows when an answer agrees.
constexpr std::size_t growth_divisor = 256;

} // namespace

void prefix_index::touch(block_hash block) {
    const auto found = entries_.find(block);
    if (found != entries_.end()) {
        recency_.splice(recency_.begin(), recency_, found->second.position);
        found->second.generation = generation_;
        return;
    }
    recency_.push_front(block);
    ++new_entries_;
    entries_.emplace(block, entry{.position = recency_.begin(), .generation = generation_});
}

void prefix_index::insert(std::span<const block_hash> blocks, std::vector<block_hash>* dropped) {
    ++version_;
    if (!blocks.empty()) {
        remember_start(blocks.front());
    }
    // The start of a prompt is touched last, so that a chain is dropped from its end.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        touch(*block);
    }
    shrink_to_capacity(dropped);
}

void prefix_index::evict(std::span<const block_hash> blocks) {
    ++version_;
    for (const auto block : blocks) {
        const auto found = entries_.find(block);
        if (found == entries_.end()) {
            continue;
        }
        recency_.erase(found->second.position);
        entries_.erase(found);
        may_have_holes_ = true;
    }
}

void prefix_index::remember_start(block_hash first) {
    // After as many new blocks as there is room for, nothing is left of a prompt that was not
    // inserted again, so one whole generation may be forgotten.
    if (new_entries_ >= max_capacity_) {
        older_starts_ = std::exchange(recent_starts_, {});
        new_entries_ = 0;
    }
    recent_starts_.set(first.value % recent_starts_.size());
}

bool prefix_index::may_start_with(block_hash first) const {
    const auto place = first.value % recent_starts_.size();
    return recent_starts_[place] || older_starts_[place];
}

bool prefix_index::holds(block_hash block) const {
    const auto found = entries_.find(block);
    return found != entries_.end() && found->second.generation == generation_;
}

std::size_t prefix_index::match(std::span<const block_hash> blocks) const {
    if (blocks.empty() || !may_start_with(blocks.front())) {
        return 0;
    }
    auto& known = matches_[blocks.back().value % matches_.size()];
    if (known.version != version_ || known.last != blocks.back()) {
        known = {.last = blocks.back(), .version = version_, .matched = count_held(blocks)};
    }
    return known.matched;
}

std::size_t prefix_index::count_held(std::span<const block_hash> blocks) const {
    if (!holds(blocks.front())) {
        return 0;
    }
    const auto is_held = [this](block_hash block) { return holds(block); };
    // Chains are touched from their end and dropped from their end, so one that was never thinned
    // out is held up to some block and not beyond.
    const auto end = may_have_holes_ ? std::find_if_not(blocks.begin(), blocks.end(), is_held)
                                     : std::partition_point(blocks.begin(), blocks.end(), is_held);
    return static_cast<std::size_t>(end - blocks.begin());
}

void prefix_index::confirm(std::span<const block_hash> blocks, std::size_t cached) {
    const auto believed = match(blocks);
    if (cached < believed) {
        capacity_ = std::max(min_capacity, entries_.size() - entries_.size() / shrink_divisor);
    } else {
        capacity_ = std::min(max_capacity_, capacity_ + capacity_ / growth_divisor);
    }
    // After the prefill the server holds the whole prompt, whatever it had found before.
    insert(blocks);
}

void prefix_index::shrink_to_capacity(std::vector<block_hash>* dropped) {
    while (entries_.size() > capacity_) {
        if (dropped != nullptr) {
            dropped->push_back(recency_.back());
        }
        entries_.erase(recency_.back());
        recency_.pop_back();
    }
}

bool prefix_index::accept_event(std::uint64_t sequence) {
    if (sequence <= last_event_) {
        return false;
    }
    if (last_event_ != 0 && sequence != last_event_ + 1) {
        ++generation_;
        ++version_;
        may_have_holes_ = true;
    }
    last_event_ = sequence;
    return true;
}

void prefix_index::clear() {
    entries_.clear();
    recency_.clear();
    last_event_ = 0;
    ++version_;
    may_have_holes_ = false;
    recent_starts_.reset();
    older_starts_.reset();
    new_entries_ = 0;
}

} // namespace tarragonspar::routing
