#include <boost/beast/core/string.hpp>

#include "tarragonspar/http/detail/session.hpp"

namespace tarragonspar::http::detail {

std::string find_framing_error(const beast_http::request<beast_http::string_body>& request) {
    const auto count = [&](beast_http::field name) {
        const auto range = request.equal_range(name);
        return std::distance(range.first, range.second);
    };
    if (request.target().empty() || request.target().front() != '/') {
        return "the target must be a path";
    }
    if (count(beast_http::field::host) > 1) {
        return "there may be one Host";
    }
    const auto codings = count(beast_http::field::transfer_encoding);
    const auto lengths = count(beast_http::field::content_length);
    if (codings > 0) {
        const auto value = request[beast_http::field::transfer_encoding];
        if (codings > 1 || lengths > 0 || request.version() < 11 ||
            !beast::iequals(value, "chunked")) {
            return "Transfer-Encoding may only be chunked, without Content-Length";
        }
    }
    if (lengths > 1) {
        return "there may be one Content-Length";
    }
    return {};
}

std::size_t field_bytes(const beast_http::fields& fields) {
    std::size_t total = 0;
    for (const auto& field : fields) {
        total += field.name_string().size() + field.value().size() + field_overhead_bytes;
    }
    return total;
}

} // namespace tarragonspar::http::detail
