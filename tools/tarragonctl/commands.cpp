#include "commands.hpp"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "explain.hpp"
#include "tarragonspar/config/state.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::ctl {

namespace {

using nlohmann::json;

constexpr auto watch_interval = std::chrono::seconds{2};

int report_unreachable(const response& answer) {
    std::fprintf(stderr, "tarragonctl: no answer: %s\n", answer.fault.c_str());
    return exit_unreachable;
}

int report_refusal(const response& answer) {
    const auto body = json::parse(answer.body, nullptr, false);
    const auto detail = body.is_object() ? body.value("detail", answer.body) : answer.body;
    std::fprintf(stderr, "tarragonctl: %s\n", detail.c_str());
    switch (answer.status) {
    case 409:
        return exit_conflict;
    case 503:
        return exit_unreachable;
    default:
        return exit_refused;
    }
}

std::string fresh_id() {
    std::random_device random;
    std::ostringstream id;
    id << std::hex << random() << random() << random();
    return id.str();
}

/// Sends a change; a lost answer is asked for again under the same id.
int publish(const invocation& what, json change) {
    constexpr int max_tries = 3;
    const auto id = what.change_id.empty() ? fresh_id() : what.change_id;
    change["id"] = id;
    change["author"] = what.author;
    if (what.expect) {
        change["expected"] = *what.expect;
    }
    response answer;
    for (int attempt = 0; attempt < max_tries; ++attempt) {
        answer = send(what.to, "POST", "/admin/changes", change.dump());
        if (answer.status != 0 && answer.status != 503) {
            break;
        }
    }
    if (answer.status == 0) {
        std::fprintf(stderr,
                     "tarragonctl: change %s may have been accepted; repeat it with "
                     "--change-id %s\n",
                     id.c_str(), id.c_str());
        return report_unreachable(answer);
    }
    if (answer.status != 200) {
        return report_refusal(answer);
    }
    const auto body = json::parse(answer.body);
    if (what.json) {
        std::puts(answer.body.c_str());
    } else {
        std::printf("accepted as revision %lu (change %s)\n",
                    body.value("revision", std::uint64_t{0}), id.c_str());
    }
    return exit_done;
}

/// Fetches a document; prints why when there is none.
std::optional<json> fetch(const invocation& what, const std::string& target, int& code) {
    const auto answer = send(what.to, "GET", target);
    if (answer.status == 0) {
        code = report_unreachable(answer);
        return std::nullopt;
    }
    if (answer.status != 200) {
        code = report_refusal(answer);
        return std::nullopt;
    }
    return json::parse(answer.body);
}

std::string text_of(const json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_table(const json& rows, const std::vector<std::string>& columns) {
    std::vector<std::size_t> widths;
    for (const auto& column : columns) {
        auto width = column.size();
        for (const auto& row : rows) {
            width = std::max(width, text_of(row.value(column, json(""))).size());
        }
        widths.push_back(width);
    }
    for (std::size_t i = 0; i < columns.size(); ++i) {
        std::printf("%-*s  ", static_cast<int>(widths[i]), columns[i].c_str());
    }
    std::puts("");
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::printf("%-*s  ", static_cast<int>(widths[i]),
                        text_of(row.value(columns[i], json(""))).c_str());
        }
        std::puts("");
    }
}

std::optional<std::string> read_text(const std::string& file) {
    std::ifstream in(file);
    if (!in) {
        std::fprintf(stderr, "tarragonctl: can't read %s\n", file.c_str());
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::optional<config::configuration> read_configuration(const std::string& file) {
    const auto text = read_text(file);
    if (!text) {
        return std::nullopt;
    }
    auto result = settings::read_configuration(*text);
    for (const auto& fault : result.faults) {
        std::fprintf(stderr, "%s\n", settings::describe(file, fault).c_str());
    }
    return result.faults.empty() ? std::optional{std::move(result.value)} : std::nullopt;
}

int list(const invocation& what, const char* part, const std::vector<std::string>& columns) {
    int code = exit_done;
    const auto document = fetch(what, "/admin/config", code);
    if (!document) {
        return code;
    }
    if (what.json) {
        std::puts(document->at(part).dump(2).c_str());
    } else {
        print_table(document->at(part), columns);
    }
    return exit_done;
}

int show_profile(const invocation& what, const std::string& name) {
    int code = exit_done;
    const auto document = fetch(what, "/admin/config", code);
    if (!document) {
        return code;
    }
    for (const auto& item : document->at("profiles")) {
        if (item.at("name") == name) {
            std::puts(item.dump(2).c_str());
            return exit_done;
        }
    }
    std::fprintf(stderr, "tarragonctl: no profile %s\n", name.c_str());
    return exit_refused;
}

/// Publishes every entry of one part of a file.
int publish_each(const invocation& what, const std::string& file, bool profiles) {
    const auto parsed = read_configuration(file);
    if (!parsed) {
        return exit_refused;
    }
    if (profiles) {
        for (const auto& [name, item] : parsed->profiles) {
            if (const auto code = publish(what, {{"put_profile", item}}); code != exit_done) {
                return code;
            }
        }
        return exit_done;
    }
    for (const auto& [id, item] : parsed->servers) {
        if (const auto code = publish(what, {{"put_server", item}}); code != exit_done) {
            return code;
        }
    }
    return exit_done;
}

int set_server_state(const invocation& what, const std::string& id, const char* state) {
    const auto number = std::strtoul(id.c_str(), nullptr, 10);
    return publish(what, {{"set_server_state", {{"id", number}, {"state", state}}}});
}

int publish_whole(const invocation& what, const std::string& file) {
    const auto parsed = read_configuration(file);
    if (!parsed) {
        return exit_refused;
    }
    return publish(what, {{"replace_all", *parsed}});
}

int show_difference(const invocation& what, const std::string& file) {
    const auto parsed = read_configuration(file);
    int code = exit_done;
    const auto present = fetch(what, "/admin/config", code);
    if (!parsed || !present) {
        return parsed ? code : exit_refused;
    }
    auto before = *present;
    auto after = json(*parsed);
    before.erase("revision");
    after.erase("revision");
    const auto patch = json::diff(before, after);
    for (const auto& step : patch) {
        std::printf("%s %s %s\n", step.at("op").get<std::string>().c_str(),
                    step.at("path").get<std::string>().c_str(),
                    step.contains("value") ? step.at("value").dump().c_str() : "");
    }
    return exit_done;
}

int show_history(const invocation& what) {
    int code = exit_done;
    const auto document = fetch(what, "/admin/history", code);
    if (!document) {
        return code;
    }
    if (what.json) {
        std::puts(document->dump(2).c_str());
    } else {
        print_table(*document, {"revision", "author", "summary"});
    }
    return exit_done;
}

void print_status(const json& status) {
    const auto& in_force = status.at("in_force");
    const auto newest = status.value("revision", std::uint64_t{0});
    std::size_t current = 0;
    for (const auto& [id, number] : in_force.items()) {
        current += number.get<std::uint64_t>() >= newest ? 1 : 0;
    }
    std::printf("instance %s in %s: revision %lu in force on %zu of %zu instances\n",
                status.at("instance").dump().c_str(),
                status.at("failure_domain").get<std::string>().c_str(), newest, current,
                status.at("members").size() + 1);
    const auto& control = status.at("control");
    if (control.value("replica", false)) {
        std::printf("control replica: leader is instance %s, term %s, %s voters%s\n",
                    control.value("leader", json(0)).dump().c_str(),
                    control.value("term", json(0)).dump().c_str(),
                    control.value("voters", json(0)).dump().c_str(),
                    control.value("failed", false) ? ", FAILED: see its log" : "");
    }
    std::printf("requests open %s, queued here %s, running here %s\n\n",
                status.at("open_requests").dump().c_str(),
                status.at("owner").at("queued").dump().c_str(),
                status.at("owner").at("running").dump().c_str());
    print_table(status.at("members"), {"id", "status"});
    std::puts("");
    print_table(status.at("owner").at("servers"),
                {"id", "name", "state", "available", "in_flight", "window", "straggler"});
}

int show_status(const invocation& what) {
    int code = exit_done;
    const auto status = fetch(what, "/admin/status", code);
    if (!status) {
        return code;
    }
    if (what.json) {
        std::puts(status->dump(2).c_str());
    } else {
        print_status(*status);
    }
    return exit_done;
}

int watch(const invocation& what) {
    while (true) {
        if (const auto code = show_status(what); code != exit_done) {
            return code;
        }
        std::puts("---");
        std::fflush(stdout);
        std::this_thread::sleep_for(watch_interval);
    }
}

int print_completion() {
    std::puts(R"(_tarragonctl() {
    local words="profile server config status watch explain list show publish delete add drain retire get diff history"
    COMPREPLY=($(compgen -W "$words --instance --output --token --author --expect --change-id --help --version" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _tarragonctl tarragonctl)");
    return exit_done;
}

int run_profile(const invocation& what, const std::string& verb, const std::string& argument) {
    if (verb == "list") {
        return list(what, "profiles",
                    {"name", "tier", "deadline_ms", "idempotent", "max_output_tokens"});
    }
    if (argument.empty()) {
        return exit_usage;
    }
    if (verb == "show") {
        return show_profile(what, argument);
    }
    if (verb == "publish") {
        return publish_each(what, argument, true);
    }
    if (verb == "delete") {
        return publish(what, {{"delete_profile", argument}});
    }
    return exit_usage;
}

int run_server(const invocation& what, const std::string& verb, const std::string& argument) {
    if (verb == "list") {
        return list(what, "servers",
                    {"id", "name", "failure_domain", "address", "kind", "state", "offers"});
    }
    if (argument.empty()) {
        return exit_usage;
    }
    if (verb == "add") {
        return publish_each(what, argument, false);
    }
    if (verb == "drain") {
        return set_server_state(what, argument, "draining");
    }
    if (verb == "retire") {
        return set_server_state(what, argument, "retired");
    }
    return exit_usage;
}

int run_config(const invocation& what, const std::string& verb, const std::string& argument) {
    if (verb == "get") {
        int code = exit_done;
        const auto document = fetch(what, "/admin/config", code);
        if (document) {
            std::puts(document->dump(2).c_str());
        }
        return code;
    }
    if (verb == "history") {
        return show_history(what);
    }
    if (argument.empty()) {
        return exit_usage;
    }
    if (verb == "diff") {
        return show_difference(what, argument);
    }
    if (verb == "publish") {
        return publish_whole(what, argument);
    }
    return exit_usage;
}

} // namespace

const char* help() {
    return R"(tarragonctl: operators' tool of tarragonspar

usage: tarragonctl [OPTION]... COMMAND

  profile list | show NAME | publish FILE | delete NAME
  server  list | add FILE | drain ID | retire ID
  config  get | diff FILE | history | publish FILE
  status                   one instance's view of the deployment
  watch                    status again and again
  explain ID [FILE]...     a request's life and the cause of its end, from logs of entry
                           instances, one file an instance (default: standard input)
  completion               a completion script for bash

  --instance IP:PORT       any instance (default 127.0.0.1:8080)
  --output table|json      (default table)
  --token TEXT             operator's token; also from TARRAGON_TOKEN
  --authorities FILE       use TLS and trust these certificates
  --certificate FILE, --private-key FILE
                           own certificate, if the instance asks for one
  --author NAME            shown in the history (default: the login name)
  --expect N               accept the change only on top of revision N
  --change-id TEXT         repeat an earlier change; it takes effect once
  --help, --version

FILE is YAML as in examples/; a change is repeated safely under its id.

exit codes: 0 done, 1 refused as unsound, 2 wrong usage, 3 no answer or fate not known,
            4 conflict: another change came first
)";
}

int run(const invocation& what) {
    const auto word = [&](std::size_t index) {
        return index < what.words.size() ? what.words[index] : std::string{};
    };
    const auto command = word(0);
    int code = exit_usage;
    if (command == "profile") {
        code = run_profile(what, word(1), word(2));
    } else if (command == "server") {
        code = run_server(what, word(1), word(2));
    } else if (command == "config") {
        code = run_config(what, word(1), word(2));
    } else if (command == "status") {
        code = show_status(what);
    } else if (command == "watch") {
        code = watch(what);
    } else if (command == "explain" && what.words.size() > 1) {
        code = explain_request(word(1), {what.words.begin() + 2, what.words.end()});
    } else if (command == "completion") {
        code = print_completion();
    }
    if (code == exit_usage) {
        std::fputs(help(), stderr);
    }
    return code;
}

} // namespace tarragonspar::ctl
