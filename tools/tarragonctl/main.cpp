#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <getopt.h>

#include "commands.hpp"

namespace {

using namespace tarragonspar::ctl;

const option known[] = {{"instance", required_argument, nullptr, 'i'},
                        {"output", required_argument, nullptr, 'o'},
                        {"token", required_argument, nullptr, 't'},
                        {"authorities", required_argument, nullptr, 'a'},
                        {"certificate", required_argument, nullptr, 'c'},
                        {"private-key", required_argument, nullptr, 'k'},
                        {"author", required_argument, nullptr, 'u'},
                        {"expect", required_argument, nullptr, 'e'},
                        {"change-id", required_argument, nullptr, 'd'},
                        {"help", no_argument, nullptr, 'h'},
                        {"version", no_argument, nullptr, 'v'},
                        {nullptr, 0, nullptr, 0}};

std::string environment(const char* name) {
    const auto* value = std::getenv(name);
    return value == nullptr ? std::string{} : std::string(value);
}

/// Takes one option; returns false when its value is wrong.
bool take(int code, const char* value, invocation& out) {
    switch (code) {
    case 'i':
        out.to.address = value;
        return true;
    case 'o':
        out.json = std::strcmp(value, "json") == 0;
        return out.json || std::strcmp(value, "table") == 0;
    case 't':
        out.to.token = value;
        return true;
    case 'a':
        out.to.authorities = value;
        return true;
    case 'c':
        out.to.certificate = value;
        return true;
    case 'k':
        out.to.private_key = value;
        return true;
    case 'u':
        out.author = value;
        return true;
    case 'e':
        out.expect = std::strtoull(value, nullptr, 10);
        return true;
    case 'd':
        out.change_id = value;
        return true;
    default:
        return false;
    }
}

} // namespace

int main(int count, char** values) {
    invocation what;
    what.to.token = environment("TARRAGON_TOKEN");
    what.author = environment("USER");
    for (int code = 0; (code = getopt_long(count, values, "", known, nullptr)) != -1;) {
        if (code == 'h') {
            std::fputs(help(), stdout);
            return exit_done;
        }
        if (code == 'v') {
            std::puts("tarragonctl 0.1.0");
            return exit_done;
        }
        if (!take(code, optarg, what)) {
            std::fputs(help(), stderr);
            return exit_usage;
        }
    }
    for (int i = optind; i < count; ++i) {
        what.words.emplace_back(values[i]);
    }
    return run(what);
}
