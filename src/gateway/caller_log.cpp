#include "tarragonspar/gateway/caller_log.hpp"

#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/settings/machine.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

std::optional<std::int64_t> take_line(line_rate& rate, time_point now) {
    if (rate.written && now - rate.last < rate.interval) {
        ++rate.suppressed;
        return std::nullopt;
    }
    rate.written = true;
    rate.last = now;
    return std::exchange(rate.suppressed, 0);
}

void caller_log::record(const std::string& event, std::string_view why) {
    counts_.count_bounded_caller(event, std::string(why));
    std::optional<std::int64_t> suppressed;
    {
        const std::lock_guard lock(mutex_);
        suppressed = take_line(rates_[{event, std::string(why)}], runtime::now());
    }
    if (suppressed) {
        telemetry::write(telemetry::log_line(event).add("why", why).add("suppressed", *suppressed));
    }
}

std::shared_ptr<http::caller_guard> make_caller_guard(boost::asio::io_context& context,
                                                      const settings::http_limits& limits,
                                                      caller_log& log, telemetry::metrics& counts) {
    http::caller_guard::observers watch;
    watch.refused = [&log](http::caller_bound why) { log.refused(to_string(why)); };
    watch.closed = [&log](http::caller_bound why) { log.closed(to_string(why)); };
    watch.held = [&counts](std::size_t bytes) { counts.set_caller_bytes(bytes); };
    return std::make_shared<http::caller_guard>(context, limits.max_buffered_bytes,
                                                std::move(watch));
}

settings::instance_settings fit_to_machine(settings::instance_settings settings) {
    const auto machine = settings::limited_by(settings::read_machine(), settings.deployment);
    settings.limits = settings::with_defaults(settings.limits, machine);
    return settings;
}

settings::http_limits small_server_limits(settings::http_limits from) {
    from.max_header_bytes = 8UL * 1024;
    from.max_body_bytes = 1024;
    from.max_connections = 64;
    return from;
}

} // namespace tarragonspar::gateway
