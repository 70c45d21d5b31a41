#include "tarragonspar/gateway/daemon.hpp"

#include <cstdio>
#include <string>

#include "tarragonspar/gateway/control_instance.hpp"
#include "tarragonspar/gateway/entry_instance.hpp"
#include "tarragonspar/settings/daemon_command.hpp"
#include "tarragonspar/settings/machine.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace {

constexpr const char* help = R"(an entry or control instance of tarragonspar on a platform

usage: [--check] [FILE]

  FILE         settings in YAML; docs/SETTINGS.md describes them. Without it, the environment
               variable TARRAGOND_SETTINGS names the file
  --check      report every error in FILE and exit
  --help, --version

signals: SIGTERM and SIGINT shut down gracefully; SIGHUP reloads log level and founders
exit codes: 0 done, 1 could not start, 2 wrong usage, 3 errors in FILE
)";

template <class Instance>
int run(settings::instance_settings settings, std::unique_ptr<const dialect> protocol,
        const std::string& file) {
    Instance running(std::move(settings), std::move(protocol));
    if (const auto error = running.start(); !error.empty()) {
        std::fprintf(stderr, "tarragond: %s\n", error.c_str());
        return settings::exit_cannot_start;
    }
    while (settings::wait_for_signal()) {
        const auto fresh = settings::read_instance_settings_file(file);
        if (settings::report_errors(file, fresh.errors) == 0) {
            running.reload(fresh.value);
        }
    }
    running.shut_down();
    return 0;
}

} // namespace

int run_daemon(int count, char** values, std::unique_ptr<const dialect> protocol) {
    const auto line = settings::read_daemon_command(count, values, help, "TARRAGOND_SETTINGS");
    if (line.exit_code >= 0) {
        return line.exit_code;
    }
    auto read = settings::read_instance_settings_file(line.file);
    if (read.errors.empty() && read.value.role == settings::instance_role::whole) {
        read.errors.push_back({.path = "role", .expected = "entry or control"});
    }
    if (const auto code = settings::report_errors(line.file, read.errors);
        code != 0 || line.check) {
        return code;
    }
    settings::configure_allocator();
    settings::block_signals();
    telemetry::start_log("tarragond", read.value.log);
    if (read.value.role == settings::instance_role::entry) {
        return run<entry_instance>(std::move(read.value), std::move(protocol), line.file);
    }
    return run<control_instance>(std::move(read.value), std::move(protocol), line.file);
}

} // namespace tarragonspar::gateway
