#include "tarragonspar/http/caller_guard.hpp"

#include <malloc.h>

namespace tarragonspar::http {

namespace {

/// Interval of the check for connections without progress.
constexpr auto check_interval = std::chrono::seconds{1};

std::chrono::steady_clock::time_point now() {
    return std::chrono::steady_clock::now();
}

} // namespace

caller_guard::caller_guard(boost::asio::io_context& context, std::size_t max_bytes, observers watch)
    : budget_(max_bytes), watch_(std::move(watch)), timer_(context) {}

unsigned caller_guard::add_server() {
    const std::lock_guard lock(mutex_);
    return ++servers_;
}

void caller_guard::require(std::size_t request_bytes) {
    const std::lock_guard lock(mutex_);
    budget_.raise_limit(2 * request_bytes);
}

std::size_t caller_guard::used() const {
    const std::lock_guard lock(mutex_);
    return budget_.used();
}

void caller_guard::close(const caller_budget::victims& callers) {
    for (const auto& item : callers) {
        item->close();
    }
}

bool caller_guard::make_room(unsigned server) {
    bool found = false;
    {
        const std::lock_guard lock(mutex_);
        caller_budget::victims closed;
        found = budget_.make_room(server, now(), closed);
        close(closed);
    }
    const auto& observer = found ? watch_.closed : watch_.refused;
    if (observer) {
        observer(caller_bound::connections);
    }
    return found;
}

void caller_guard::start_timer() {
    if (timer_runs_) {
        return;
    }
    timer_runs_ = true;
    timer_.expires_after(check_interval);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->check();
        }
    });
}

void caller_guard::check() {
    std::size_t stalled = 0;
    std::size_t held = 0;
    bool trims = false;
    {
        const std::lock_guard lock(mutex_);
        timer_runs_ = false;
        caller_budget::victims closed;
        budget_.close_stalled(now(), closed);
        close(closed);
        stalled = closed.size();
        held = budget_.used();
        trims = budget_.take_trim();
        if (budget_.needs_checks()) {
            start_timer();
        }
    }
    if (trims) {
        malloc_trim(0);
    }
    for (; stalled > 0 && watch_.closed; --stalled) {
        watch_.closed(caller_bound::progress);
    }
    if (watch_.held) {
        watch_.held(held);
    }
}

caller_hold::caller_hold(std::shared_ptr<caller_guard> guard, unsigned server,
                         std::function<void()> close)
    : guard_(std::move(guard)) {
    const std::lock_guard lock(guard_->mutex_);
    state_ = guard_->budget_.add(server, now());
    state_->close = std::move(close);
    guard_->start_timer();
}

caller_hold::~caller_hold() {
    const std::lock_guard lock(guard_->mutex_);
    guard_->budget_.remove(state_);
}

bool caller_hold::enter(caller_phase phase, std::chrono::milliseconds stall_timeout) {
    const std::lock_guard lock(guard_->mutex_);
    return guard_->budget_.enter(state_, phase, stall_timeout, now());
}

bool caller_hold::reserve(std::size_t bytes) {
    bool granted = false;
    bool was_closed = false;
    std::size_t closed_count = 0;
    {
        const std::lock_guard lock(guard_->mutex_);
        caller_budget::victims closed;
        was_closed = state_->closed_for != caller_bound::none;
        granted = guard_->budget_.reserve(state_, bytes, now(), closed);
        guard_->close(closed);
        closed_count = closed.size();
    }
    if (granted) {
        held_ = bytes;
    } else if (!was_closed && guard_->watch_.refused) {
        guard_->watch_.refused(caller_bound::budget);
    }
    for (; closed_count > 0 && guard_->watch_.closed; --closed_count) {
        guard_->watch_.closed(caller_bound::budget);
    }
    return granted;
}

void caller_hold::charge(std::size_t bytes) {
    held_ = bytes;
    const std::lock_guard lock(guard_->mutex_);
    guard_->budget_.charge(state_, bytes);
}

void caller_hold::record_progress(std::size_t bytes) {
    const std::lock_guard lock(guard_->mutex_);
    caller_budget::record_progress(state_, bytes, now());
}

void caller_hold::set_min_progress(std::size_t bytes) {
    const std::lock_guard lock(guard_->mutex_);
    state_->min_progress = bytes;
}

caller_bound caller_hold::closed_for() const {
    const std::lock_guard lock(guard_->mutex_);
    return state_->closed_for;
}

} // namespace tarragonspar::http
