#include "tarragonspar/config/state.hpp"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace tarragonspar::config {

namespace {

template <class... Fs>
struct overloaded : Fs... {
    using Fs::operator()...;
};
template <class... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

/// Applies an edit; returns an error message or an empty string.
std::string apply_edit(configuration& target, const edit& input) {
    return std::visit(
        overloaded{[&](const put_profile& item) {
                       target.profiles.insert_or_assign(item.value.name, item.value);
                       return std::string{};
                   },
                   [&](const delete_profile& item) {
                       return target.profiles.erase(item.name) == 0 ? "no profile " + item.name
                                                                    : std::string{};
                   },
                   [&](const put_server& item) {
                       target.servers.insert_or_assign(item.value.id, item.value);
                       return std::string{};
                   },
                   [&](const set_server_state& item) {
                       const auto found = target.servers.find(item.id);
                       if (found == target.servers.end()) {
                           return "no server " + std::to_string(item.id.value);
                       }
                       found->second.state = item.state;
                       return std::string{};
                   },
                   [&](const put_limit& item) {
                       if (item.value.max_in_system == 0) {
                           target.limits.erase(item.value.workspace);
                       } else {
                           target.limits.insert_or_assign(item.value.workspace, item.value);
                       }
                       return std::string{};
                   },
                   [&](const replace_all& item) {
                       const auto number = target.number;
                       target = item.value;
                       target.number = number;
                       return std::string{};
                   }},
        input);
}

std::string summarize(const edit& input) {
    return std::visit(
        overloaded{[](const put_profile& item) { return "profile " + item.value.name; },
                   [](const delete_profile& item) { return "profile " + item.name + " deleted"; },
                   [](const put_server& item) { return "server " + item.value.name; },
                   [](const set_server_state& item) {
                       return "server " + std::to_string(item.id.value) + " " +
                              std::string(to_string(item.state));
                   },
                   [](const put_limit& item) { return "limit of " + item.value.workspace; },
                   [](const replace_all&) { return std::string("whole configuration"); }},
        input);
}

std::string join(const std::vector<std::string>& errors) {
    std::string out;
    for (const auto& error : errors) {
        if (!out.empty()) {
            out += "; ";
        }
        out += error;
    }
    return out;
}

change_answer decide(state& target, const change& request) {
    const auto in_force = target.current.number;
    if (request.expected && *request.expected != in_force) {
        return {.result = change_result::conflict,
                .number = in_force,
                .detail = "expected revision " + std::to_string(request.expected->value) + " but " +
                          std::to_string(in_force.value) + " is in force"};
    }
    auto next = target.current;
    auto error = apply_edit(next, request.what);
    if (error.empty()) {
        error = join(validate(next));
    }
    if (!error.empty()) {
        return {.result = change_result::invalid, .number = in_force, .detail = error};
    }
    next.number = {in_force.value + 1};
    target.current = std::move(next);
    return {.result = change_result::accepted, .number = target.current.number, .detail = {}};
}

void store_answer(state& target, const std::string& id, const change_answer& answer) {
    target.answers.emplace(id, answer);
    target.answer_order.push_back(id);
    if (target.answer_order.size() > max_stored_answers) {
        target.answers.erase(target.answer_order.front());
        target.answer_order.pop_front();
    }
}

} // namespace

change_answer apply(state& target, const change& request) {
    if (const auto found = target.answers.find(request.id); found != target.answers.end()) {
        return found->second;
    }
    auto answer = decide(target, request);
    store_answer(target, request.id, answer);
    if (answer.result == change_result::accepted) {
        target.history.push_back({.number = answer.number,
                                  .author = request.author,
                                  .summary = summarize(request.what)});
        if (target.history.size() > max_history) {
            target.history.pop_front();
        }
    }
    return answer;
}

void to_json(nlohmann::json& out, const change& value) {
    out = {{"id", value.id}, {"author", value.author}};
    if (value.expected) {
        out["expected"] = value.expected->value;
    }
    std::visit(
        overloaded{
            [&](const put_profile& item) { out["put_profile"] = item.value; },
            [&](const delete_profile& item) { out["delete_profile"] = item.name; },
            [&](const put_server& item) { out["put_server"] = item.value; },
            [&](const set_server_state& item) {
                out["set_server_state"] = {{"id", item.id.value}, {"state", to_string(item.state)}};
            },
            [&](const put_limit& item) { out["put_limit"] = item.value; },
            [&](const replace_all& item) { out["replace_all"] = item.value; }},
        value.what);
}

void from_json(const nlohmann::json& in, change& value) {
    value.id = in.at("id").get<std::string>();
    value.author = in.value("author", "");
    if (in.contains("expected")) {
        value.expected = revision{in.at("expected").get<std::uint64_t>()};
    }
    if (in.contains("put_profile")) {
        value.what = put_profile{in.at("put_profile").get<profile>()};
    } else if (in.contains("delete_profile")) {
        value.what = delete_profile{in.at("delete_profile").get<std::string>()};
    } else if (in.contains("put_server")) {
        value.what = put_server{in.at("put_server").get<server>()};
    } else if (in.contains("set_server_state")) {
        const auto& item = in.at("set_server_state");
        const auto name = item.at("state").get<std::string>();
        const auto state = name == "active"     ? server_state::active
                           : name == "draining" ? server_state::draining
                                                : server_state::retired;
        value.what = set_server_state{.id = {item.at("id").get<std::uint32_t>()}, .state = state};
    } else if (in.contains("put_limit")) {
        value.what = put_limit{in.at("put_limit").get<workspace_limit>()};
    } else if (in.contains("replace_all")) {
        value.what = replace_all{in.at("replace_all").get<configuration>()};
    } else {
        throw std::invalid_argument("a change names no known edit");
    }
}

void to_json(nlohmann::json& out, const change_answer& value) {
    constexpr std::string_view names[] = {"accepted", "conflict", "invalid"};
    out = {{"result", names[static_cast<std::size_t>(value.result)]},
           {"revision", value.number.value},
           {"detail", value.detail}};
}

void from_json(const nlohmann::json& in, change_answer& value) {
    const auto name = in.at("result").get<std::string>();
    value.result = name == "accepted"   ? change_result::accepted
                   : name == "conflict" ? change_result::conflict
                                        : change_result::invalid;
    value.number = {in.at("revision").get<std::uint64_t>()};
    value.detail = in.value("detail", "");
}

void to_json(nlohmann::json& out, const history_entry& value) {
    out = {{"revision", value.number.value}, {"author", value.author}, {"summary", value.summary}};
}

void from_json(const nlohmann::json& in, history_entry& value) {
    value.number = {in.at("revision").get<std::uint64_t>()};
    value.author = in.value("author", "");
    value.summary = in.value("summary", "");
}

void to_json(nlohmann::json& out, const state& value) {
    out = {{"current", value.current}, {"history", value.history}};
    out["answers"] = nlohmann::json::array();
    for (const auto& id : value.answer_order) {
        out["answers"].push_back({{"id", id}, {"answer", value.answers.at(id)}});
    }
}

void from_json(const nlohmann::json& in, state& value) {
    value.current = in.at("current").get<configuration>();
    value.history = in.at("history").get<std::deque<history_entry>>();
    for (const auto& item : in.at("answers")) {
        store_answer(value, item.at("id").get<std::string>(),
                     item.at("answer").get<change_answer>());
    }
}

} // namespace tarragonspar::config
