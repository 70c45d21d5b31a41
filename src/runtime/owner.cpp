#include "tarragonspar/runtime/owner.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;

namespace {

/// Interval between two scheduler steps that are caused by the passing of time alone.
constexpr auto tick_interval = std::chrono::milliseconds{10};
/// Interval between two polls of a server's load report and cache events.
constexpr auto poll_interval = std::chrono::milliseconds{500};
/// Tokens between two progress events of a stream.
constexpr std::uint32_t progress_tokens = 8;

std::vector<block_hash> read_blocks(const nlohmann::json& list) {
    std::vector<block_hash> blocks;
    for (const auto& item : list) {
        blocks.push_back({item.get<std::uint64_t>()});
    }
    return blocks;
}

} // namespace

owner::owner(asio::io_context& context, const dispatch::scheduler_options& options,
             const http::engine_client_options& client, telemetry::metrics& metrics)
    : context_(context), strand_(asio::make_strand(context)), tick_timer_(strand_),
      poll_timer_(strand_), client_(client), metrics_(metrics) {
    scheduler_.options = options;
}

void owner::start() {
    asio::post(strand_, [self = shared_from_this()] {
        self->tick();
        self->poll_servers();
    });
}

void owner::stop() {
    asio::post(strand_, [self = shared_from_this()] {
        self->stopped_ = true;
        self->tick_timer_.cancel();
        self->poll_timer_.cancel();
    });
}

void owner::post(dispatch::event event) {
    asio::post(strand_,
               [self = shared_from_this(), event = std::move(event)] { self->apply(event); });
}

void owner::apply(const dispatch::event& event) {
    step(scheduler_, event, now(), effects_);
    // Executing an effect never changes the scheduler directly; it posts an event.
    for (const auto& effect : effects_) {
        std::visit([&](const auto& alternative) { execute(alternative); }, effect);
    }
    effects_.clear();
    load_ = entries_.size();
    metrics_.set_queued(dispatch::queued_count(scheduler_));
}

void owner::enqueue(owned_request request) {
    ++load_;
    asio::post(strand_, [self = shared_from_this(), request = std::move(request)]() mutable {
        const auto work = request.work;
        const auto added =
            self->entries_
                .emplace(work.id, entry{.request = std::move(request),
                                        .control = std::make_shared<http::upstream_control>()})
                .second;
        if (added) {
            self->apply(dispatch::arrived{.work = work});
        }
    });
}

void owner::withdraw(const request_id& id) {
    asio::post(strand_, [self = shared_from_this(), id] {
        const auto found = self->entries_.find(id);
        if (found == self->entries_.end()) {
            return;
        }
        found->second.control->cancel();
        if (!found->second.started) {
            self->apply(dispatch::withdrawn{.id = id});
            self->conclude(id, dispatch::refuse{.id = id, .why = reason::caller_gone});
        }
    });
}

void owner::set_servers(std::vector<config::server> servers,
                        std::vector<config::workspace_limit> limits) {
    asio::post(strand_, [self = shared_from_this(), servers = std::move(servers),
                         limits = std::move(limits)]() mutable {
        self->descriptions_.clear();
        for (const auto& server : servers) {
            self->descriptions_.emplace(server.id, server);
        }
        self->apply(
            dispatch::ownership_changed{.owned = std::move(servers), .limits = std::move(limits)});
    });
}

void owner::set_peer_digest(instance_id peer, std::vector<routing::model_digest> digest) {
    post(dispatch::peer_reported{.peer = peer, .models = std::move(digest)});
}

void owner::remove_peer(instance_id peer) {
    post(dispatch::peer_gone{.peer = peer});
}

void owner::drain() {
    post(dispatch::drain_requested{});
}

void owner::with_digest(std::function<void(std::vector<routing::model_digest>)> callback) {
    asio::post(strand_, [self = shared_from_this(), callback = std::move(callback)] {
        callback(make_digest(self->scheduler_, now()));
    });
}

void owner::with_status(std::function<void(std::string)> callback) {
    asio::post(strand_, [self = shared_from_this(), callback = std::move(callback)] {
        nlohmann::json out{{"queued", queued_count(self->scheduler_)},
                           {"running", self->scheduler_.running.size()},
                           {"servers", nlohmann::json::array()}};
        for (const auto& [id, server] : self->scheduler_.servers) {
            out["servers"].push_back(
                {{"id", id.value},
                 {"name", self->descriptions_.at(id).name},
                 {"state", to_string(server.state)},
                 {"in_flight", server.in_flight},
                 {"window", routing::usable_window(server)},
                 {"prefill_tokens_per_second", server.speed.prefill_tokens_per_second},
                 {"decode_seconds_per_token", server.speed.decode_seconds_per_token},
                 {"straggler", routing::is_straggler(server)},
                 {"available", routing::allows(server.breaker, now())}});
        }
        callback(out.dump());
    });
}

void owner::conclude(const request_id& id, owner_end end) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    const auto link = std::move(found->second.request.link);
    entries_.erase(found);
    load_ = entries_.size();
    link->conclude(std::move(end));
}

void owner::execute(const dispatch::refuse& effect) {
    conclude(effect.id, effect);
}

void owner::execute(const dispatch::transfer& effect) {
    metrics_.count_handover();
    conclude(effect.id, effect);
}

void owner::execute(const dispatch::start_dispatch& effect) {
    auto& target = entries_.at(effect.id);
    target.started = true;
    const auto description = descriptions_.find(effect.server);
    const auto address =
        description == descriptions_.end() ? std::string{} : description->second.address;
    asio::co_spawn(asio::make_strand(context_),
                   run(effect.id, effect.server, address, target.request, target.control),
                   asio::detached);
}

asio::awaitable<bool> owner::observe(request_id id, std::shared_ptr<right_holder_link> link,
                                     std::shared_ptr<std::uint32_t> tokens,
                                     dispatch::answer_event event) {
    if (const auto* start = std::get_if<dispatch::answer_started>(&event)) {
        post(dispatch::first_token{.id = id, .cached = start->cached});
    } else if (const auto* piece = std::get_if<dispatch::answer_piece>(&event)) {
        const auto before = *tokens;
        *tokens += piece->tokens;
        if (before / progress_tokens != *tokens / progress_tokens) {
            post(dispatch::progressed{.id = id, .generated = {*tokens}});
        }
    } else if (const auto* last = std::get_if<dispatch::answer_finished>(&event)) {
        post(dispatch::ended{.id = id,
                             .complete = last->result == outcome::answered,
                             .server_fault = last->why != reason::caller_gone,
                             .generated = {*tokens}});
    }
    co_return co_await link->deliver(std::move(event));
}

asio::awaitable<void> owner::run(request_id id, server_id server, std::string address,
                                 owned_request request,
                                 std::shared_ptr<http::upstream_control> control) {
    const auto self = shared_from_this();
    const auto link = request.link;
    const auto tokens = std::make_shared<std::uint32_t>(0);
    const auto acquired = std::make_shared<bool>(false);
    http::upstream_callbacks callbacks;
    callbacks.acquire_right = [this, link, server, acquired,
                               urgency = request.work.urgency]() -> asio::awaitable<bool> {
        *acquired = co_await link->acquire(server);
        if (*acquired) {
            metrics_.count_dispatch(urgency);
        }
        co_return *acquired;
    };
    callbacks.deliver = [this, id, link, tokens](dispatch::answer_event event) {
        return observe(id, link, tokens, std::move(event));
    };
    http::upstream_request upstream;
    upstream.id = id;
    upstream.server = server;
    upstream.address = address;
    upstream.call = request.call;
    upstream.control = control;
    const auto end =
        co_await http::run_upstream_request(client_, std::move(upstream), std::move(callbacks));
    if (end == http::upstream_end::not_written && *acquired) {
        co_await link->release(server);
    }
    asio::post(strand_, [self, id, end] {
        switch (end) {
        case http::upstream_end::finished:
            self->conclude(id, upstream_done{});
            break;
        case http::upstream_end::right_refused:
            self->apply(dispatch::grant_refused{.id = id});
            self->conclude(id, dispatch::refuse{.id = id, .why = reason::caller_gone});
            break;
        case http::upstream_end::not_written:
            if (const auto found = self->entries_.find(id); found != self->entries_.end()) {
                found->second.started = false;
            }
            self->apply(dispatch::dispatch_failed{.id = id});
            break;
        }
    });
}

void owner::tick() {
    if (stopped_) {
        return;
    }
    apply(dispatch::ticked{});
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->tick();
        }
    });
}

void owner::poll_servers() {
    if (stopped_) {
        return;
    }
    for (const auto& [id, server] : descriptions_) {
        if (server.kind == config::server_kind::engine &&
            server.state != config::server_state::retired) {
            asio::co_spawn(strand_, poll(id, server.address), asio::detached);
        }
    }
    poll_timer_.expires_after(poll_interval);
    poll_timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->poll_servers();
        }
    });
}

asio::awaitable<void> owner::poll(server_id id, std::string address) {
    const auto self = shared_from_this();
    const auto after = last_cache_event_[id];
    auto text = co_await http::fetch(client_, address, "GET",
                                     "/v1/load?cache_events_after=" + std::to_string(after));
    const auto report = nlohmann::json::parse(text, nullptr, false);
    if (!report.is_object()) {
        co_return;
    }
    try {
        const auto age = std::chrono::milliseconds{report.value("age_ms", 0)};
        apply(dispatch::reported{.server = id,
                                 .report = {.running = report.value("running", 0U),
                                            .waiting = report.value("waiting", 0U),
                                            .made_at = now() - age}});
        for (const auto& item : report.value("cache_events", nlohmann::json::array())) {
            const auto sequence = item.at("sequence").get<std::uint64_t>();
            last_cache_event_[id] = std::max(last_cache_event_[id], sequence);
            apply(dispatch::cache_changed{.server = id,
                                          .sequence = sequence,
                                          .stored = read_blocks(item.at("stored")),
                                          .evicted = read_blocks(item.at("evicted"))});
        }
    } catch (const nlohmann::json::exception& error) {
        LOG(WARNING) << "ignored a malformed load report of server " << id.value << ": "
                     << error.what();
    }
}

} // namespace tarragonspar::runtime
