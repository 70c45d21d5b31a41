#include "tarragonspar/routing/prefix_index.hpp"

#include <algorithm>
#include <utility>

namespace tarragonspar::routing {

namespace {

/// Lower bound of the capacity, however small the server's cache appears to be.
constexpr std::size_t min_capacity = 64;
/// Reciprocal of the share of blocks by which the capacity is reduced when an answer reports fewer
/// cached blocks than expected.
constexpr std::size_t shrink_divisor = 16;
/// Reciprocal of the share by which the capacity grows when an answer agrees.
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
        record_start(blocks.front());
    }
    // The start of a prompt is touched last, so that a chain is evicted from its end.
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
        may_have_gaps_ = true;
        // The freed space is filled before any older block is dropped.
        new_entries_ -= new_entries_ > 0 ? 1 : 0;
    }
}

void prefix_index::record_start(block_hash first) {
    // After as many new blocks as the capacity, no block is left of a prompt that was not inserted
    // again, so the older generation can be discarded.
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
    auto& memo = matches_[blocks.back().value % matches_.size()];
    if (memo.version != version_ || memo.last != blocks.back()) {
        memo = {.last = blocks.back(), .version = version_, .matched = count_held(blocks)};
    }
    return memo.matched;
}

std::size_t prefix_index::count_held(std::span<const block_hash> blocks) const {
    if (!holds(blocks.front())) {
        return 0;
    }
    const auto is_held = [this](block_hash block) { return holds(block); };
    // Chains are touched and evicted from their end. Without gaps, a chain is therefore cached up
    // to some block and not beyond, and a binary search finds that block.
    const auto end = may_have_gaps_ ? std::find_if_not(blocks.begin(), blocks.end(), is_held)
                                    : std::partition_point(blocks.begin(), blocks.end(), is_held);
    return static_cast<std::size_t>(end - blocks.begin());
}

void prefix_index::confirm(std::span<const block_hash> blocks, std::size_t cached) {
    const auto expected = match(blocks);
    if (cached < expected) {
        capacity_ = std::max(min_capacity, entries_.size() - entries_.size() / shrink_divisor);
    } else {
        capacity_ = std::min(max_capacity_, capacity_ + capacity_ / growth_divisor);
    }
    // After the prefill the server has all blocks of the prompt cached.
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
        may_have_gaps_ = true;
    }
    last_event_ = sequence;
    return true;
}

void prefix_index::clear() {
    entries_.clear();
    recency_.clear();
    last_event_ = 0;
    ++version_;
    may_have_gaps_ = false;
    recent_starts_.reset();
    older_starts_.reset();
    new_entries_ = 0;
}

} // namespace tarragonspar::routing
