#include <cstdio>
#include <cstring>

#include "policy_command.hpp"

namespace {

constexpr const char* help = R"(tarragon-bench: experiments on the decision code in virtual time

  tarragon-bench policy --scenario NAME|all [--seed N | --seeds A..B] [--policy P] [--json]
                        [--svg FOLDER]
  tarragon-bench slopes [--json]

  --help, --version

exit codes: 0 done, 1 a tier was inverted, 2 wrong usage
)";

constexpr int exit_usage = 2;

} // namespace

int main(int count, char** values) {
    if (count >= 2 && std::strcmp(values[1], "policy") == 0) {
        return tarragonspar::bench::run_policy_command(count - 1, values + 1);
    }
    if (count >= 2 && std::strcmp(values[1], "slopes") == 0) {
        return tarragonspar::bench::run_slopes_command(count - 1, values + 1);
    }
    if (count >= 2 && std::strcmp(values[1], "--version") == 0) {
        std::puts("tarragon-bench 0.1.0");
        return 0;
    }
    const bool asked = count >= 2 && std::strcmp(values[1], "--help") == 0;
    std::fputs(help, asked ? stdout : stderr);
    return asked ? 0 : exit_usage;
}
