#include <cstdio>
#include <string>

#include "tarragonspar/runtime/instance.hpp"
#include "tarragonspar/settings/daemon_command.hpp"
#include "tarragonspar/settings/machine.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace {

using namespace tarragonspar;

constexpr const char* help = R"(tarragond: an entry instance of tarragonspar

usage: tarragond [--check] FILE

  FILE         settings in YAML; see docs/SETTINGS.md
  --check      report every error in FILE and exit
  --help, --version

signals: SIGTERM and SIGINT shut down gracefully; SIGHUP reloads certificates and the log level
exit codes: 0 success, 1 startup failed, 2 usage error, 3 errors in FILE
)";

/// Handles signals until one requests a shutdown. SIGHUP reloads certificates and the log level;
/// if the settings file has errors, they are reported and nothing is reloaded.
void handle_signals(runtime::instance& instance, const std::string& file) {
    while (settings::wait_for_signal()) {
        const auto reloaded = settings::read_instance_settings_file(file);
        if (settings::report_errors(file, reloaded.errors) != 0) {
            continue;
        }
        if (const auto error = instance.reload(reloaded.value); !error.empty()) {
            std::fprintf(
                stderr,
                "tarragond: certificate reload failed; the previous certificates stay in use: %s\n",
                error.c_str());
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto command = settings::read_daemon_command(argc, argv, help, nullptr);
    if (command.exit_code >= 0) {
        return command.exit_code;
    }
    auto settings_file = settings::read_instance_settings_file(command.file);
    if (const auto code = settings::report_errors(command.file, settings_file.errors);
        code != 0 || command.check) {
        return code;
    }
    settings::configure_allocator();
    settings::block_signals();
    telemetry::start_log("tarragond", settings_file.value.log);
    runtime::instance instance(std::move(settings_file.value));
    if (const auto error = instance.start(); !error.empty()) {
        std::fprintf(stderr, "tarragond: %s\n", error.c_str());
        return settings::exit_cannot_start;
    }
    handle_signals(instance, command.file);
    instance.shut_down();
    return 0;
}
