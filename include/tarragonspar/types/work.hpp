#pragma once

#include <vector>

#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar {

/// @brief Properties of a request used in decisions; its body stays at the entry instance.
struct work_item {
    request_id id;
    tier urgency;
    kind_rank rank; ///< orders the kinds of request within the tier
    workspace_id workspace;
    model_id model;
    std::uint64_t profile{};        ///< hash of the profile's name
    time_point arrival;             ///< when the entry instance had read the complete request
    time_point deadline;            ///< from then on, the answer is worthless to the caller
    time_point objective{};         ///< when the answer should begin; zero: no objective
    token_count prompt;             ///< length of the prompt; 0 for plain services
    token_count max_output;         ///< the caller's own limit on the answer's length
    std::vector<block_hash> blocks; ///< chain hashes of the prompt's complete blocks
    /// Keys of the prompt's parts, the last one being the request's own or its session's; without a
    /// prompt, one key of the request as a whole. The same request sent again has the same keys.
    std::vector<std::uint64_t> prompt_parts;
    bool idempotent{true};          ///< whether the profile allows a second run
    bool repeated{false};           ///< a server has got it already and may have run a part of it
    std::uint8_t transfers{};       ///< number of transfers between owners
    std::vector<server_id> avoid;   ///< servers that have failed this request already
    token_count expected_output;    ///< the caller's estimate of the answer's length; 0: none
    std::uint32_t quota_units{};    ///< units that it takes from its workspace's quota
    domain_name_id origin_domain{}; ///< of the instance that dispatches it; 0: unknown
    /// Key under which callers take up the stream that it begins or continues; 0: they can't.
    std::uint64_t stream{};
    std::uint64_t resumed_stream{}; ///< key of the stream that its caller takes up; 0: none
    software_id software;           ///< the only software version whose servers may get it; 0: any
    /// Its dispatcher knows servers of several software versions, now or while streams last.
    bool several_versions{false};
};

/// @brief Whether a request continues one that a server has begun. Refusing it wastes that work,
/// and its latency objective says nothing about what is left of it.
[[nodiscard]] constexpr bool continues(const work_item& work) noexcept {
    return work.repeated || work.software != software_id{};
}

/// @brief Chain hashes of the complete blocks in a prompt's text.
///
/// Two prompts share their first n hashes exactly if they share their first n blocks.
/// @par Complexity  linear in the text
[[nodiscard]] std::vector<block_hash> hash_blocks(std::string_view text);

} // namespace tarragonspar
