#include "options.hpp"

#include <cstdio>
#include <cstdlib>

#include <getopt.h>

namespace tarragonspar::fake {

namespace {

constexpr const char* help = R"(tarragon-fake-engine: a stand-in backend server

  --listen IP:PORT          address to listen on (default 127.0.0.1, any port)
  --journal FILE            append a line for each request that ran
  --service                 behave as a plain service instead of a model engine
  --service-ms N            time that a plain service takes (5)
  --slots N                 requests in one batch (8)
  --prefill-rate N          prompt tokens a second (8000)
  --decode-ms X             base time of an iteration (12)
  --decode-stream-ms X      more for each stream (0.8)
  --cache-blocks N          blocks of the prefix cache (2048)
  --slowness X              factor on all times (1)
  --output-tokens N         answer length where the caller states no limit (64)
  --report-lag-ms N         age of load reports (300)
  --drop-cache-event N      leave out every N-th cache event
  --silent-after N          connections go silent after N tokens, once per request
  --repeat-every N          send every N-th piece twice
  --foreign-events          mix in events of another request
  --checks-fencing          refuse orders with an old fencing number
  --help, --version
)";

enum option_code : int {
    code_listen = 256,
    code_journal,
    code_service,
    code_service_ms,
    code_slots,
    code_prefill,
    code_decode,
    code_decode_stream,
    code_cache,
    code_slowness,
    code_output,
    code_lag,
    code_drop,
    code_silent,
    code_repeat,
    code_foreign,
    code_fencing,
    code_help,
    code_version,
};

const option long_options[] = {{"listen", required_argument, nullptr, code_listen},
                               {"journal", required_argument, nullptr, code_journal},
                               {"service", no_argument, nullptr, code_service},
                               {"service-ms", required_argument, nullptr, code_service_ms},
                               {"slots", required_argument, nullptr, code_slots},
                               {"prefill-rate", required_argument, nullptr, code_prefill},
                               {"decode-ms", required_argument, nullptr, code_decode},
                               {"decode-stream-ms", required_argument, nullptr, code_decode_stream},
                               {"cache-blocks", required_argument, nullptr, code_cache},
                               {"slowness", required_argument, nullptr, code_slowness},
                               {"output-tokens", required_argument, nullptr, code_output},
                               {"report-lag-ms", required_argument, nullptr, code_lag},
                               {"drop-cache-event", required_argument, nullptr, code_drop},
                               {"silent-after", required_argument, nullptr, code_silent},
                               {"repeat-every", required_argument, nullptr, code_repeat},
                               {"foreign-events", no_argument, nullptr, code_foreign},
                               {"checks-fencing", no_argument, nullptr, code_fencing},
                               {"help", no_argument, nullptr, code_help},
                               {"version", no_argument, nullptr, code_version},
                               {nullptr, 0, nullptr, 0}};

std::uint32_t number(const char* text) {
    return static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

/// Applies one option; returns false when its value is wrong.
bool apply(int code, const char* value, emulator::fake_options& out) {
    switch (code) {
    case code_listen: {
        const auto parsed = settings::parse_endpoint(value);
        out.listen = parsed.value_or(settings::endpoint{});
        return parsed.has_value();
    }
    case code_journal:
        out.journal = value;
        break;
    case code_service:
        out.plain_service = true;
        break;
    case code_service_ms:
        out.service_time = std::chrono::milliseconds{number(value)};
        break;
    case code_slots:
        out.engine.slots = number(value);
        break;
    case code_prefill:
        out.engine.prefill_tokens_per_second = std::strtod(value, nullptr);
        break;
    case code_decode:
        out.engine.decode_base_seconds = std::strtod(value, nullptr) / 1000.0;
        break;
    case code_decode_stream:
        out.engine.decode_seconds_per_stream = std::strtod(value, nullptr) / 1000.0;
        break;
    case code_cache:
        out.engine.cache_blocks = number(value);
        break;
    case code_slowness:
        out.engine.slowness = std::strtod(value, nullptr);
        break;
    case code_output:
        out.default_output = number(value);
        break;
    case code_lag:
        out.report_lag = std::chrono::milliseconds{number(value)};
        break;
    case code_drop:
        out.drop_cache_event_every = number(value);
        break;
    case code_silent:
        out.silent_after_tokens = number(value);
        break;
    case code_repeat:
        out.repeat_every = number(value);
        break;
    case code_foreign:
        out.foreign_events = true;
        break;
    case code_fencing:
        out.checks_fencing = true;
        break;
    default:
        return false;
    }
    return true;
}

} // namespace

int read_options(int count, char** values, emulator::fake_options& out) {
    while (true) {
        const auto code = getopt_long(count, values, "", long_options, nullptr);
        if (code == -1) {
            return -1;
        }
        if (code == code_help) {
            std::fputs(help, stdout);
            return 0;
        }
        if (code == code_version) {
            std::puts("tarragon-fake-engine 0.1.0");
            return 0;
        }
        if (!apply(code, optarg, out)) {
            std::fputs(help, stderr);
            return 2;
        }
    }
}

} // namespace tarragonspar::fake
