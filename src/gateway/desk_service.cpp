#include "tarragonspar/gateway/desk_service.hpp"

#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

using runtime::now;

namespace {

/// Pause between two looks at waiting requests: fine against latency objectives of some hundred
/// milliseconds. Nothing ticks while nothing waits.
constexpr auto waiting_tick = std::chrono::milliseconds{25};

} // namespace

desk_service::desk_service(boost::asio::io_context& context, double choice_noise)
    : timer_(context) {
    desk_.decisions.options.choice_noise = choice_noise;
}

void desk_service::set_servers(const std::vector<config::server>& servers) {
    std::vector<dispatch::decision> made;
    dispatch::set_servers(desk_, servers, now(), made);
    carry_out(made);
}

void desk_service::set_shares(double slots, double server_slots) {
    desk_.decisions.options.slots_share = slots;
    desk_.decisions.options.server_share = server_slots;
}

void desk_service::set_quotas(const config::catalogue& from,
                              const admission::quota_tolerance& tolerance, double share) {
    std::unordered_map<workspace_id, admission::quota_limit> limits;
    for (const auto& item : from.workspaces) {
        if (item.quota.units_per_second > 0.0) {
            auto limit = admission::stretch(
                {.units_per_second = item.quota.units_per_second, .burst = item.quota.burst},
                tolerance);
            limit.units_per_second *= share;
            limit.burst *= share;
            limits.emplace(workspace_id{hash_name(item.name)}, limit);
        }
    }
    admission::set_limits(desk_.quotas, limits, now());
}

void desk_service::ask(const work_item& work, dispatch::earlier_grant earlier, reply answer) {
    asking_.insert_or_assign(work.id, std::move(answer));
    std::vector<dispatch::decision> made;
    dispatch::ask(desk_, work, earlier, now(), made);
    carry_out(made);
}

void desk_service::note(const dispatch::grant_news& news) {
    if (news.kind == dispatch::grant_news::what::withdrawn) {
        if (const auto found = asking_.find(news.id); found != asking_.end()) {
            const auto answer = std::move(found->second);
            asking_.erase(found);
            answer(dispatch::refusal{.why = reason::caller_gone, .retry_after = {}});
        }
    }
    std::vector<dispatch::decision> made;
    dispatch::note(desk_, news, now(), made);
    carry_out(made);
}

bool desk_service::note(const dispatch::server_notice& notice) {
    std::vector<dispatch::decision> made;
    const auto fresh = dispatch::note(desk_, notice, now(), made);
    carry_out(made);
    return fresh;
}

std::optional<dispatch::server_notice> desk_service::find_notice(server_id server,
                                                                 instance_id holder) const {
    return dispatch::find_notice(desk_, server, holder, now());
}

void desk_service::resume_quotas(duration window, std::size_t expected_holders) {
    dispatch::resume_quotas(desk_, window, expected_holders, now());
}

void desk_service::resume_quotas(const admission::workspace_usage& used, duration window) {
    admission::resume(desk_.quotas, used, window, admission::own_quota_floor, now());
}

void desk_service::reconcile(const dispatch::holder_report& report) {
    std::vector<dispatch::decision> made;
    dispatch::reconcile(desk_, report, now(), made);
    carry_out(made);
}

void desk_service::note_elsewhere(const work_item& work, server_id server) {
    dispatch::note_elsewhere(desk_, work, server, now());
}

std::vector<desk_service::reply> desk_service::forget_all() {
    std::vector<reply> left;
    for (auto& [id, answer] : asking_) {
        left.push_back(std::move(answer));
    }
    asking_.clear();
    dispatch::grant_desk fresh;
    fresh.decisions.options = desk_.decisions.options;
    fresh.quotas = std::move(desk_.quotas);
    fresh.leaving = std::move(desk_.leaving);
    fresh.decisions.pauses = std::move(desk_.decisions.pauses);
    desk_ = std::move(fresh);
    return left;
}

std::vector<instance_id> desk_service::holders() const {
    return dispatch::heard_holders(desk_, now());
}

double desk_service::holder_share() {
    return dispatch::holder_share(desk_, now());
}

std::size_t desk_service::queued() const {
    return dispatch::queued_count(desk_.decisions);
}

void desk_service::carry_out(std::vector<dispatch::decision>& made) {
    for (auto& item : made) {
        const auto found = asking_.find(item.id);
        if (found == asking_.end()) {
            // The holder went away in between; its slot must not stay taken.
            if (std::holds_alternative<dispatch::grant>(item.what)) {
                std::vector<dispatch::decision> more;
                dispatch::note(desk_, {.id = item.id, .kind = dispatch::grant_news::what::failed},
                               now(), more);
                carry_out(more);
            }
            continue;
        }
        const auto answer = std::move(found->second);
        asking_.erase(found);
        answer(std::move(item.what));
    }
    schedule_tick();
}

void desk_service::schedule_tick() {
    if (ticking_ || queued() == 0) {
        return;
    }
    ticking_ = true;
    timer_.expires_after(waiting_tick);
    timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto held = self.lock();
        if (error || !held) {
            return;
        }
        held->ticking_ = false;
        std::vector<dispatch::decision> made;
        dispatch::tick(held->desk_, now(), made);
        held->carry_out(made);
    });
}

} // namespace tarragonspar::gateway
