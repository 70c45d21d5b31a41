#include "tarragonspar/emulator/fake_server.hpp"

#include <charconv>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::emulator {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// Idle time of a stream after which a comment is sent.
constexpr auto keep_alive_interval = std::chrono::milliseconds{500};
/// Maximum number of answers kept for resumption.
constexpr std::size_t max_streams = 8192;
/// Maximum number of cache events kept for later polls.
constexpr std::size_t max_cache_events = 512;
/// Maximum number of load reports kept, from which one of the configured age is served.
constexpr std::size_t max_reports = 4096;
constexpr std::string_view streams_prefix = "/v1/streams/";

std::uint64_t read_number(const std::string& target, std::string_view key) {
    const auto found = target.find(key);
    std::uint64_t value = 0;
    if (found != std::string::npos) {
        std::from_chars(target.data() + found + key.size(), target.data() + target.size(), value);
    }
    return value;
}

std::string stream_name(const std::string& target) {
    const auto end = target.find('?');
    return target.substr(streams_prefix.size(), end == std::string::npos
                                                    ? std::string::npos
                                                    : end - streams_prefix.size());
}

json blocks_to_json(const std::vector<block_hash>& blocks) {
    json list = json::array();
    for (const auto block : blocks) {
        list.push_back(block.value);
    }
    return list;
}

std::string as_event(const json& data) {
    return "data: " + data.dump() + "\n\n";
}

std::string piece_event(const fake_stream& stream, std::uint32_t index) {
    json data{{"id", stream.id},
              {"offset", index},
              {"tokens", 1},
              {"text", token_text(stream.id, index)}};
    if (index == 0) {
        data["cached_tokens"] = stream.cached;
    }
    return as_event(data);
}

std::string done_event(const fake_stream& stream) {
    return as_event({{"id", stream.id},
                     {"offset", stream.generated},
                     {"done", true},
                     {"finish_reason", "stop"},
                     {"prompt_tokens", stream.prompt},
                     {"cached_tokens", stream.cached}});
}

} // namespace

std::string token_text(const std::string& id, std::uint32_t index) {
    const auto hash = hash_pair(hash_name(id), index);
    return "w" + std::to_string(hash % 1000) + " ";
}

fake_server::fake_server(asio::io_context& context, const fake_options& options)
    : options_(options), engine_(options.engine), step_timer_(context) {
    if (!options_.journal.empty()) {
        journal_.open(options_.journal, std::ios::app);
    }
}

asio::awaitable<void> fake_server::handle(http::exchange& with) {
    const auto view = with.request().target();
    const std::string target(view.data(), view.size());
    const auto method = with.request().method();
    if (target.starts_with(streams_prefix)) {
        if (method == http::beast_http::verb::delete_) {
            co_await cancel(with, target);
        } else {
            co_await resume(with, target);
        }
    } else if (target.starts_with("/v1/load")) {
        co_await send_load_report(with, target);
    } else if (options_.plain_service) {
        co_await run_service(with);
    } else if (target == "/v1/chat/completions" || target == "/v1/completions") {
        co_await run_completion(with, target == "/v1/chat/completions");
    } else if (target == "/v1/orders") {
        co_await handle_order(with);
    } else {
        co_await with.respond(http::format_error(404, "no such path"));
    }
}

asio::awaitable<void> fake_server::run_service(http::exchange& with) {
    const auto id = with.header(http::request_id_header);
    const auto view = with.request().target();
    write_journal(json{{"id", id},
                       {"kind", "service"},
                       {"target", std::string(view.data(), view.size())},
                       {"body", with.request().body()}}
                      .dump());
    asio::steady_timer timer(co_await asio::this_coro::executor, options_.service_time);
    co_await timer.async_wait(as_result);
    http::reply out;
    out.body = json{{"done", true}, {"id", id}, {"echo", with.request().body()}}.dump();
    co_await with.respond(std::move(out));
}

asio::awaitable<void> fake_server::run_completion(http::exchange& with, bool chat) {
    auto parsed = http::parse_completion(with.request().body(), chat);
    if (const auto* problem = std::get_if<std::string>(&parsed)) {
        co_await with.respond(http::format_error(400, *problem));
        co_return;
    }
    auto id = with.header(http::request_id_header);
    if (id.empty()) {
        id = "direct-" + std::to_string(next_job_);
    }
    if (streams_.contains(id)) {
        write_journal(json{{"id", id}, {"kind", "duplicate"}}.dump());
        co_await with.respond(http::format_error(409, "this id was dispatched before"));
        co_return;
    }
    auto stream = std::make_shared<fake_stream>();
    stream->id = id;
    start_job(stream, std::get<http::completion_request>(parsed));
    co_await send_stream(with, stream, 0);
}

void fake_server::start_job(const std::shared_ptr<fake_stream>& stream,
                            const http::completion_request& request) {
    stream->prompt = static_cast<std::uint32_t>(request.prompt.size() / bytes_per_token + 1);
    stream->changed = std::make_unique<asio::steady_timer>(step_timer_.get_executor());
    const auto output = request.max_tokens == 0 ? options_.default_output : request.max_tokens;
    job job;
    job.id = {.issuer = {0}, .issued_in = {0}, .sequence = ++next_job_};
    job.prompt = {stream->prompt};
    job.output = {output};
    job.blocks = hash_blocks(request.prompt);
    streams_.emplace(stream->id, stream);
    stream_order_.push_back(stream->id);
    jobs_.emplace(job.id, stream);
    evict_old_streams();
    write_journal(json{{"id", stream->id}, {"kind", "engine"}, {"output", output}}.dump());
    engine_.submit(job, runtime::now());
    schedule_step();
}

void fake_server::evict_old_streams() {
    while (stream_order_.size() > max_streams) {
        streams_.erase(stream_order_.front());
        stream_order_.pop_front();
    }
}

void fake_server::schedule_step() {
    const auto next = engine_.next_step();
    if (!next) {
        return;
    }
    step_timer_.expires_at(std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(next->time_since_epoch())));
    step_timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            run_step();
        }
    });
}

void fake_server::run_step() {
    const auto now = runtime::now();
    if (!engine_.next_step() || *engine_.next_step() > now) {
        schedule_step();
        return;
    }
    std::vector<progress> events;
    engine_.run_step(now, events);
    for (const auto& event : events) {
        const auto found = jobs_.find(event.id);
        if (found == jobs_.end()) {
            continue;
        }
        auto& stream = *found->second;
        stream.generated = event.generated.value;
        stream.cached = event.cached.value;
        stream.done = stream.done || event.kind == progress_kind::finished;
        stream.changed->cancel();
        if (stream.done) {
            write_journal(json{{"id", stream.id},
                               {"kind", "finished"},
                               {"prompt", stream.prompt},
                               {"cached", stream.cached},
                               {"generated", stream.generated}}
                              .dump());
            jobs_.erase(found);
        }
    }
    auto change = engine_.drain_cache_changes();
    if (!change.stored.empty() || !change.evicted.empty()) {
        cache_events_.push_back({.sequence = ++cache_sequence_, .change = std::move(change)});
        const auto every = options_.drop_cache_event_every;
        if (every != 0 && cache_sequence_ % every == 0) {
            cache_events_.pop_back();
        }
        if (cache_events_.size() > max_cache_events) {
            cache_events_.pop_front();
        }
    }
    record_report();
    schedule_step();
}

void fake_server::record_report() {
    reports_.push_back(
        {.made_at = runtime::now(), .running = engine_.running(), .waiting = engine_.waiting()});
    if (reports_.size() > max_reports) {
        reports_.pop_front();
    }
}

asio::awaitable<void> fake_server::wait_for_change(fake_stream& stream) {
    stream.changed->expires_after(keep_alive_interval);
    co_await stream.changed->async_wait(as_result);
}

asio::awaitable<void> fake_server::send_stream(http::exchange& with,
                                               std::shared_ptr<fake_stream> stream,
                                               std::uint32_t offset) {
    bool alive = co_await with.begin_stream(200, "text/event-stream", {});
    while (alive) {
        if (stream->cancelled) {
            break;
        }
        if (offset >= stream->generated) {
            if (stream->done) {
                co_await with.write(done_event(*stream));
                alive = co_await with.end_stream();
                break;
            }
            const auto before = stream->generated;
            co_await wait_for_change(*stream);
            if (stream->generated == before && !stream->done) {
                alive = co_await with.write(": waiting\n\n");
            }
            continue;
        }
        if (options_.stall_after_tokens != 0 && !stream->stalled &&
            offset >= options_.stall_after_tokens) {
            stream->stalled = true;
            asio::steady_timer stall_timer(co_await asio::this_coro::executor,
                                           std::chrono::minutes{5});
            co_await stall_timer.async_wait(as_result);
            co_return;
        }
        std::string pieces;
        for (; offset < stream->generated; ++offset) {
            if (options_.foreign_events) {
                pieces += as_event({{"id", "another"},
                                    {"offset", offset},
                                    {"tokens", 1},
                                    {"text", "of someone else "}});
            }
            pieces += piece_event(*stream, offset);
            if (options_.repeat_every != 0 && offset % options_.repeat_every == 0) {
                pieces += piece_event(*stream, offset);
            }
        }
        alive = co_await with.write(std::move(pieces));
    }
}

asio::awaitable<void> fake_server::resume(http::exchange& with, const std::string& target) {
    const auto found = streams_.find(stream_name(target));
    if (found == streams_.end()) {
        co_await with.respond(http::format_error(404, "no such stream"));
        co_return;
    }
    const auto offset = static_cast<std::uint32_t>(read_number(target, "offset="));
    co_await send_stream(with, found->second, offset);
}

asio::awaitable<void> fake_server::cancel(http::exchange& with, const std::string& target) {
    const auto found = streams_.find(stream_name(target));
    if (found == streams_.end()) {
        co_await with.respond(http::format_error(404, "no such stream"));
        co_return;
    }
    auto& stream = *found->second;
    for (const auto& [id, job] : jobs_) {
        if (job == found->second) {
            const auto wasted_before = engine_.totals().wasted_prefill;
            engine_.cancel(id);
            stream.cancelled = true;
            write_journal(json{{"id", stream.id},
                               {"kind", "cancelled"},
                               {"computed", engine_.totals().wasted_prefill - wasted_before}}
                              .dump());
            jobs_.erase(id);
            break;
        }
    }
    stream.changed->cancel();
    http::reply out;
    out.body = "{}";
    co_await with.respond(std::move(out));
}

asio::awaitable<void> fake_server::send_load_report(http::exchange& with,
                                                    const std::string& target) {
    const auto now = runtime::now();
    past_report served{.made_at = now, .running = engine_.running(), .waiting = engine_.waiting()};
    for (auto report = reports_.rbegin(); report != reports_.rend(); ++report) {
        served = *report;
        if (now - report->made_at >= options_.report_lag) {
            break;
        }
    }
    const auto after = read_number(target, "cache_events_after=");
    json events = json::array();
    for (const auto& event : cache_events_) {
        if (event.sequence > after) {
            events.push_back({{"sequence", event.sequence},
                              {"stored", blocks_to_json(event.change.stored)},
                              {"evicted", blocks_to_json(event.change.evicted)}});
        }
    }
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - served.made_at);
    http::reply out;
    out.body = json{
        {"running", served.running},
        {"waiting", served.waiting},
        {"age_ms", age.count()},
        {"wasted_prefill_tokens", engine_.totals().wasted_prefill},
        {"computed_prefill_tokens", engine_.totals().computed_prefill},
        {"cache_events",
         events}}.dump();
    co_await with.respond(std::move(out));
}

asio::awaitable<void> fake_server::handle_order(http::exchange& with) {
    const auto order = json::parse(with.request().body(), nullptr, false);
    const auto fence = order.is_object() ? order.value("fence", std::uint64_t{0}) : 0;
    if (options_.checks_fencing && fence < newest_fence_) {
        co_await with.respond(http::format_error(409, "a newer fencing number was seen"));
        co_return;
    }
    newest_fence_ = std::max(newest_fence_, fence);
    write_journal(json{{"kind", "order"}, {"order", order}}.dump());
    http::reply out;
    out.body = "{}";
    co_await with.respond(std::move(out));
}

void fake_server::write_journal(const std::string& line) {
    if (journal_.is_open()) {
        journal_ << line << '\n' << std::flush;
    }
}

} // namespace tarragonspar::emulator
