#include <cstdio>
#include <cstring>

#include "policy_command.hpp"

namespace {

constexpr const char* help = R"(tarragon-bench: experiments with the scheduling code in virtual time

  tarragon-bench policy --scenario NAME|all [--seed N | --seeds A..B] [--policy P] [--json]
                        [--svg FOLDER]
  tarragon-bench slopes [--json]

  --help, --version

exit codes: 0 success, 1 a tier inversion occurred, 2 usage error
)";

constexpr int exit_usage = 2;

} // namespace

int main(int argc, char** argv) {
    if (argc >= 2 && std::strcmp(argv[1], "policy") == 0) {
        return tarragonspar::bench::run_policy_command(argc - 1, argv + 1);
    }
    if (argc >= 2 && std::strcmp(argv[1], "slopes") == 0) {
        return tarragonspar::bench::run_slopes_command(argc - 1, argv + 1);
    }
    if (argc >= 2 && std::strcmp(argv[1], "--version") == 0) {
        std::puts("tarragon-bench 0.1.0");
        return 0;
    }
    const bool help_requested = argc >= 2 && std::strcmp(argv[1], "--help") == 0;
    std::fputs(help, help_requested ? stdout : stderr);
    return help_requested ? 0 : exit_usage;
}
