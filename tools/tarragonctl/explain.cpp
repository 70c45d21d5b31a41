#include "explain.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>

#include "commands.hpp"
#include "tarragonspar/telemetry/explain.hpp"

namespace tarragonspar::ctl {

namespace {

void read_entries(std::istream& in, const std::string& source,
                  std::vector<telemetry::log_entry>& entries) {
    for (std::string line; std::getline(in, line);) {
        if (auto entry = telemetry::read_log_entry(line, source)) {
            entries.push_back(std::move(*entry));
        }
    }
}

} // namespace

int explain_request(const std::string& id, const std::vector<std::string>& files) {
    std::vector<telemetry::log_entry> entries;
    for (const auto& name : files) {
        std::ifstream in(name);
        if (!in) {
            std::fprintf(stderr, "tarragonctl: cannot read %s\n", name.c_str());
            return exit_usage;
        }
        read_entries(in, name, entries);
    }
    if (files.empty()) {
        read_entries(std::cin, "standard input", entries);
    }
    const auto text = telemetry::explain(id, entries);
    if (text.empty()) {
        std::fprintf(stderr, "tarragonctl: no log line records the end of request %s\n",
                     id.c_str());
        return exit_rejected;
    }
    std::fputs(text.c_str(), stdout);
    return exit_success;
}

} // namespace tarragonspar::ctl
