#include "tarragonspar/gateway/daemon.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include <getopt.h>

#include "tarragonspar/gateway/control_instance.hpp"
#include "tarragonspar/gateway/entry_instance.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace {

constexpr const char* help = R"(an entry or control instance of tarragonspar on a platform

usage: [--check] [FILE]

  FILE         settings in YAML; docs/SETTINGS.md describes them. Without it, the environment
               variable TARRAGOND_SETTINGS names the file
  --check      report every fault in FILE and exit
  --help, --version

signals: SIGTERM and SIGINT leave gracefully; SIGHUP reads log level and founders anew
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
        if (code == 'c') {
            line.check = true;
            continue;
        }
        if (code == 'h') {
            std::fputs(help, stdout);
        } else if (code == 'v') {
            std::puts("tarragond 0.1.0");
        }
        line.exit_code = code == 'h' || code == 'v' ? 0 : exit_usage;
        return line;
    }
    if (optind + 1 == count) {
        line.file = values[optind];
    } else if (const auto* named = std::getenv("TARRAGOND_SETTINGS");
               optind == count && named != nullptr) {
        line.file = named;
    } else {
        std::fputs(help, stderr);
        line.exit_code = exit_usage;
    }
    return line;
}

int report_faults(const std::string& file, const std::vector<settings::fault>& faults) {
    for (const auto& fault : faults) {
        std::fprintf(stderr, "%s\n", settings::describe(file, fault).c_str());
    }
    return faults.empty() ? 0 : exit_faults;
}

template <class Instance>
int run(settings::instance_settings settings, std::unique_ptr<const dialect> speaks,
        const std::string& file, const sigset_t& signals) {
    Instance running(std::move(settings), std::move(speaks));
    if (const auto fault = running.start(); !fault.empty()) {
        std::fprintf(stderr, "tarragond: %s\n", fault.c_str());
        return exit_cannot_start;
    }
    while (true) {
        int which = 0;
        sigwait(&signals, &which);
        if (which != SIGHUP) {
            break;
        }
        const auto fresh = settings::read_instance_settings_file(file);
        if (report_faults(file, fresh.faults) == 0) {
            running.reload(fresh.value);
        }
    }
    running.shut_down();
    return 0;
}

} // namespace

int run_daemon(int count, char** values, std::unique_ptr<const dialect> speaks) {
    const auto line = read_command_line(count, values);
    if (line.exit_code >= 0) {
        return line.exit_code;
    }
    auto read = settings::read_instance_settings_file(line.file);
    if (read.faults.empty() && read.value.role == settings::instance_role::whole) {
        read.faults.push_back({.path = "role", .expected = "entry or control"});
    }
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
    if (read.value.role == settings::instance_role::entry) {
        return run<entry_instance>(std::move(read.value), std::move(speaks), line.file, signals);
    }
    return run<control_instance>(std::move(read.value), std::move(speaks), line.file, signals);
}

} // namespace tarragonspar::gateway
