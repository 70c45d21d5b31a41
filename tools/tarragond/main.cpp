#include <cstdio>
#include <string>

#include "tarragonspar/runtime/instance.hpp"
#include "tarragonspar/settings/daemon_command.hpp"
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

/// Waits for signals until one asks the instance to leave.
void wait_until_asked_to_leave(runtime::instance& running, const std::string& file) {
    while (settings::wait_for_signal()) {
        const auto fresh = settings::read_instance_settings_file(file);
        if (settings::report_faults(file, fresh.faults) != 0) {
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
    const auto line = settings::read_daemon_command(count, values, help, nullptr);
    if (line.exit_code >= 0) {
        return line.exit_code;
    }
    auto read = settings::read_instance_settings_file(line.file);
    if (const auto code = settings::report_faults(line.file, read.faults);
        code != 0 || line.check) {
        return code;
    }
    settings::block_signals();
    telemetry::start_log("tarragond", read.value.log);
    runtime::instance running(std::move(read.value));
    if (const auto fault = running.start(); !fault.empty()) {
        std::fprintf(stderr, "tarragond: %s\n", fault.c_str());
        return settings::exit_cannot_start;
    }
    wait_until_asked_to_leave(running, line.file);
    running.shut_down();
    return 0;
}
