#include "tarragonspar/telemetry/log.hpp"

#include <atomic>
#include <filesystem>

#include <glog/logging.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace tarragonspar::telemetry {

namespace {

/// Capacity of the writer's queue: a few seconds of one instance's lines at peak load.
constexpr std::size_t max_queued_lines = 8192;
/// Lines between two checks for dropped lines.
constexpr std::uint32_t drop_check_interval = 256;

std::atomic<bool> is_info_enabled{true};

spdlog::logger& decisions() {
    static const auto logger = [] {
        spdlog::init_thread_pool(max_queued_lines, 1);
        auto created = spdlog::create_async_nb<spdlog::sinks::stdout_sink_st>("decisions");
        created->set_pattern("t=%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
        return created;
    }();
    return *logger;
}

} // namespace

void write(const log_line& line) {
    if (!is_info_enabled.load(std::memory_order_relaxed)) {
        return;
    }
    static std::atomic<std::uint32_t> written{0};
    static std::atomic<std::size_t> reported{0};
    auto& out = decisions();
    out.info("event={}", line.text());
    if (++written % drop_check_interval == 0) {
        const auto dropped = spdlog::thread_pool()->overrun_counter();
        if (const auto before = reported.exchange(dropped); dropped > before) {
            out.warn("event=log_lines_dropped count={}", dropped - before);
        }
    }
}

void start_log(const char* program, const settings::log_settings& settings) {
    FLAGS_logtostderr = settings.folder.empty();
    FLAGS_max_log_size = settings.max_file_megabytes;
    FLAGS_stop_logging_if_full_disk = true;
    FLAGS_logbufsecs = 1;
    if (!settings.folder.empty()) {
        std::error_code ignored;
        std::filesystem::create_directories(settings.folder, ignored);
        FLAGS_log_dir = settings.folder;
    }
    set_log_level(settings.level);
    google::InitGoogleLogging(program);
}

void set_log_level(const std::string& level) {
    is_info_enabled = level == "info";
    if (level == "error") {
        FLAGS_minloglevel = google::GLOG_ERROR;
    } else if (level == "warning") {
        FLAGS_minloglevel = google::GLOG_WARNING;
    } else {
        FLAGS_minloglevel = google::GLOG_INFO;
    }
}

log_line& log_line::add(std::string_view key, std::string_view value) {
    text_ += ' ';
    text_ += key;
    text_ += '=';
    if (value.find_first_of(" \"=\n") == std::string_view::npos && !value.empty()) {
        text_ += value;
        return *this;
    }
    text_ += '"';
    for (const auto character : value) {
        if (character == '"' || character == '\\') {
            text_ += '\\';
        }
        text_ += character == '\n' ? ' ' : character;
    }
    text_ += '"';
    return *this;
}

log_line& log_line::add(std::string_view key, std::int64_t value) {
    text_ += ' ';
    text_ += key;
    text_ += '=';
    text_ += std::to_string(value);
    return *this;
}

} // namespace tarragonspar::telemetry
