#include "tarragonspar/routing/prefix_index.hpp"

#include <algorithm>

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
    entries_.emplace(block, entry{.position = recency_.begin(), .generation = generation_});
}

void prefix_index::insert(std::span<const block_hash> blocks, std::vector<block_hash>* dropped) {
    // The start of a prompt is touched last, so that a chain is dropped from its end.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        touch(*block);
    }
    shrink_to_capacity(dropped);
}

void prefix_index::evict(std::span<const block_hash> blocks) {
    for (const auto block : blocks) {
        const auto found = entries_.find(block);
        if (found == entries_.end()) {
            continue;
        }
        recency_.erase(found->second.position);
        entries_.erase(found);
    }
}

std::size_t prefix_index::match(std::span<const block_hash> blocks) const {
    std::size_t matched = 0;
    for (const auto block : blocks) {
        const auto found = entries_.find(block);
        if (found == entries_.end() || found->second.generation != generation_) {
            break;
        }
        ++matched;
    }
    return matched;
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
    }
    last_event_ = sequence;
    return true;
}

void prefix_index::clear() {
    entries_.clear();
    recency_.clear();
    last_event_ = 0;
}

} // namespace tarragonspar::routing
