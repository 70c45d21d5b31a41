#include "tarragonspar/types/ids.hpp"

#include <array>
#include <charconv>

#include <xxhash.h>

namespace tarragonspar {

namespace {

/// Parses a hexadecimal number up to `stop`, or to the end if `stop` is 0, and removes it from
/// `text`.
std::optional<std::uint64_t> parse_hex(std::string_view& text, char stop) {
    const auto end = stop == '\0' ? text.size() : text.find(stop);
    if (end == std::string_view::npos || end == 0) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto* last = text.data() + end;
    const auto parsed = std::from_chars(text.data(), last, value, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != last) {
        return std::nullopt;
    }
    text.remove_prefix(stop == '\0' ? end : end + 1);
    return value;
}

void append_hex(std::string& out, std::uint64_t value) {
    std::array<char, 16> digits{};
    const auto done = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    out.append(digits.data(), done.ptr);
}

} // namespace

std::string to_string(const request_id& id) {
    std::string out;
    append_hex(out, id.issuer.value);
    out.push_back('-');
    append_hex(out, id.issued_in.value);
    out.push_back('-');
    append_hex(out, id.sequence);
    return out;
}

std::optional<request_id> parse_request_id(std::string_view text) {
    const auto issuer = parse_hex(text, '-');
    if (!issuer || *issuer > UINT32_MAX) {
        return std::nullopt;
    }
    const auto issued_in = parse_hex(text, '-');
    if (!issued_in) {
        return std::nullopt;
    }
    const auto sequence = parse_hex(text, '\0');
    if (!sequence) {
        return std::nullopt;
    }
    return request_id{.issuer = {static_cast<std::uint32_t>(*issuer)},
                      .issued_in = {*issued_in},
                      .sequence = *sequence};
}

std::uint64_t hash_name(std::string_view name) noexcept {
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second) noexcept {
    return XXH3_64bits_withSeed(&first, sizeof first, second);
}

std::string to_hex(std::uint64_t value) {
    constexpr int base = 16;
    std::array<char, 2 * sizeof(value)> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, base).ptr;
    return {digits.data(), end};
}

} // namespace tarragonspar
