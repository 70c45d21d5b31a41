#include "tarragonspar/control/state.hpp"

#include <nlohmann/json.hpp>

#include "tarragonspar/types/cbor.hpp"

namespace tarragonspar::control {

namespace {

using nlohmann::json;

} // namespace

reply apply(state& target, const command& input) {
    if (const auto* change = std::get_if<config::change>(&input)) {
        return config::apply(target.configuration, *change);
    }
    if (const auto* claim = std::get_if<idempotency::claim>(&input)) {
        return idempotency::apply(target.keys, *claim);
    }
    if (const auto* published = std::get_if<config::document>(&input)) {
        return config::apply(target.published, *published);
    }
    idempotency::apply(target.keys, std::get<idempotency::settlement>(input));
    return std::monostate{};
}

std::string encode(const command& value) {
    json out = json::array({value.index()});
    std::visit([&](const auto& specific) { out.push_back(specific); }, value);
    return cbor::encode(out);
}

command decode_command(const std::string& bytes) {
    const auto in = json::from_cbor(bytes);
    switch (in.at(0).get<std::size_t>()) {
    case 0:
        return in.at(1).get<config::change>();
    case 1:
        return in.at(1).get<idempotency::claim>();
    case 2:
        return in.at(1).get<idempotency::settlement>();
    default:
        return in.at(1).get<config::document>();
    }
}

std::string encode(const reply& value) {
    json out = json::array({value.index()});
    if (const auto* answer = std::get_if<config::change_answer>(&value)) {
        out.push_back(*answer);
    } else if (const auto* claimed = std::get_if<idempotency::claim_answer>(&value)) {
        out.push_back(*claimed);
    } else if (const auto* published = std::get_if<config::document_answer>(&value)) {
        out.push_back(*published);
    }
    return cbor::encode(out);
}

reply decode_reply(const std::string& bytes) {
    const auto in = json::from_cbor(bytes);
    switch (in.at(0).get<std::size_t>()) {
    case 0:
        return std::monostate{};
    case 1:
        return in.at(1).get<config::change_answer>();
    case 2:
        return in.at(1).get<idempotency::claim_answer>();
    default:
        return in.at(1).get<config::document_answer>();
    }
}

std::string encode(const state& value) {
    return cbor::encode(json::array({value.configuration, value.keys, value.published}));
}

state decode_state(const std::string& bytes) {
    const auto in = json::from_cbor(bytes);
    return {.configuration = in.at(0).get<config::state>(),
            .keys = in.at(1).get<idempotency::key_table>(),
            .published = in.size() > 2 ? in.at(2).get<config::document>() : config::document{}};
}

} // namespace tarragonspar::control
