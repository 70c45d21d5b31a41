// When a control instance acts as leader towards entry instances.

#include <algorithm>

#include "tarragonspar/gateway/control_instance.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

using runtime::now;
using runtime::now_with_suspension;

namespace {

/// Bounds of the time between two checks of the lease, which every answer checks besides.
constexpr duration min_lease_check_delay = std::chrono::milliseconds{50};
constexpr duration max_lease_check_delay = std::chrono::seconds{1};

} // namespace

bool control_instance::holds_lead() const {
    return group_.leads && group_.is_current && now_with_suspension() < control_->lead_lease_end();
}

void control_instance::update_lead() {
    if (holds_lead() == leads_) {
        return;
    }
    leads_ = !leads_;
    log_lease();
    if (leads_) {
        leads_since_ = now();
        expected_dispatchers_ = 0;
        if (list_.fingerprint != 0) {
            grant_service_->set_servers(list_.servers);
        }
        return;
    }
    schedules_ = false;
    // Dispatchers query another instance when the answer to their query is "not known".
    grant_service_->clear_pending();
}

void control_instance::watch_lead() {
    update_lead();
    if (!group_.leads || shutting_down_) {
        lease_timer_.cancel();
        return;
    }
    const auto time = now_with_suspension();
    const auto end = std::max(time, control_->lead_lease_end());
    lease_timer_.expires_after(
        std::clamp(end - time, min_lease_check_delay, max_lease_check_delay));
    lease_timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            watch_lead();
        }
    });
}

void control_instance::log_lease() {
    const auto end = control_->lead_lease_end();
    if (!group_.leads || end == time_point::min()) {
        return; // the end of the lead is logged as a change of the group
    }
    const auto time = now_with_suspension();
    if (!leads_) {
        lost_lease_at_ = time;
        telemetry::write(
            telemetry::log_line("control_lease_lost")
                .add("term", static_cast<std::int64_t>(group_.term.value))
                .add("age_ms", to_milliseconds(time - end + control_->lead_lease_length())));
    } else if (lost_lease_at_ != time_point{}) {
        telemetry::write(telemetry::log_line("control_lease_regained")
                             .add("term", static_cast<std::int64_t>(group_.term.value))
                             .add("lost_ms", to_milliseconds(time - lost_lease_at_)));
    }
}

} // namespace tarragonspar::gateway
