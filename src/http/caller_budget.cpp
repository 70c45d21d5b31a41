#include "tarragonspar/http/caller_budget.hpp"

#include <algorithm>

namespace tarragonspar::http {

namespace {

/// Bytes from which on memory is returned once they are no longer held.
constexpr std::size_t min_trimmed_bytes = 4UL * 1024 * 1024;
/// Connections from which on memory is returned once they have ended: buffers of connections that
/// are being closed are no longer counted in the bytes held.
constexpr std::size_t min_trimmed_connections = 64;
/// Part of the peak below which memory is returned.
constexpr std::size_t trim_divisor = 4;
/// Part of the budget that only small requests may use.
constexpr std::size_t small_share_divisor = 4;
/// Size of the smallest field in a head: a name of one byte, the colon and the line's end.
constexpr std::size_t min_field_bytes = 4;
/// Buffers of a connection beyond its request.
constexpr std::size_t buffer_bytes = 64UL * 1024;

} // namespace

std::string_view to_string(caller_bound value) {
    switch (value) {
    case caller_bound::budget:
        return "budget";
    case caller_bound::progress:
        return "progress";
    case caller_bound::connections:
        return "connections";
    case caller_bound::none:
        break;
    }
    return "none";
}

std::size_t largest_request(std::size_t max_header_bytes, std::size_t max_body_bytes) {
    const auto fields = max_header_bytes / min_field_bytes * field_overhead_bytes;
    return max_body_bytes + 2 * max_header_bytes + fields + buffer_bytes;
}

caller_budget::handle caller_budget::add(unsigned server, time_point now) {
    caller_state fresh;
    fresh.server = server;
    fresh.progress_at = now;
    const auto added = callers_.insert(callers_.end(), std::move(fresh));
    peak_connections_ = std::max(peak_connections_, callers_.size());
    return added;
}

void caller_budget::remove(handle caller) {
    used_ -= caller->held;
    callers_.erase(caller);
}

void caller_budget::raise_limit(std::size_t limit) {
    limit_ = std::max(limit_, limit);
}

bool caller_budget::enter(handle caller, caller_phase phase,
                          std::chrono::milliseconds stall_timeout, time_point now) {
    caller->phase = phase;
    caller->stall_timeout = stall_timeout;
    caller->progress_at = now;
    caller->moved = 0;
    return caller->closed_for == caller_bound::none;
}

void caller_budget::charge(handle caller, std::size_t bytes) {
    if (caller->closed_for != caller_bound::none) {
        return; // its bytes have been counted as free already
    }
    used_ += bytes;
    used_ -= caller->held;
    caller->held = bytes;
    peak_ = std::max(peak_, used_);
}

bool caller_budget::reserve(handle caller, std::size_t bytes, time_point now, victims& close) {
    if (caller->closed_for != caller_bound::none) {
        return false;
    }
    const auto available =
        bytes > small_request_bytes ? limit_ - limit_ / small_share_divisor : limit_;
    const auto wanted = used_ - caller->held + bytes;
    if (bytes > caller->held && wanted > available) {
        close_to_free(wanted - available, caller, now, close);
        if (used_ - caller->held + bytes > available) {
            return false;
        }
    }
    charge(caller, bytes);
    return true;
}

void caller_budget::record_progress(handle caller, std::size_t bytes, time_point now) {
    caller->moved += bytes;
    if (caller->moved >= caller->min_progress) {
        caller->moved = 0;
        caller->progress_at = now;
    }
}

void caller_budget::mark_closed(handle caller, caller_bound why, victims& close) {
    charge(caller, 0);
    caller->closed_for = why;
    close.push_back(caller);
}

void caller_budget::close_to_free(std::size_t wanted, handle except, time_point now,
                                  victims& close) {
    std::vector<handle> stalled;
    for (auto item = callers_.begin(); item != callers_.end(); ++item) {
        if (item != except && item->held > 0 && item->phase != caller_phase::running &&
            now - item->progress_at >= stalled_after) {
            stalled.push_back(item);
        }
    }
    std::sort(stalled.begin(), stalled.end(), [](const handle& left, const handle& right) {
        return left->progress_at < right->progress_at;
    });
    std::size_t freed = 0;
    for (const auto& item : stalled) {
        if (freed >= wanted) {
            break;
        }
        freed += item->held;
        mark_closed(item, caller_bound::budget, close);
    }
}

bool caller_budget::make_room(unsigned server, time_point now, victims& close) {
    auto oldest = callers_.end();
    for (auto item = callers_.begin(); item != callers_.end(); ++item) {
        const auto closable =
            item->server == server && item->closed_for == caller_bound::none &&
            (item->phase == caller_phase::idle || item->phase == caller_phase::reading ||
             (item->phase == caller_phase::writing && now - item->progress_at >= stalled_after));
        if (closable && (oldest == callers_.end() || item->progress_at < oldest->progress_at)) {
            oldest = item;
        }
    }
    if (oldest == callers_.end()) {
        return false;
    }
    mark_closed(oldest, caller_bound::connections, close);
    return true;
}

void caller_budget::close_stalled(time_point now, victims& close) {
    for (auto item = callers_.begin(); item != callers_.end(); ++item) {
        if (item->closed_for == caller_bound::none && item->stall_timeout.count() > 0 &&
            now - item->progress_at >= item->stall_timeout) {
            mark_closed(item, caller_bound::progress, close);
        }
    }
}

bool caller_budget::take_trim() {
    const auto bytes_fell = peak_ >= min_trimmed_bytes && used_ <= peak_ / trim_divisor;
    const auto connections_fell = peak_connections_ >= min_trimmed_connections &&
                                  callers_.size() <= peak_connections_ / trim_divisor;
    if (bytes_fell) {
        peak_ = used_;
    }
    if (connections_fell) {
        peak_connections_ = callers_.size();
    }
    return bytes_fell || connections_fell;
}

bool caller_budget::needs_checks() const {
    return !callers_.empty() || peak_ >= min_trimmed_bytes ||
           peak_connections_ >= min_trimmed_connections;
}

} // namespace tarragonspar::http
