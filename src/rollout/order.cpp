#include "tarragonspar/rollout/order.hpp"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace tarragonspar::rollout {
namespace {

template <class Enum>
Enum read_enum(const nlohmann::json& in, Enum last) {
    const auto value = in.get<std::uint8_t>();
    if (value > static_cast<std::uint8_t>(last)) {
        throw std::invalid_argument("rollout: value out of range");
    }
    return static_cast<Enum>(value);
}

} // namespace

start_answer apply(table& target, const start_rollout& command) {
    const auto found = target.records.find(command.what.service);
    const auto current = found == target.records.end() ? 0 : found->second.number;
    if (command.what.service.empty() || command.what.target.empty() ||
        command.what.duration.count() <= 0) {
        return {.result = start_result::invalid, .number = current};
    }
    if (found != target.records.end()) {
        if (found->second.what == command.what) {
            return {.result = start_result::repeated, .number = current};
        }
        if (found->second.state == phase::running) {
            return {.result = start_result::in_progress, .number = current};
        }
    }
    const auto number = ++target.last_number;
    target.records[command.what.service] = {.what = command.what,
                                            .number = number,
                                            .state = phase::running,
                                            .started_unix_ms = command.at_unix_ms};
    return {.result = start_result::accepted, .number = number};
}

bool apply(table& target, const conclude_rollout& command) {
    const auto found = target.records.find(command.service);
    if (found == target.records.end() || found->second.number != command.number) {
        return false;
    }
    if (found->second.state == phase::running) {
        found->second.state = command.state;
    }
    return found->second.state == command.state;
}

const char* to_string(phase value) noexcept {
    switch (value) {
    case phase::running:
        return "running";
    case phase::completed:
        return "completed";
    default:
        return "rolled_back";
    }
}

void to_json(nlohmann::json& out, const order& value) {
    out = nlohmann::json::array({value.service, value.target, value.duration.count()});
}

void from_json(const nlohmann::json& in, order& value) {
    value.service = in.at(0).get<std::string>();
    value.target = in.at(1).get<std::string>();
    value.duration = std::chrono::milliseconds{in.at(2).get<std::int64_t>()};
}

void to_json(nlohmann::json& out, const record& value) {
    out = nlohmann::json::array(
        {value.what, value.number, static_cast<std::uint8_t>(value.state), value.started_unix_ms});
}

void from_json(const nlohmann::json& in, record& value) {
    value.what = in.at(0).get<order>();
    value.number = in.at(1).get<std::uint64_t>();
    value.state = read_enum(in.at(2), phase::rolled_back);
    value.started_unix_ms = in.at(3).get<std::int64_t>();
}

void to_json(nlohmann::json& out, const table& value) {
    auto records = nlohmann::json::array();
    for (const auto& [service, item] : value.records) {
        records.push_back(item);
    }
    out = nlohmann::json::array({value.last_number, std::move(records)});
}

void from_json(const nlohmann::json& in, table& value) {
    value.last_number = in.at(0).get<std::uint64_t>();
    value.records.clear();
    for (const auto& item : in.at(1)) {
        auto read = item.get<record>();
        value.records[read.what.service] = std::move(read);
    }
}

void to_json(nlohmann::json& out, const start_rollout& value) {
    out = nlohmann::json::array({value.what, value.at_unix_ms});
}

void from_json(const nlohmann::json& in, start_rollout& value) {
    value.what = in.at(0).get<order>();
    value.at_unix_ms = in.at(1).get<std::int64_t>();
}

void to_json(nlohmann::json& out, const conclude_rollout& value) {
    out = nlohmann::json::array(
        {value.service, value.number, static_cast<std::uint8_t>(value.state)});
}

void from_json(const nlohmann::json& in, conclude_rollout& value) {
    value.service = in.at(0).get<std::string>();
    value.number = in.at(1).get<std::uint64_t>();
    value.state = read_enum(in.at(2), phase::rolled_back);
}

void to_json(nlohmann::json& out, const start_answer& value) {
    out = nlohmann::json::array({static_cast<std::uint8_t>(value.result), value.number});
}

void from_json(const nlohmann::json& in, start_answer& value) {
    value.result = read_enum(in.at(0), start_result::invalid);
    value.number = in.at(1).get<std::uint64_t>();
}

} // namespace tarragonspar::rollout
