#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "tarragonspar/types/ids.hpp"

namespace tarragonspar::routing {

/// @brief Estimated content of one backend server's prefix cache.
///
/// Updated by this instance's dispatches and by the server's cache events, which arrive late and
/// with gaps. A gap invalidates all blocks recorded before it; an invalidated block counts again
/// once a dispatch or an event confirms it, and the count of cached tokens in an answer overrides
/// the estimate. Not thread-safe, not even for concurrent reads: `match` updates a cache of its
/// results.
class prefix_index {
public:
    /// @param capacity  maximum number of blocks; the least recently used ones are evicted beyond
    /// it
    explicit prefix_index(std::size_t capacity = 4096)
        : max_capacity_(capacity), capacity_(capacity) {}

    /// @brief Records that the server has or will have these blocks.
    /// @param dropped  if not null, blocks evicted to stay within the capacity are appended to it
    /// @par Complexity  linear in the blocks
    void insert(std::span<const block_hash> blocks, std::vector<block_hash>* dropped = nullptr);

    /// @brief Removes blocks that the server has reported as evicted.
    void evict(std::span<const block_hash> blocks);

    /// @brief Returns the number of blocks at the start of a prompt that are expected to be cached.
    /// @par Complexity  logarithmic in the blocks; linear once `evict` removed blocks or an event
    /// was missed
    [[nodiscard]] std::size_t match(std::span<const block_hash> blocks) const;

    /// @brief Corrects the estimate by the number of cached blocks that an answer reported.
    ///
    /// Fewer cached blocks than expected mean that the server's cache is smaller than assumed or
    /// shared with other clients, so the index is limited to fewer blocks; agreement lets it grow
    /// again.
    /// @param blocks  the prompt's blocks
    /// @param cached  how many of them the server found in its cache
    void confirm(std::span<const block_hash> blocks, std::size_t cached);

    /// @brief Records the sequence number of a cache event.
    ///
    /// A skipped number invalidates the blocks recorded before it.
    /// @return false if the event is a duplicate or out of order; the caller must then ignore it
    bool accept_event(std::uint64_t sequence);

    /// @brief Removes all blocks; called after the server restarted.
    void clear();

    [[nodiscard]] std::size_t size() const noexcept {
        return entries_.size();
    }

private:
    struct entry {
        std::list<block_hash>::iterator position;
        std::uint64_t generation{};
    };

    struct cached_match {
        block_hash last;
        std::uint64_t version{};
        std::size_t matched{};
    };

    void touch(block_hash block);
    void record_start(block_hash first);
    [[nodiscard]] bool may_start_with(block_hash first) const;
    [[nodiscard]] bool holds(block_hash block) const;
    [[nodiscard]] std::size_t count_held(std::span<const block_hash> blocks) const;

    void shrink_to_capacity(std::vector<block_hash>* dropped);

    std::size_t max_capacity_;
    std::size_t capacity_;
    std::unordered_map<block_hash, entry> entries_;
    std::list<block_hash> recency_;
    std::uint64_t generation_{};
    std::uint64_t last_event_{};
    bool may_have_gaps_{false}; ///< blocks may be missing in the middle of chains
    /// Cached matches of waiting prompts, which are looked up repeatedly, indexed by the hash of
    /// the last block; that hash identifies the entire chain.
    mutable std::array<cached_match, 64> matches_;
    std::uint64_t version_{1}; ///< incremented by each change
    /// Filters of the first blocks of recently inserted prompts, in two generations: most lookups
    /// are for prompts that this server has never seen, and the filters answer those without a
    /// lookup in the table.
    using start_filter = std::bitset<2048>;
    start_filter recent_starts_;
    start_filter older_starts_;
    /// Lower bound of the blocks that were added since `recent_starts_` was cleared and are held.
    std::size_t new_entries_{};
};

} // namespace tarragonspar::routing
