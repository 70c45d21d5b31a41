#pragma once

#include <map>
#include <memory>
#include <mutex>

#include "tarragonspar/http/caller_guard.hpp"
#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/telemetry/metrics.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::gateway {

/// @brief Bounds the number of log lines of one kind.
struct line_rate {
    duration interval{std::chrono::seconds{1}}; ///< minimum time between two lines
    time_point last{};
    bool written{false};       ///< whether there has been a line
    std::int64_t suppressed{}; ///< events since the last line
};

/// @brief Returns how many events were left out before this one; nothing: this one is left out.
[[nodiscard]] std::optional<std::int64_t> take_line(line_rate& rate, time_point now);

/// @brief Counts callers that are refused or closed because of a bound, and logs them.
///
/// Functions may be called from any thread.
class caller_log {
public:
    /// @param counts  must outlive this object
    explicit caller_log(telemetry::metrics& counts) : counts_(counts) {}

    void refused(std::string_view why) {
        record("caller_refused", why);
    }
    void closed(std::string_view why) {
        record("caller_closed", why);
    }

private:
    void record(const std::string& event, std::string_view why);

    telemetry::metrics& counts_;
    std::mutex mutex_;
    std::map<std::pair<std::string, std::string>, line_rate> rates_;
};

/// @brief Creates the budget for callers of an instance, whose decisions are counted and logged.
/// @param log     must outlive the guard
/// @param counts  must outlive the guard
[[nodiscard]] std::shared_ptr<http::caller_guard>
make_caller_guard(boost::asio::io_context& context, const settings::http_limits& limits,
                  caller_log& log, telemetry::metrics& counts);

/// @brief Returns settings with limits that fit the machine.
[[nodiscard]] settings::instance_settings fit_to_machine(settings::instance_settings settings);

/// @brief Returns the limits of a server that answers short requests without a body.
[[nodiscard]] settings::http_limits small_server_limits(settings::http_limits from);

} // namespace tarragonspar::gateway
