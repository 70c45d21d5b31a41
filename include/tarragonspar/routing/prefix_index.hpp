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

/// @brief What one backend server's prefix cache is believed to hold.
///
/// Fed by own dispatches and by the server's cache events, which come late and with gaps. A gap
/// makes all that was known before it doubtful; a doubtful block counts again once a dispatch or an
/// event confirms it, and an answer's own count of cached tokens overrules the belief. Not to be
/// used by two threads at a time, not even for reading.
class prefix_index {
public:
    /// @param capacity  blocks remembered; the least recently used ones are dropped beyond it
    explicit prefix_index(std::size_t capacity = 4096)
        : max_capacity_(capacity), capacity_(capacity) {}

    /// @brief Records that the server has or will have these blocks.
    /// @param dropped  if given, the blocks that had to make room are appended to it
    /// @par Complexity  linear in the blocks
    void insert(std::span<const block_hash> blocks, std::vector<block_hash>* dropped = nullptr);

    /// @brief Forgets blocks that the server says it evicted.
    void evict(std::span<const block_hash> blocks);

    /// @brief Blocks at the start of a prompt that the server is believed to hold.
    /// @par Complexity  logarithmic in the blocks; linear once cache events were seen
    [[nodiscard]] std::size_t match(std::span<const block_hash> blocks) const;

    /// @brief Corrects the belief by what an answer said.
    ///
    /// Fewer cached blocks than believed mean that the server's cache is smaller than assumed or
    /// shared with others, so the belief is held to fewer blocks; agreement lets it grow again.
    /// @param blocks  the prompt's blocks
    /// @param cached  how many of them the server found in its cache
    void confirm(std::span<const block_hash> blocks, std::size_t cached);

    /// @brief Notes the sequence number of a cache event.
    ///
    /// A number already seen is ignored by the caller; a skipped number makes older beliefs
    /// doubtful.
    /// @return false when the event is a duplicate or came out of order
    bool accept_event(std::uint64_t sequence);

    /// @brief Forgets everything, after the server restarted.
    void clear();

    [[nodiscard]] std::size_t size() const noexcept {
        return entries_.size();
    }

private:
    struct entry {
        std::list<block_hash>::iterator position;
        std::uint64_t generation{};
    };

    struct remembered_match {
        block_hash last;
        std::uint64_t version{};
        std::size_t matched{};
    };

    void touch(block_hash block);
    void remember_start(block_hash first);
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
    bool may_have_holes_{false}; ///< blocks were taken out of the middle of chains
    /// Matches of the prompts that wait and are looked at again and again, each in the place that
    /// its last block gives; that block stands for the whole chain.
    mutable std::array<remembered_match, 64> matches_;
    std::uint64_t version_{1}; ///< number of the last change
    /// Beginnings of the prompts inserted lately, in two generations: most questions are about
    /// prompts that this server never saw, and this answers them without the table.
    using start_filter = std::bitset<2048>;
    start_filter recent_starts_;
    start_filter older_starts_;
    std::size_t new_entries_{}; ///< since the generation began
};

} // namespace tarragonspar::routing
