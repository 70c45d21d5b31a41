#include "tarragonspar/runtime/config_service.hpp"

namespace tarragonspar::runtime {

namespace {

std::shared_ptr<const config::state> first_state(config::configuration first) {
    auto state = std::make_shared<config::state>();
    state->current = std::move(first);
    if (state->current.number.value == 0) {
        state->current.number = {1};
    }
    return state;
}

} // namespace

local_config::local_config(config::configuration first, listener on_change)
    : state_(first_state(std::move(first))), on_change_(std::move(on_change)) {}

boost::asio::awaitable<std::optional<config::change_answer>>
local_config::propose(config::change change) {
    std::shared_ptr<const config::state> accepted;
    config::change_answer answer;
    {
        const std::lock_guard lock(mutex_);
        auto next = std::make_shared<config::state>(*state_);
        answer = config::apply(*next, change);
        if (next->current.number != state_->current.number) {
            accepted = next;
        }
        state_ = std::move(next);
    }
    if (accepted) {
        on_change_(accepted);
    }
    co_return answer;
}

std::shared_ptr<const config::state> local_config::current() const {
    const std::lock_guard lock(mutex_);
    return state_;
}

} // namespace tarragonspar::runtime
