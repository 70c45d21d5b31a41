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
                                   const char* fallback_variable) {
    const option options[] = {{"check", no_argument, nullptr, 'c'},
                              {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'v'},
                              {nullptr, 0, nullptr, 0}};
    daemon_command out;
    optind = 1; // getopt may have parsed another command line in this process
    for (int option_code = 0;
         (option_code = getopt_long(count, values, "", options, nullptr)) != -1;) {
        if (option_code == 'c') {
            out.check = true;
            continue;
        }
        if (option_code == 'h') {
            std::fputs(help, stdout);
        } else if (option_code == 'v') {
            std::puts("tarragond 0.1.0");
        }
        out.exit_code = option_code == 'h' || option_code == 'v' ? 0 : exit_usage;
        return out;
    }
    const auto* fallback_file =
        fallback_variable == nullptr ? nullptr : std::getenv(fallback_variable);
    if (optind + 1 == count) {
        out.file = values[optind];
    } else if (optind == count && fallback_file != nullptr) {
        out.file = fallback_file;
    } else {
        std::fputs(help, stderr);
        out.exit_code = exit_usage;
    }
    return out;
}

int report_errors(const std::string& file, const std::vector<setting_error>& errors) {
    for (const auto& item : errors) {
        std::fprintf(stderr, "%s\n", describe(file, item).c_str());
    }
    return errors.empty() ? 0 : exit_invalid_settings;
}

void block_signals() {
    const auto signals = awaited_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

bool wait_for_signal() {
    const auto signals = awaited_signals();
    int signal_number = 0;
    sigwait(&signals, &signal_number);
    return signal_number == SIGHUP;
}

} // namespace tarragonspar::settings
