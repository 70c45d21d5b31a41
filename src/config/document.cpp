#include "tarragonspar/config/document.hpp"

#include <nlohmann/json.hpp>

#include "tarragonspar/types/cbor.hpp"

namespace tarragonspar::config {

document_answer apply(document& target, const document& published) {
    const auto is_newer = published.number > target.number;
    if (is_newer) {
        target = published;
    }
    return {.in_force = target.number, .accepted = is_newer};
}

void to_json(nlohmann::json& out, const document& value) {
    out = nlohmann::json::array({value.number.value, cbor::binary(value.content)});
}

void from_json(const nlohmann::json& in, document& value) {
    value.number = {in.at(0).get<std::uint64_t>()};
    value.content = cbor::bytes_of(in.at(1));
}

void to_json(nlohmann::json& out, const document_answer& value) {
    out = nlohmann::json::array({value.in_force.value, value.accepted});
}

void from_json(const nlohmann::json& in, document_answer& value) {
    value.in_force = {in.at(0).get<std::uint64_t>()};
    value.accepted = in.at(1).get<bool>();
}

} // namespace tarragonspar::config
