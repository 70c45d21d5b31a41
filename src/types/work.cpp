#include "tarragonspar/types/work.hpp"

namespace tarragonspar {

std::vector<block_hash> hash_blocks(std::string_view text) {
    constexpr std::size_t block_bytes = std::size_t{block_tokens} * bytes_per_token;
    std::vector<block_hash> hashes;
    hashes.reserve(text.size() / block_bytes);
    std::uint64_t chain = 0;
    while (text.size() >= block_bytes) {
        chain = hash_pair(hash_name(text.substr(0, block_bytes)), chain);
        hashes.push_back({chain});
        text.remove_prefix(block_bytes);
    }
    return hashes;
}

} // namespace tarragonspar
