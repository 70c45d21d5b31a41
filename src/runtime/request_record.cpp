#include "tarragonspar/runtime/request_record.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

void notify(request_record::signal& channel) {
    channel.try_send(boost::system::error_code{});
}

} // namespace

request_record::request_record(const asio::any_io_executor& executor, work_item work_in,
                               dispatch::call_body call_in, std::size_t max_bytes)
    : work(std::move(work_in)), call(std::move(call_in)), log_(max_bytes), readable_(executor, 1),
      writable_(executor, 1) {}

void request_record::append_now(dispatch::answer_event event) {
    if (std::holds_alternative<dispatch::answer_piece>(event) && first_token_at == 0) {
        first_token_at = now().time_since_epoch().count();
    }
    std::vector<std::function<void()>> finished;
    {
        const std::lock_guard lock(mutex_);
        log_.append(std::move(event));
        if (log_.finished() != nullptr) {
            finished.swap(finish_callbacks_);
        }
    }
    notify(readable_);
    for (const auto& done : finished) {
        done();
    }
}

void request_record::when_finished(std::function<void()> done) {
    {
        const std::lock_guard lock(mutex_);
        if (log_.finished() == nullptr) {
            finish_callbacks_.push_back(std::move(done));
            return;
        }
    }
    done();
}

request_record::assembled_answer request_record::assemble() {
    const std::lock_guard lock(mutex_);
    assembled_answer out;
    if (const auto* start = log_.started()) {
        out.status = start->status;
        out.content_type = start->content_type;
    }
    const auto first = log_.position_of(0);
    out.complete = first.has_value();
    for (auto at = first.value_or(0); out.complete; ++at) {
        const auto* event = log_.at(at);
        if (event == nullptr) {
            break;
        }
        if (const auto* piece = std::get_if<dispatch::answer_piece>(event)) {
            out.body += piece->text;
        }
    }
    return out;
}

asio::awaitable<bool> request_record::append(dispatch::answer_event event) {
    while (true) {
        {
            const std::lock_guard lock(mutex_);
            const auto is_last = std::holds_alternative<dispatch::answer_finished>(event);
            const auto keeps_unread_answer = !attached_ && !work.idempotent;
            if (!log_.is_full() || is_last || abandoned_ || keeps_unread_answer) {
                break;
            }
        }
        co_await writable_.async_receive(as_result);
    }
    append_now(std::move(event));
    co_return !abandoned_;
}

asio::awaitable<std::optional<dispatch::answer_event>>
request_record::read(std::uint64_t reader, std::uint64_t position) {
    while (true) {
        std::optional<dispatch::answer_event> event;
        bool will_not_arrive = false;
        {
            const std::lock_guard lock(mutex_);
            log_.consume(position);
            if (const auto* found = log_.at(position)) {
                event = *found;
            } else {
                will_not_arrive = log_.finished() != nullptr;
            }
        }
        notify(writable_);
        if (reader != reader_) {
            notify(readable_);
            co_return std::nullopt;
        }
        if (event || will_not_arrive) {
            co_return event;
        }
        co_await readable_.async_receive(as_result);
    }
}

std::uint64_t request_record::attach() {
    attached_ = true;
    const auto number = ++reader_;
    notify(readable_);
    return number;
}

bool request_record::detach(std::uint64_t reader) {
    if (reader != reader_) {
        return false;
    }
    attached_ = false;
    return true;
}

std::optional<std::uint64_t> request_record::position_of(std::uint64_t token_offset) {
    const std::lock_guard lock(mutex_);
    return log_.position_of(token_offset);
}

std::optional<dispatch::answer_finished> request_record::finished() {
    const std::lock_guard lock(mutex_);
    const auto* last = log_.finished();
    return last == nullptr ? std::nullopt : std::optional{*last};
}

std::uint64_t request_record::next_offset() {
    const std::lock_guard lock(mutex_);
    return log_.next_offset();
}

void request_record::abandon() {
    abandoned_ = true;
    notify(writable_);
    notify(readable_);
}

} // namespace tarragonspar::runtime
