#include "tarragonspar/settings/daemon_command.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <getopt.h>

namespace tarragonspar::settings {

namespace {

sigset_t awaited_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

daemon_command read_daemon_command(int count, char** values, const char* help,
                                   const char* fallback) {
    const option options[] = {{"check", no_argument, nullptr, 'c'},
                              {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'v'},
                              {nullptr, 0, nullptr, 0}};
    daemon_command out;
    optind = 1; // another command line may have been read in this process
    for (int code = 0; (code = getopt_long(count, values, "", options, nullptr)) != -1;) {
        if (code == 'c') {
            out.check = true;
            continue;
        }
        if (code == 'h') {
            std::fputs(help, stdout);
        } else if (code == 'v') {
            std::puts("tarragond 0.1.0");
        }
        out.exit_code = code == 'h' || code == 'v' ? 0 : exit_usage;
        return out;
    }
    const auto* named = fallback == nullptr ? nullptr : std::getenv(fallback);
    if (optind + 1 == count) {
        out.file = values[optind];
    } else if (optind == count && named != nullptr) {
        out.file = named;
    } else {
        std::fputs(help, stderr);
        out.exit_code = exit_usage;
    }
    return out;
}

int report_faults(const std::string& file, const std::vector<fault>& faults) {
    for (const auto& item : faults) {
        std::fprintf(stderr, "%s\n", describe(file, item).c_str());
    }
    return faults.empty() ? 0 : exit_faults;
}

void block_signals() {
    const auto signals = awaited_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool wait_for_signal() {
    const auto signals = awaited_signals();
    int which = 0;
    sigwait(&signals, &which);
    return which == SIGHUP;
}

} // namespace tarragonspar::settings
