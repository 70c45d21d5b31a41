#include "options.hpp"

#include <cstdio>
#include <cstdlib>

#include <getopt.h>

namespace tarragonspar::fake {

namespace {

constexpr const char* help = R"(tarragon-fake-engine: an emulated backend server

  --listen IP:PORT          address to listen on (default 127.0.0.1, any port)
  --journal FILE            append a JSON line for each event of a request
  --service                 emulate a plain service instead of a model engine
  --service-ms N            processing time of a plain service (5)
  --slots N                 maximum batch size (8)
  --prefill-rate N          prompt tokens per second (8000)
  --decode-ms X             base time of a decode iteration (12)
  --decode-stream-ms X      additional time of an iteration per stream (0.8)
  --cache-blocks N          size of the prefix cache in blocks (2048)
  --slowness X              factor applied to all times (1)
  --output-tokens N         answer length if the caller sets no limit (64)
  --report-lag-ms N         delay of load reports (300)
  --drop-cache-event N      omit every N-th cache event
  --silent-after N          stall the stream after N tokens, once per request
  --repeat-every N          send every N-th stream event twice
  --foreign-events          insert events of another request into streams
  --checks-fencing          reject orders with an outdated fencing number
  --help, --version
)";

enum option_code : int {
    code_listen = 256,
    code_journal,
    code_service,
    code_service_ms,
    code_slots,
    code_prefill_rate,
    code_decode_ms,
    code_decode_stream_ms,
    code_cache_blocks,
    code_slowness,
    code_output_tokens,
    code_report_lag_ms,
    code_drop_cache_event,
    code_silent_after,
    code_repeat_every,
    code_foreign_events,
    code_checks_fencing,
    code_help,
    code_version,
};

const option long_options[] = {
    {"listen", required_argument, nullptr, code_listen},
    {"journal", required_argument, nullptr, code_journal},
    {"service", no_argument, nullptr, code_service},
    {"service-ms", required_argument, nullptr, code_service_ms},
    {"slots", required_argument, nullptr, code_slots},
    {"prefill-rate", required_argument, nullptr, code_prefill_rate},
    {"decode-ms", required_argument, nullptr, code_decode_ms},
    {"decode-stream-ms", required_argument, nullptr, code_decode_stream_ms},
    {"cache-blocks", required_argument, nullptr, code_cache_blocks},
    {"slowness", required_argument, nullptr, code_slowness},
    {"output-tokens", required_argument, nullptr, code_output_tokens},
    {"report-lag-ms", required_argument, nullptr, code_report_lag_ms},
    {"drop-cache-event", required_argument, nullptr, code_drop_cache_event},
    {"silent-after", required_argument, nullptr, code_silent_after},
    {"repeat-every", required_argument, nullptr, code_repeat_every},
    {"foreign-events", no_argument, nullptr, code_foreign_events},
    {"checks-fencing", no_argument, nullptr, code_checks_fencing},
    {"help", no_argument, nullptr, code_help},
    {"version", no_argument, nullptr, code_version},
    {nullptr, 0, nullptr, 0}};

std::uint32_t parse_number(const char* text) {
    return static_cast<std::uint32_t>(std::strtoul(text, nullptr, 10));
}

/// Applies one option.
/// @return false if the option is unknown or its value is invalid
bool apply_option(int code, const char* value, emulator::fake_options& options) {
    switch (code) {
    case code_listen: {
        const auto parsed = settings::parse_endpoint(value);
        options.listen = parsed.value_or(settings::endpoint{});
        return parsed.has_value();
    }
    case code_journal:
        options.journal = value;
        break;
    case code_service:
        options.plain_service = true;
        break;
    case code_service_ms:
        options.service_time = std::chrono::milliseconds{parse_number(value)};
        break;
    case code_slots:
        options.engine.slots = parse_number(value);
        break;
    case code_prefill_rate:
        options.engine.prefill_tokens_per_second = std::strtod(value, nullptr);
        break;
    case code_decode_ms:
        options.engine.decode_base_seconds = std::strtod(value, nullptr) / 1000.0;
        break;
    case code_decode_stream_ms:
        options.engine.decode_seconds_per_stream = std::strtod(value, nullptr) / 1000.0;
        break;
    case code_cache_blocks:
        options.engine.cache_blocks = parse_number(value);
        break;
    case code_slowness:
        options.engine.slowness = std::strtod(value, nullptr);
        break;
    case code_output_tokens:
        options.default_output = parse_number(value);
        break;
    case code_report_lag_ms:
        options.report_lag = std::chrono::milliseconds{parse_number(value)};
        break;
    case code_drop_cache_event:
        options.drop_cache_event_every = parse_number(value);
        break;
    case code_silent_after:
        options.stall_after_tokens = parse_number(value);
        break;
    case code_repeat_every:
        options.repeat_every = parse_number(value);
        break;
    case code_foreign_events:
        options.foreign_events = true;
        break;
    case code_checks_fencing:
        options.checks_fencing = true;
        break;
    default:
        return false;
    }
    return true;
}

} // namespace

int read_options(int argc, char** argv, emulator::fake_options& options) {
    while (true) {
        const auto code = getopt_long(argc, argv, "", long_options, nullptr);
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
        if (!apply_option(code, optarg, options)) {
            std::fputs(help, stderr);
            return 2;
        }
    }
}

} // namespace tarragonspar::fake
