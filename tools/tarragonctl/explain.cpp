#include "explain.hpp"

#include <cstdio>
#include <fstream>
#include <iostream>

#include "commands.hpp"
#include "tarragonspar/telemetry/explain.hpp"

namespace tarragonspar::ctl {

namespace {

void read_into(std::istream& in, const std::string& source,
               std::vector<telemetry::log_entry>& out) {
    for (std::string line; std::getline(in, line);) {
        if (auto entry = telemetry::read_log_entry(line, source)) {
            out.push_back(std::move(*entry));
        }
    }
}

} // namespace

int explain_request(const std::string& id, const std::vector<std::string>& files) {
    std::vector<telemetry::log_entry> entries;
    for (const auto& name : files) {
        std::ifstream in(name);
        if (!in) {
            std::fprintf(stderr, "tarragonctl: can't read %s\n", name.c_str());
            return exit_usage;
        }
        read_into(in, name, entries);
    }
    if (files.empty()) {
        read_into(std::cin, "standard input", entries);
    }
    const auto text = telemetry::explain(id, entries);
    if (text.empty()) {
        std::fprintf(stderr, "tarragonctl: no line of these logs ends request %s\n", id.c_str());
        return exit_refused;
    }
    std::fputs(text.c_str(), stdout);
    return exit_done;
}

} // namespace tarragonspar::ctl
