#include "tarragonspar/telemetry/log.hpp"

#include <filesystem>

#include <glog/logging.h>

namespace tarragonspar::telemetry {

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
    for (const auto letter : value) {
        if (letter == '"' || letter == '\\') {
            text_ += '\\';
        }
        text_ += letter == '\n' ? ' ' : letter;
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
