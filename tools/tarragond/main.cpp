#include <csignal>
#include <cstdio>
#include <string>

#include <getopt.h>

#include "tarragonspar/runtime/instance.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace {

using namespace tarragonspar;

constexpr const char* help = R"(tarragond: an entry instance of tarragonspar

usage: tarragond [--check] FILE

  FILE         settings in YAML; docs/SETTINGS.md describes them
  --check      report every fault in FILE and exit
  --help, --version

signals: SIGTERM and SIGINT leave gracefully; SIGHUP reads certificates and the log level anew
exit codes: 0 done, 1 could not start, 2 wrong usage, 3 faults in FILE
)";

constexpr int exit_cannot_start = 1;
constexpr int exit_usage = 2;
constexpr int exit_faults = 3;

struct command_line {
    std::string file;
    bool check{false};
    int exit_code{-1};
};

command_line read_command_line(int count, char** values) {
    const option options[] = {{"check", no_argument, nullptr, 'c'},
                              {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'v'},
                              {nullptr, 0, nullptr, 0}};
    command_line line;
    for (int code = 0; (code = getopt_long(count, values, "", options, nullptr)) != -1;) {
        switch (code) {
        case 'c':
            line.check = true;
            break;
        case 'h':
            std::fputs(help, stdout);
            line.exit_code = 0;
            return line;
        case 'v':
            std::puts("tarragond 0.1.0");
            line.exit_code = 0;
            return line;
        default:
            line.exit_code = exit_usage;
            return line;
        }
    }
    if (optind + 1 != count) {
        std::fputs(help, stderr);
        line.exit_code = exit_usage;
        return line;
    }
    line.file = values[optind];
    return line;
}

int report_faults(const std::string& file, const std::vector<settings::fault>& faults) {
    for (const auto& fault : faults) {
        std::fprintf(stderr, "%s\n", settings::describe(file, fault).c_str());
    }
    return faults.empty() ? 0 : exit_faults;
}

/// Waits for signals until one asks the instance to leave.
void wait_until_asked_to_leave(runtime::instance& running, const std::string& file,
                               const sigset_t& signals) {
    while (true) {
        int which = 0;
        sigwait(&signals, &which);
        if (which != SIGHUP) {
            return;
        }
        const auto fresh = settings::read_instance_settings_file(file);
        if (report_faults(file, fresh.faults) != 0) {
            continue;
        }
        if (const auto fault = running.reload(fresh.value); !fault.empty()) {
            std::fprintf(stderr, "tarragond: the old certificates stay in use: %s\n",
                         fault.c_str());
        }
    }
}

} // namespace

int main(int count, char** values) {
    const auto line = read_command_line(count, values);
    if (line.exit_code >= 0) {
        return line.exit_code;
    }
    auto read = settings::read_instance_settings_file(line.file);
    if (const auto code = report_faults(line.file, read.faults); code != 0 || line.check) {
        return code;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    telemetry::start_log("tarragond", read.value.log);
    runtime::instance running(std::move(read.value));
    if (const auto fault = running.start(); !fault.empty()) {
        std::fprintf(stderr, "tarragond: %s\n", fault.c_str());
        return exit_cannot_start;
    }
    wait_until_asked_to_leave(running, line.file, signals);
    running.shut_down();
    return 0;
}
