#include "tarragonspar/telemetry/explain.hpp"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace tarragonspar::telemetry {

namespace {

/// Parses the next `key=value` pair and removes it from `line`.
std::optional<std::pair<std::string, std::string>> parse_pair(std::string_view& line) {
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    const auto separator = line.find('=');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    std::string key(line.substr(0, separator));
    line.remove_prefix(separator + 1);
    std::string value;
    if (!line.starts_with('"')) {
        const auto end = std::min(line.find(' '), line.size());
        value = line.substr(0, end);
        line.remove_prefix(end);
        return std::pair{std::move(key), std::move(value)};
    }
    line.remove_prefix(1);
    while (!line.empty() && line.front() != '"') {
        if (line.front() == '\\' && line.size() > 1) {
            line.remove_prefix(1);
        }
        value += line.front();
        line.remove_prefix(1);
    }
    line.remove_prefix(std::min<std::size_t>(1, line.size()));
    return std::pair{std::move(key), std::move(value)};
}

std::string refusal_cause(const log_entry& end) {
    const auto why = end.value("why");
    if (why == "workspace_limit") {
        return "its workspace exceeded its quota; it was not sent to a server";
    }
    if (why == "overloaded") {
        return "the queue was full, or its latency objective had passed while it waited; it was "
               "not run by a server";
    }
    if (why == "deadline_passed") {
        return "it could not be answered within the caller's remaining time; it was not run";
    }
    if (why == "no_server") {
        return "no active server offered its service; it was not run";
    }
    if (why == "quarantined") {
        return "servers crashed under a part of its prompt, which is kept from servers; it was not "
               "run";
    }
    return "no server had a free slot in time, or all servers that were tried refused it; it was "
           "not run";
}

std::string cause_of(const log_entry& end) {
    const auto status = end.number("status");
    const auto why = end.value("why");
    const auto server = end.value("server");
    if (why == "caller_gone") {
        return "its caller disconnected after " + end.value("total_ms") + " ms";
    }
    if (status == 429 || status == 503) {
        return refusal_cause(end);
    }
    if (status == 502) {
        return "server " + server +
               " was sent the request and failed before its answer was complete; it may have run";
    }
    if (status == 504) {
        return "server " + server +
               " was sent the request and did not complete its answer in time; it may have run";
    }
    if (why == "timed_out") {
        return "its stream from server " + server + " was aborted at its deadline";
    }
    const auto objective = end.number("objective_ms");
    const auto first = std::max(end.number("first_event_ms"),
                                end.number("first_event_ms") < 0 ? end.number("total_ms") : -1L);
    if (status >= 200 && status < 300 && objective >= 0 && first > objective) {
        const auto waited = end.number("wait_ms");
        return waited > first / 2 ? "late: most of the time it waited for a server"
                                  : "late: server " + server + " took most of the time";
    }
    return status >= 200 && status < 300 ? "answered in time"
                                         : "server " + server + " answered " + end.value("status");
}

bool is_state_event(const log_entry& entry) {
    static const std::set<std::string> events{"scheduler_lost",    "scheduler_found",
                                              "server_list_lost",  "server_list_regained",
                                              "document_in_force", "leaving"};
    return events.contains(entry.event);
}

void print(const log_entry& entry, std::ostringstream& out) {
    out << "  " << entry.time << ' ' << entry.event;
    for (const auto& [key, value] : entry.values) {
        out << ' ' << key << '=' << value;
    }
    out << '\n';
}

/// Returns the log entries with the state known to the instance when the request ended: the last
/// event of each kind, and all entries on servers that the request was sent to.
std::vector<const log_entry*> known_state(const std::vector<log_entry>& entries, std::size_t end,
                                          const std::set<std::string>& servers) {
    std::map<std::string, const log_entry*> latest;
    std::vector<const log_entry*> out;
    for (std::size_t i = 0; i < end; ++i) {
        const auto& entry = entries[i];
        if (entry.source != entries[end].source) {
            continue;
        }
        if (is_state_event(entry)) {
            latest[entry.event.substr(0, entry.event.rfind('_'))] = &entry;
        } else if (entry.event == "server_listed" && servers.contains(entry.value("server"))) {
            out.push_back(&entry);
        }
    }
    for (const auto& [kind, entry] : latest) {
        out.push_back(entry);
    }
    std::sort(out.begin(), out.end()); // by position in the log
    return out;
}

} // namespace

std::string log_entry::value(const std::string& key) const {
    const auto found = values.find(key);
    return found == values.end() ? std::string{} : found->second;
}

long log_entry::number(const std::string& key) const {
    const auto text = value(key);
    long out = -1;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), out);
    return parsed.ec == std::errc{} ? out : -1;
}

std::optional<log_entry> read_log_entry(std::string_view line, std::string source) {
    const auto start = std::min(line.find("t="), line.find("event="));
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    auto before = line.substr(0, start);
    line.remove_prefix(start);
    log_entry out{.source = std::move(source)};
    before.remove_suffix(before.size() - (before.find_last_not_of(' ') + 1));
    if (!before.empty()) {
        out.source = before.substr(before.find_last_of(' ') + 1);
    }
    while (auto pair = parse_pair(line)) {
        if (pair->first == "t") {
            out.time = std::move(pair->second);
        } else if (pair->first == "event") {
            out.event = std::move(pair->second);
        } else {
            out.values.insert(std::move(*pair));
        }
    }
    return out.event.empty() ? std::nullopt : std::optional{std::move(out)};
}

std::string explain(const std::string& id, const std::vector<log_entry>& entries) {
    std::ostringstream out;
    std::set<std::string> servers;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto& entry = entries[i];
        if (entry.value("id") != id) {
            continue;
        }
        servers.insert(entry.value("server"));
        if (entry.event != "request") {
            continue;
        }
        out << entry.source << ": " << entry.value("status") << ", " << cause_of(entry) << '\n';
        for (const auto& line : entries) {
            if (line.source == entry.source && line.value("id") == id) {
                print(line, out);
            }
        }
        const auto state = known_state(entries, i, servers);
        if (!state.empty()) {
            out << "state known to this instance:\n";
        }
        for (const auto* line : state) {
            print(*line, out);
        }
    }
    return out.str();
}

} // namespace tarragonspar::telemetry
