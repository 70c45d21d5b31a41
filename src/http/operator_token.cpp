#include "tarragonspar/http/operator_token.hpp"

#include <string_view>

#include <openssl/crypto.h>

namespace tarragonspar::http {

namespace {

constexpr std::string_view bearer = "Bearer ";

/// Compares in constant time: the time does not depend on where the texts differ.
bool is_same_secret(const std::string& a, const std::string& b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

bool has_operator_token(const exchange& with, const std::vector<std::string>& tokens) {
    if (tokens.empty()) {
        return true;
    }
    const auto header = with.header("Authorization");
    if (!header.starts_with(bearer)) {
        return false;
    }
    const auto given = header.substr(bearer.size());
    bool found = false;
    for (const auto& token : tokens) {
        found = is_same_secret(token, given) || found;
    }
    return found;
}

} // namespace tarragonspar::http
