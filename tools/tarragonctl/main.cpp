#include <cstdio>
#include <cstdlib>
#include <cstring>

#include <getopt.h>

#include "commands.hpp"

namespace {

using namespace tarragonspar::ctl;

const option long_options[] = {{"instance", required_argument, nullptr, 'i'},
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

std::string environment_variable(const char* name) {
    const auto* value = std::getenv(name);
    return value == nullptr ? std::string{} : std::string(value);
}

/// Applies one option.
/// @return false if the option is unknown or its value is invalid
bool apply_option(int code, const char* value, command_options& options) {
    switch (code) {
    case 'i':
        options.connection.address = value;
        return true;
    case 'o':
        options.json = std::strcmp(value, "json") == 0;
        return options.json || std::strcmp(value, "table") == 0;
    case 't':
        options.connection.token = value;
        return true;
    case 'a':
        options.connection.authorities = value;
        return true;
    case 'c':
        options.connection.certificate = value;
        return true;
    case 'k':
        options.connection.private_key = value;
        return true;
    case 'u':
        options.author = value;
        return true;
    case 'e':
        options.expected_revision = std::strtoull(value, nullptr, 10);
        return true;
    case 'd':
        options.change_id = value;
        return true;
    default:
        return false;
    }
}

} // namespace

int main(int argc, char** argv) {
    command_options options;
    options.connection.token = environment_variable("TARRAGON_TOKEN");
    options.author = environment_variable("USER");
    for (int code = 0; (code = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
        if (code == 'h') {
            std::fputs(help(), stdout);
            return exit_success;
        }
        if (code == 'v') {
            std::puts("tarragonctl 0.1.0");
            return exit_success;
        }
        if (!apply_option(code, optarg, options)) {
            std::fputs(help(), stderr);
            return exit_usage;
        }
    }
    for (int i = optind; i < argc; ++i) {
        options.arguments.emplace_back(argv[i]);
    }
    return run(options);
}
