#include "tarragonspar/runtime/coordinator.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
using dispatch::answer_finished;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Passes how an owner ended a request from the owner's threads to the waiting coroutine.
using end_channel =
    asio::experimental::concurrent_channel<void(boost::system::error_code, owner_end)>;

/// The link of a request whose dispatch right is held in this process.
class local_link final : public right_holder_link {
public:
    local_link(std::shared_ptr<request_record> record, std::shared_ptr<end_channel> ends)
        : record_(std::move(record)), ends_(std::move(ends)) {}

    asio::awaitable<bool> acquire(server_id server) override {
        const auto granted = record_->right.grant(server);
        if (granted) {
            record_->dispatched_at = now().time_since_epoch().count();
        }
        co_return granted;
    }

    asio::awaitable<void> release(server_id server) override {
        record_->right.reclaim(server);
        co_return;
    }

    asio::awaitable<bool> deliver(dispatch::answer_event event) override {
        return record_->append(std::move(event));
    }

    void conclude(owner_end end) override {
        ends_->try_send(boost::system::error_code{}, std::move(end));
    }

private:
    std::shared_ptr<request_record> record_;
    std::shared_ptr<end_channel> ends_;
};

/// Whether another owner may accept a request that was refused for this reason.
bool may_retry_at_another_owner(reason why) {
    return why == reason::no_server || why == reason::shutting_down || why == reason::peer_lost;
}

} // namespace

coordinator::coordinator(asio::io_context& context, const coordinator_options& options,
                         std::shared_ptr<owner> local, remote_owners& remote,
                         const http::engine_client_options& client, address_lookup addresses)
    : context_(context), options_(options), local_(std::move(local)), remote_(remote),
      client_(client), addresses_(std::move(addresses)) {}

request_id coordinator::next_id() {
    return {.issuer = options_.self, .issued_in = options_.started_as, .sequence = ++sequence_};
}

coordinator::shard& coordinator::shard_of(const request_id& id) {
    return shards_.at(std::hash<request_id>{}(id) % shard_count);
}

std::shared_ptr<request_record> coordinator::submit(work_item work, dispatch::call_body call,
                                                    std::string profile, std::string workspace) {
    const auto id = work.id;
    auto record = std::make_shared<request_record>(context_.get_executor(), std::move(work),
                                                   std::move(call), options_.answer_bytes);
    record->profile_name = std::move(profile);
    record->workspace_name = std::move(workspace);
    auto& owning_shard = shard_of(id);
    {
        const std::lock_guard lock(owning_shard.mutex);
        const auto [found, added] = owning_shard.records.emplace(id, record);
        if (!added) {
            return found->second;
        }
    }
    ++open_;
    asio::co_spawn(asio::make_strand(context_), run_attempts(record), asio::detached);
    return record;
}

std::shared_ptr<request_record> coordinator::find(const request_id& id) {
    auto& owning_shard = shard_of(id);
    const std::lock_guard lock(owning_shard.mutex);
    const auto found = owning_shard.records.find(id);
    return found == owning_shard.records.end() ? nullptr : found->second;
}

void coordinator::set_servers(const std::vector<routing::placed_server>& servers) {
    const std::lock_guard lock(placement_mutex_);
    routing::set_servers(placement_, servers);
}

void coordinator::set_digest(instance_id owner_id,
                             const std::vector<routing::model_digest>& digest) {
    const std::lock_guard lock(placement_mutex_);
    routing::set_digest(placement_, owner_id, digest, now());
}

void coordinator::remove_owner(instance_id owner_id) {
    const std::lock_guard lock(placement_mutex_);
    routing::remove_owner(placement_, owner_id);
}

std::optional<instance_id> coordinator::choose_target(const request_record& record,
                                                      attempt_state& state) {
    if (state.next) {
        return std::exchange(state.next, std::nullopt);
    }
    const std::lock_guard lock(placement_mutex_);
    return routing::choose_owner(placement_, record.work, state.avoid, now());
}

void coordinator::finish_unanswered(request_record& record, reason why, duration retry_after) {
    if (record.right.withdraw()) {
        record.append_now(answer_finished{
            .result = outcome::not_executed, .why = why, .retry_after = retry_after});
    } else {
        record.append_now(answer_finished{.result = outcome::unknown, .why = reason::server_lost});
    }
}

void coordinator::watch_deadline(const std::shared_ptr<request_record>& record) {
    const auto timer = std::make_shared<asio::steady_timer>(context_);
    timer->expires_after(std::max(duration{0}, record->work.deadline - now()));
    timer->async_wait([self = shared_from_this(), record, timer](boost::system::error_code) {
        if (record->finished() || !record->right.withdraw()) {
            return;
        }
        record->append_now(answer_finished{.result = outcome::not_executed,
                                           .why = reason::deadline_passed,
                                           .retry_after = std::chrono::seconds{1}});
    });
}

asio::awaitable<void> coordinator::run_attempts(std::shared_ptr<request_record> record) {
    const auto self = shared_from_this();
    watch_deadline(record);
    attempt_state state;
    while (!record->finished()) {
        const auto target = choose_target(*record, state);
        if (!target || state.attempts >= options_.max_attempts) {
            finish_unanswered(*record, target ? reason::overloaded : reason::no_server,
                              std::chrono::seconds{2});
            break;
        }
        ++state.attempts;
        auto end = co_await run_at(*target, record);
        const auto done = co_await handle_owner_end(record, *target, std::move(end), state);
        if (done) {
            break;
        }
    }
    --open_;
    if (const auto last = record->finished(); last && on_finished) {
        on_finished(*record, *last);
    }
    retain_finished(record);
}

asio::awaitable<bool> coordinator::handle_owner_end(std::shared_ptr<request_record> record,
                                                    instance_id target, owner_end end,
                                                    attempt_state& state) {
    if (std::holds_alternative<upstream_done>(end)) {
        if (!record->finished()) {
            record->append_now(
                answer_finished{.result = outcome::unknown, .why = reason::server_lost});
        }
        co_return true;
    }
    if (const auto* transferred = std::get_if<dispatch::transfer>(&end)) {
        state.next = transferred->peer;
        ++record->transfers;
        co_return false;
    }
    if (const auto* refused = std::get_if<dispatch::refuse>(&end)) {
        // A refusal means that nothing was written, so a grant whose reply was lost is released.
        if (const auto server = record->right.granted_to()) {
            record->right.reclaim(*server);
        }
        if (may_retry_at_another_owner(refused->why)) {
            state.avoid.push_back(target);
            co_return false;
        }
        finish_unanswered(*record, refused->why, refused->retry_after);
        co_return true;
    }
    // The owner is unreachable: without a grant it has not dispatched the request and never will.
    if (const auto server = record->right.granted_to()) {
        co_await resume(record, *server);
        co_return true;
    }
    state.avoid.push_back(target);
    co_return false;
}

asio::awaitable<owner_end> coordinator::run_at(instance_id target,
                                               std::shared_ptr<request_record> record) {
    record->placed_at = target.value;
    if (target == options_.self) {
        co_return co_await run_locally(std::move(record));
    }
    co_return co_await remote_.run(target, std::move(record));
}

asio::awaitable<owner_end> coordinator::run_locally(std::shared_ptr<request_record> record) {
    const auto ends = std::make_shared<end_channel>(context_, 1);
    owned_request request;
    request.work = record->work;
    request.work.transfers = record->transfers;
    request.call = record->call;
    request.link = std::make_shared<local_link>(record, ends);
    local_->enqueue(std::move(request));
    auto [error, end] = co_await ends->async_receive(as_result);
    co_return error ? owner_end{link_lost{}} : std::move(end);
}

asio::awaitable<void> coordinator::resume(std::shared_ptr<request_record> record,
                                          server_id server) {
    http::upstream_request upstream;
    upstream.id = record->work.id;
    upstream.server = server;
    upstream.address = addresses_(server);
    upstream.call = record->call;
    upstream.control = std::make_shared<http::upstream_control>();
    if (upstream.address.empty() || record->call.plain) {
        record->append_now(answer_finished{.result = outcome::unknown, .why = reason::peer_lost});
        co_return;
    }
    http::upstream_callbacks callbacks;
    callbacks.deliver = [record](dispatch::answer_event event) {
        return record->append(std::move(event));
    };
    co_await http::resume_upstream_request(client_, std::move(upstream), record->next_offset(),
                                           std::move(callbacks));
}

void coordinator::on_caller_disconnect(const std::shared_ptr<request_record>& record,
                                       std::uint64_t reader) {
    if (record->finished()) {
        return;
    }
    asio::co_spawn(context_, cancel_after_grace(record, reader), asio::detached);
}

asio::awaitable<void> coordinator::cancel_after_grace(std::shared_ptr<request_record> record,
                                                      std::uint64_t reader) {
    const auto self = shared_from_this();
    if (record->right.granted_to()) {
        if (!record->work.idempotent) {
            co_return; // a non-idempotent request runs on; its record answers later queries
        }
        asio::steady_timer grace(co_await asio::this_coro::executor, options_.reattach_grace);
        co_await grace.async_wait(as_result);
    }
    if (record->finished() || !record->detach(reader)) {
        co_return;
    }
    if (record->right.withdraw()) {
        record->append_now(
            answer_finished{.result = outcome::not_executed, .why = reason::caller_gone});
    } else if (!record->work.idempotent) {
        co_return;
    }
    record->abandon();
    if (const instance_id target{record->placed_at}; target == options_.self) {
        local_->withdraw(record->work.id);
    } else {
        remote_.withdraw(target, record->work.id);
    }
}

void coordinator::retain_finished(const std::shared_ptr<request_record>& record) {
    auto& owning_shard = shard_of(record->work.id);
    const std::lock_guard lock(owning_shard.mutex);
    owning_shard.finished.push_back(record->work.id);
    if (owning_shard.finished.size() > options_.finished_kept / shard_count) {
        owning_shard.records.erase(owning_shard.finished.front());
        owning_shard.finished.pop_front();
    }
}

} // namespace tarragonspar::runtime
