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
    std::fprintf(stderr, "tarragonctl: no response: %s\n", answer.error_message.c_str());
    return exit_unreachable;
}

int report_error_response(const response& answer) {
    const auto body = json::parse(answer.body, nullptr, false);
    const auto detail = body.is_object() ? body.value("detail", answer.body) : answer.body;
    std::fprintf(stderr, "tarragonctl: %s\n", detail.c_str());
    switch (answer.status) {
    case 409:
        return exit_conflict;
    case 503:
        return exit_unreachable;
    default:
        return exit_rejected;
    }
}

std::string generate_change_id() {
    std::random_device random;
    std::ostringstream id;
    id << std::hex << random() << random() << random();
    return id.str();
}

/// Submits a change. Retries with the same id after a lost response or status 503, so that the
/// change takes effect at most once.
int publish(const command_options& options, json change) {
    constexpr int max_attempts = 3;
    const auto id = options.change_id.empty() ? generate_change_id() : options.change_id;
    change["id"] = id;
    change["author"] = options.author;
    if (options.expected_revision) {
        change["expected"] = *options.expected_revision;
    }
    response answer;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        answer = send(options.connection, "POST", "/admin/changes", change.dump());
        if (answer.status != 0 && answer.status != 503) {
            break;
        }
    }
    if (answer.status == 0) {
        std::fprintf(stderr,
                     "tarragonctl: change %s may have been accepted; retry it with "
                     "--change-id %s\n",
                     id.c_str(), id.c_str());
        return report_unreachable(answer);
    }
    if (answer.status != 200) {
        return report_error_response(answer);
    }
    const auto body = json::parse(answer.body);
    if (options.json) {
        std::puts(answer.body.c_str());
    } else {
        std::printf("accepted as revision %lu (change %s)\n",
                    body.value("revision", std::uint64_t{0}), id.c_str());
    }
    return exit_success;
}

/// Fetches a JSON document. On failure, prints the reason and sets `code` to the exit code.
std::optional<json> fetch(const command_options& options, const std::string& target, int& code) {
    const auto answer = send(options.connection, "GET", target);
    if (answer.status == 0) {
        code = report_unreachable(answer);
        return std::nullopt;
    }
    if (answer.status != 200) {
        code = report_error_response(answer);
        return std::nullopt;
    }
    return json::parse(answer.body);
}

std::string to_text(const json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void print_table(const json& rows, const std::vector<std::string>& columns) {
    std::vector<std::size_t> widths;
    for (const auto& column : columns) {
        auto width = column.size();
        for (const auto& row : rows) {
            width = std::max(width, to_text(row.value(column, json(""))).size());
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
                        to_text(row.value(columns[i], json(""))).c_str());
        }
        std::puts("");
    }
}

std::optional<std::string> read_file(const std::string& file) {
    std::ifstream in(file);
    if (!in) {
        std::fprintf(stderr, "tarragonctl: cannot read %s\n", file.c_str());
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::optional<config::configuration> read_configuration(const std::string& file) {
    const auto text = read_file(file);
    if (!text) {
        return std::nullopt;
    }
    auto result = settings::read_configuration(*text);
    for (const auto& error : result.errors) {
        std::fprintf(stderr, "%s\n", settings::describe(file, error).c_str());
    }
    return result.errors.empty() ? std::optional{std::move(result.value)} : std::nullopt;
}

int list_section(const command_options& options, const char* section,
                 const std::vector<std::string>& columns) {
    int code = exit_success;
    const auto document = fetch(options, "/admin/config", code);
    if (!document) {
        return code;
    }
    if (options.json) {
        std::puts(document->at(section).dump(2).c_str());
    } else {
        print_table(document->at(section), columns);
    }
    return exit_success;
}

int show_profile(const command_options& options, const std::string& name) {
    int code = exit_success;
    const auto document = fetch(options, "/admin/config", code);
    if (!document) {
        return code;
    }
    for (const auto& item : document->at("profiles")) {
        if (item.at("name") == name) {
            std::puts(item.dump(2).c_str());
            return exit_success;
        }
    }
    std::fprintf(stderr, "tarragonctl: no profile is named %s\n", name.c_str());
    return exit_rejected;
}

/// Publishes each profile or each server of a file as a change of its own. Stops at the first
/// change that fails; the changes before it stay in effect.
int publish_entries(const command_options& options, const std::string& file, bool profiles) {
    const auto parsed = read_configuration(file);
    if (!parsed) {
        return exit_rejected;
    }
    if (profiles) {
        for (const auto& [name, item] : parsed->profiles) {
            if (const auto code = publish(options, {{"put_profile", item}}); code != exit_success) {
                return code;
            }
        }
        return exit_success;
    }
    for (const auto& [id, item] : parsed->servers) {
        if (const auto code = publish(options, {{"put_server", item}}); code != exit_success) {
            return code;
        }
    }
    return exit_success;
}

int set_server_state(const command_options& options, const std::string& id, const char* state) {
    const auto number = std::strtoul(id.c_str(), nullptr, 10);
    return publish(options, {{"set_server_state", {{"id", number}, {"state", state}}}});
}

int publish_configuration(const command_options& options, const std::string& file) {
    const auto parsed = read_configuration(file);
    if (!parsed) {
        return exit_rejected;
    }
    return publish(options, {{"replace_all", *parsed}});
}

int show_diff(const command_options& options, const std::string& file) {
    const auto parsed = read_configuration(file);
    int code = exit_success;
    const auto deployed = fetch(options, "/admin/config", code);
    if (!parsed || !deployed) {
        return parsed ? code : exit_rejected;
    }
    auto before = *deployed;
    auto after = json(*parsed);
    before.erase("revision");
    after.erase("revision");
    const auto patch = json::diff(before, after);
    for (const auto& step : patch) {
        std::printf("%s %s %s\n", step.at("op").get<std::string>().c_str(),
                    step.at("path").get<std::string>().c_str(),
                    step.contains("value") ? step.at("value").dump().c_str() : "");
    }
    return exit_success;
}

int show_history(const command_options& options) {
    int code = exit_success;
    const auto document = fetch(options, "/admin/history", code);
    if (!document) {
        return code;
    }
    if (options.json) {
        std::puts(document->dump(2).c_str());
    } else {
        print_table(*document, {"revision", "author", "summary"});
    }
    return exit_success;
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

int show_status(const command_options& options) {
    int code = exit_success;
    const auto status = fetch(options, "/admin/status", code);
    if (!status) {
        return code;
    }
    if (options.json) {
        std::puts(status->dump(2).c_str());
    } else {
        print_status(*status);
    }
    return exit_success;
}

int watch(const command_options& options) {
    while (true) {
        if (const auto code = show_status(options); code != exit_success) {
            return code;
        }
        std::puts("---");
        std::fflush(stdout);
        std::this_thread::sleep_for(watch_interval);
    }
}

int print_completion_script() {
    std::puts(R"(_tarragonctl() {
    local words="profile server config status watch explain list show publish delete add drain retire get diff history"
    COMPREPLY=($(compgen -W "$words --instance --output --token --author --expect --change-id --help --version" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -F _tarragonctl tarragonctl)");
    return exit_success;
}

int run_profile_command(const command_options& options, const std::string& subcommand,
                        const std::string& argument) {
    if (subcommand == "list") {
        return list_section(options, "profiles",
                            {"name", "tier", "deadline_ms", "idempotent", "max_output_tokens"});
    }
    if (argument.empty()) {
        return exit_usage;
    }
    if (subcommand == "show") {
        return show_profile(options, argument);
    }
    if (subcommand == "publish") {
        return publish_entries(options, argument, true);
    }
    if (subcommand == "delete") {
        return publish(options, {{"delete_profile", argument}});
    }
    return exit_usage;
}

int run_server_command(const command_options& options, const std::string& subcommand,
                       const std::string& argument) {
    if (subcommand == "list") {
        return list_section(options, "servers",
                            {"id", "name", "failure_domain", "address", "kind", "state", "offers"});
    }
    if (argument.empty()) {
        return exit_usage;
    }
    if (subcommand == "add") {
        return publish_entries(options, argument, false);
    }
    if (subcommand == "drain") {
        return set_server_state(options, argument, "draining");
    }
    if (subcommand == "retire") {
        return set_server_state(options, argument, "retired");
    }
    return exit_usage;
}

int run_config_command(const command_options& options, const std::string& subcommand,
                       const std::string& argument) {
    if (subcommand == "get") {
        int code = exit_success;
        const auto document = fetch(options, "/admin/config", code);
        if (document) {
            std::puts(document->dump(2).c_str());
        }
        return code;
    }
    if (subcommand == "history") {
        return show_history(options);
    }
    if (argument.empty()) {
        return exit_usage;
    }
    if (subcommand == "diff") {
        return show_diff(options, argument);
    }
    if (subcommand == "publish") {
        return publish_configuration(options, argument);
    }
    return exit_usage;
}

int run_quarantine_command(const command_options& options, const std::string& subcommand,
                           const std::string& part) {
    if (subcommand == "list") {
        int code = exit_success;
        if (const auto answer = fetch(options, "/quarantines", code)) {
            if (options.json) {
                std::puts(answer->dump(2).c_str());
            } else {
                print_table(answer->at("quarantines"),
                            {"part", "crashes", "remaining_ms", "refused"});
            }
        }
        return code;
    }
    if (subcommand != "lift" || part.empty()) {
        return exit_usage;
    }
    const auto answer = send(options.connection, "DELETE", "/quarantines/" + part);
    if (answer.status == 0) {
        return report_unreachable(answer);
    }
    return answer.status == 200 ? exit_success : report_error_response(answer);
}

} // namespace

const char* help() {
    return R"(tarragonctl: command-line tool for operators of tarragonspar

usage: tarragonctl [OPTION]... COMMAND

  profile list | show NAME | publish FILE | delete NAME
  server  list | add FILE | drain ID | retire ID
  config  get | diff FILE | history | publish FILE
  quarantine list | lift PART
                           prompt parts that are kept from servers; --instance is the metrics
                           address of an entry or control instance
  status                   the deployment as one instance sees it
  watch                    print the status every 2 seconds
  explain ID [FILE]...     timeline and outcome of a request, from logs of entry instances,
                           one file per instance (default: standard input)
  completion               print a completion script for bash

  --instance IP:PORT       any instance (default 127.0.0.1:8080)
  --output table|json      (default table)
  --token TEXT             operator's token (default: TARRAGON_TOKEN)
  --authorities FILE       use TLS and trust these CA certificates
  --certificate FILE, --private-key FILE
                           client certificate, if the instance requires one
  --author NAME            shown in the history (default: the login name)
  --expect N               apply the change only if the current revision is N
  --change-id TEXT         retry an earlier change; it takes effect at most once
  --help, --version

FILE is YAML as in examples/. A change can be retried safely with its id.

exit codes: 0 success, 1 rejected as invalid, 2 usage error, 3 no response or outcome unknown,
            4 conflict with another change
)";
}

int run(const command_options& options) {
    const auto argument_at = [&](std::size_t index) {
        return index < options.arguments.size() ? options.arguments[index] : std::string{};
    };
    const auto command = argument_at(0);
    int code = exit_usage;
    if (command == "profile") {
        code = run_profile_command(options, argument_at(1), argument_at(2));
    } else if (command == "server") {
        code = run_server_command(options, argument_at(1), argument_at(2));
    } else if (command == "config") {
        code = run_config_command(options, argument_at(1), argument_at(2));
    } else if (command == "quarantine") {
        code = run_quarantine_command(options, argument_at(1), argument_at(2));
    } else if (command == "status") {
        code = show_status(options);
    } else if (command == "watch") {
        code = watch(options);
    } else if (command == "explain" && options.arguments.size() > 1) {
        code = explain_request(argument_at(1),
                               {options.arguments.begin() + 2, options.arguments.end()});
    } else if (command == "completion") {
        code = print_completion_script();
    }
    if (code == exit_usage) {
        std::fputs(help(), stderr);
    }
    return code;
}

} // namespace tarragonspar::ctl
