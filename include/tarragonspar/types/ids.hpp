#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace tarragonspar {

/// @brief An integral id that does not convert to ids of another kind.
/// @tparam Tag  distinguishes the kinds; never defined
/// @tparam Rep  the underlying unsigned integer
template <class Tag, class Rep>
struct strong_id {
    Rep value{};
    friend constexpr auto operator<=>(const strong_id&, const strong_id&) = default;
};

/// Identifies an instance of the system (one process); unique in a deployment.
using instance_id = strong_id<struct instance_tag, std::uint32_t>;
/// Identifies a failure domain by its position in the settings.
using domain_id = strong_id<struct domain_tag, std::uint16_t>;
/// Identifies a failure domain by the hash of its name, where there are no common settings.
using domain_name_id = strong_id<struct domain_name_tag, std::uint64_t>;
/// Identifies a backend server; unique in a deployment, never reused.
using server_id = strong_id<struct server_tag, std::uint32_t>;
/// Hash of a workspace name.
using workspace_id = strong_id<struct workspace_tag, std::uint64_t>;
/// Hash of a model name or of a service name.
using model_id = strong_id<struct model_tag, std::uint64_t>;
/// Hash of the name of a server's software version; 0: not known.
using software_id = strong_id<struct software_tag, std::uint64_t>;
/// Hash of a chain of prompt blocks, from the start of the prompt.
using block_hash = strong_id<struct block_tag, std::uint64_t>;
/// Number of a process start of one instance; increases with every start.
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;
/// Number of an accepted configuration; only increases.
using revision = strong_id<struct revision_tag, std::uint64_t>;

/// @brief Id of a request: the instance that issued it, that instance's incarnation, a counter.
///
/// The issuer holds the right to dispatch the request, so queries about it go to the issuer.
struct request_id {
    instance_id issuer;
    incarnation issued_in;
    std::uint64_t sequence{};
    friend constexpr auto operator<=>(const request_id&, const request_id&) = default;
};

/// @brief Formats an id as `<issuer>-<incarnation>-<sequence>` in hexadecimal.
[[nodiscard]] std::string to_string(const request_id& id);

/// @brief Parses the output of `to_string`.
/// @return the id, or nothing when the text is malformed
[[nodiscard]] std::optional<request_id> parse_request_id(std::string_view text);

/// @brief Hashes a name, to be used as the value of an id.
[[nodiscard]] std::uint64_t hash_name(std::string_view name) noexcept;

/// @brief Mixes two hashes; used for rendezvous weights and block chains.
[[nodiscard]] std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) noexcept;

/// @brief Returns a number in hexadecimal, as logs show keys.
[[nodiscard]] std::string to_hex(std::uint64_t value);

} // namespace tarragonspar

template <class Tag, class Rep>
struct std::hash<tarragonspar::strong_id<Tag, Rep>> {
    std::size_t operator()(const tarragonspar::strong_id<Tag, Rep>& id) const noexcept {
        return std::hash<Rep>{}(id.value);
    }
};

template <>
struct std::hash<tarragonspar::request_id> {
    std::size_t operator()(const tarragonspar::request_id& id) const noexcept {
        return tarragonspar::hash_pair(tarragonspar::hash_pair(id.issuer.value, id.issued_in.value),
                                       id.sequence);
    }
};
