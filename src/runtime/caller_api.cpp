#include "tarragonspar/runtime/caller_api.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/await_reply.hpp"
#include "tarragonspar/runtime/clock.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
using dispatch::answer_finished;
using dispatch::answer_piece;
using dispatch::answer_started;

namespace {

constexpr std::string_view services_prefix = "/services/";
constexpr std::string_view requests_prefix = "/v1/requests/";
/// Workspace of requests that name none.
constexpr const char* default_workspace = "default";

std::string path_of(const http::exchange& with) {
    const auto target = with.request().target();
    return {target.data(), target.size()};
}

/// Splits `/services/NAME/REST` into name and `/REST`.
std::pair<std::string, std::string> split_service(std::string_view target) {
    target.remove_prefix(services_prefix.size());
    const auto slash = target.find('/');
    if (slash == std::string_view::npos) {
        return {std::string(target), "/"};
    }
    return {std::string(target.substr(0, slash)), std::string(target.substr(slash))};
}

http::reply unavailable(reason why) {
    const answer_finished refused{
        .result = outcome::not_executed, .why = why, .retry_after = std::chrono::seconds{1}};
    return http::format_problem("", refused);
}

std::uint64_t read_offset(std::string_view target) {
    constexpr std::string_view key = "offset=";
    const auto found = target.find(key);
    std::uint64_t offset = 0;
    if (found != std::string_view::npos) {
        const auto* first = target.data() + found + key.size();
        std::from_chars(first, target.data() + target.size(), offset);
    }
    return offset;
}

http::header_list answer_headers(const std::string& id) {
    return {{http::request_id_header, id}};
}

} // namespace

caller_api::caller_api(std::shared_ptr<coordinator> requests, std::shared_ptr<keyed_requests> keyed,
                       std::shared_ptr<control_service> control, const snapshot_cell& snapshots)
    : requests_(std::move(requests)), keyed_(std::move(keyed)), control_(std::move(control)),
      snapshots_(snapshots) {}

asio::awaitable<bool> caller_api::handle(http::exchange& with) {
    const auto target = path_of(with);
    const auto method = with.request().method();
    const auto is_post = method == http::beast_http::verb::post;
    if (target.starts_with(services_prefix)) {
        co_await call_service(with, target);
    } else if (target.starts_with(requests_prefix)) {
        co_await send_request_status(with, target);
    } else if (target == "/v1/models") {
        const auto current = snapshots_.load();
        http::reply out;
        out.body = http::format_models(current->models);
        co_await with.respond(std::move(out));
    } else if (target == "/v1/keys" && is_post) {
        http::reply out;
        out.body = nlohmann::json{{"key", keyed_->issue()}}.dump();
        co_await with.respond(std::move(out));
    } else if (target == "/v1/chat/completions" || target == "/v1/completions") {
        if (!is_post) {
            co_await with.respond(http::format_rejection(405, "use POST"));
        } else {
            co_await handle_completion(with, target == "/v1/chat/completions");
        }
    } else {
        co_return false;
    }
    co_return true;
}

caller_api::caller_choice caller_api::read_choice(const http::exchange& with) const {
    caller_choice choice;
    choice.current = snapshots_.load();
    const auto name = with.header(http::profile_header);
    if (name.empty()) {
        choice.error = std::string("the header ") + http::profile_header + " must name a profile";
        return choice;
    }
    choice.profile = find_profile(*choice.current, name);
    if (choice.profile == nullptr) {
        choice.unknown_profile = true;
        choice.error = "no profile is named " + name;
    }
    choice.workspace = with.header(http::workspace_header);
    if (choice.workspace.empty()) {
        choice.workspace = default_workspace;
    }
    return choice;
}

asio::awaitable<caller_api::caller_choice> caller_api::confirm_choice(http::exchange& with) {
    auto choice = read_choice(with);
    if (!choice.unknown_profile) {
        co_return choice;
    }
    // A final refusal must not be based on a configuration that may have been replaced.
    std::function<void(std::function<void(bool)>)> start = [control = control_](auto done) {
        control->confirm_configuration(std::move(done));
    };
    const bool confirmed = co_await await_reply<bool>(std::move(start));
    choice = read_choice(with);
    choice.unconfirmed = choice.unknown_profile && !confirmed;
    co_return choice;
}

work_item caller_api::make_work(const caller_choice& choice) const {
    work_item work;
    work.id = requests_->next_id();
    work.urgency = choice.profile->urgency;
    work.workspace = {hash_name(choice.workspace)};
    work.profile = hash_name(choice.profile->name);
    work.arrival = now();
    work.deadline = work.arrival + choice.profile->deadline;
    work.idempotent = choice.profile->idempotent;
    return work;
}

void caller_api::watch_connection(http::exchange& with,
                                  const std::shared_ptr<request_record>& record,
                                  std::uint64_t reader) {
    with.on_disconnect(
        [requests = requests_, record, reader] { requests->on_caller_disconnect(record, reader); });
}

asio::awaitable<void> caller_api::handle_completion(http::exchange& with, bool chat) {
    const auto choice = co_await confirm_choice(with);
    if (stopping_) {
        co_await with.respond(unavailable(reason::shutting_down));
        co_return;
    }
    if (choice.unconfirmed) {
        co_await with.respond(unavailable(reason::catching_up));
        co_return;
    }
    auto parsed = http::parse_completion(with.request().body(), chat);
    auto error = choice.error;
    if (error.empty() && std::holds_alternative<std::string>(parsed)) {
        error = std::get<std::string>(parsed);
    }
    if (!error.empty()) {
        co_await with.respond(http::format_rejection(400, error));
        co_return;
    }
    const auto& request = std::get<http::completion_request>(parsed);
    auto work = make_work(choice);
    work.model = {hash_name(request.model)};
    work.prompt = {static_cast<std::uint32_t>(request.prompt.size() / bytes_per_token + 1)};
    work.max_output = {request.max_tokens == 0
                           ? choice.profile->max_output_tokens
                           : std::min(request.max_tokens, choice.profile->max_output_tokens)};
    dispatch::call_body call;
    call.method = "POST";
    call.target = path_of(with);
    call.content_type = "application/json";
    call.body = with.request().body();
    if (auto key = with.header(http::idempotency_header); !key.empty()) {
        keyed_request keyed;
        keyed.key = std::move(key);
        keyed.profile = choice.profile->name;
        keyed.workspace = choice.workspace;
        keyed.model = request.model;
        keyed.call = std::move(call);
        keyed.prompt = work.prompt;
        keyed.max_output = work.max_output;
        keyed.prompt_text = request.prompt;
        std::optional<http::completion_request> completion(request);
        co_await run_keyed(with, std::move(keyed), std::move(completion));
        co_return;
    }
    work.blocks = hash_blocks(request.prompt);
    const auto record =
        requests_->submit(std::move(work), std::move(call), choice.profile->name, choice.workspace);
    if (request.stream) {
        co_await stream_answer(with, request, record, 0);
    } else {
        co_await collect_answer(with, request, record);
    }
}

asio::awaitable<void> caller_api::stream_answer(http::exchange& with,
                                                const http::completion_request& request,
                                                std::shared_ptr<request_record> record,
                                                std::uint64_t position) {
    const auto id = to_string(record->work.id);
    const auto reader = record->attach();
    watch_connection(with, record, reader);
    bool has_started = false;
    bool alive = true;
    while (alive) {
        auto event = co_await record->read(reader, position++);
        if (!event) {
            break;
        }
        const auto* last = std::get_if<answer_finished>(&*event);
        if (!has_started) {
            if (last != nullptr && last->result != outcome::answered) {
                co_await with.respond(http::format_problem(id, *last));
                break;
            }
            const auto* start = std::get_if<answer_started>(&*event);
            has_started = true;
            alive = co_await with.begin_stream(start == nullptr ? 200 : start->status,
                                               "text/event-stream", answer_headers(id));
        }
        if (const auto* piece = std::get_if<answer_piece>(&*event)) {
            alive = co_await with.write(http::format_piece(request, id, *piece));
        }
        if (last != nullptr) {
            auto last_part = last->result == outcome::answered
                                 ? http::format_stream_end(request, id, *last)
                                 : http::format_stream_failure(id, *last);
            co_await with.write(std::move(last_part));
            alive = co_await with.end_stream();
            break;
        }
    }
    if (!alive) {
        requests_->on_caller_disconnect(record, reader);
    }
}

asio::awaitable<void> caller_api::collect_answer(http::exchange& with,
                                                 const http::completion_request& request,
                                                 std::shared_ptr<request_record> record) {
    const auto id = to_string(record->work.id);
    const auto reader = record->attach();
    watch_connection(with, record, reader);
    std::string text;
    unsigned status = 200;
    for (std::uint64_t position = 0;; ++position) {
        auto event = co_await record->read(reader, position);
        if (!event) {
            auto displaced = http::format_error(409, "another connection took over this request");
            co_await with.respond(std::move(displaced));
            co_return;
        }
        if (const auto* start = std::get_if<answer_started>(&*event)) {
            status = start->status;
        } else if (const auto* piece = std::get_if<answer_piece>(&*event)) {
            text += piece->text;
        } else if (const auto* last = std::get_if<answer_finished>(&*event)) {
            http::reply out;
            if (last->result != outcome::answered) {
                out = http::format_problem(id, *last);
            } else {
                out.status = status;
                out.headers = answer_headers(id);
                out.headers.emplace_back(http::outcome_header, "answered");
                out.body = status == 200 ? http::format_completion(request, id, text, *last)
                                         : std::move(text);
            }
            co_await with.respond(std::move(out));
            co_return;
        }
    }
}

asio::awaitable<void> caller_api::call_service(http::exchange& with, std::string target) {
    const auto choice = co_await confirm_choice(with);
    if (stopping_) {
        co_await with.respond(unavailable(reason::shutting_down));
        co_return;
    }
    if (choice.unconfirmed) {
        co_await with.respond(unavailable(reason::catching_up));
        co_return;
    }
    if (!choice.error.empty()) {
        co_await with.respond(http::format_rejection(400, choice.error));
        co_return;
    }
    const auto [service, rest] = split_service(target);
    auto work = make_work(choice);
    work.model = {hash_name(service)};
    work.max_output = {1};
    dispatch::call_body call;
    call.plain = true;
    call.method = std::string(with.request().method_string());
    call.target = rest;
    call.content_type = with.header("Content-Type");
    call.body = with.request().body();
    if (auto key = with.header(http::idempotency_header); !key.empty()) {
        keyed_request keyed;
        keyed.key = std::move(key);
        keyed.profile = choice.profile->name;
        keyed.workspace = choice.workspace;
        keyed.model = service;
        keyed.call = std::move(call);
        keyed.max_output = work.max_output;
        std::optional<http::completion_request> none;
        co_await run_keyed(with, std::move(keyed), std::move(none));
        co_return;
    }
    const auto record =
        requests_->submit(std::move(work), std::move(call), choice.profile->name, choice.workspace);
    co_await relay_service(with, record);
}

asio::awaitable<void> caller_api::run_keyed(http::exchange& with, keyed_request request,
                                            std::optional<http::completion_request> completion) {
    auto answer = co_await keyed_->run(std::move(request));
    http::reply out;
    if (answer.key_differs) {
        out = http::format_rejection(422, "this key was used with another request");
    } else if (answer.result != outcome::answered) {
        answer_finished last;
        last.result = answer.result;
        last.why = answer.why;
        last.retry_after = answer.retry_after;
        out = http::format_problem(answer.request_id, last);
    } else if (!answer.complete) {
        out = http::format_error(410, "the request was answered, and its answer is not kept");
        out.headers.emplace_back(http::outcome_header, "answered");
        out.headers.emplace_back(http::request_id_header, answer.request_id);
    } else {
        out.status = answer.status;
        out.content_type = completion ? "application/json" : answer.content_type;
        out.headers = answer_headers(answer.request_id);
        out.headers.emplace_back(http::outcome_header, "answered");
        out.body = completion && answer.status == 200
                       ? http::format_completion(*completion, answer.request_id, answer.body,
                                                 answer.finished)
                       : std::move(answer.body);
    }
    co_await with.respond(std::move(out));
}

asio::awaitable<void> caller_api::relay_service(http::exchange& with,
                                                std::shared_ptr<request_record> record) {
    const auto id = to_string(record->work.id);
    const auto reader = record->attach();
    watch_connection(with, record, reader);
    http::reply out;
    out.headers = answer_headers(id);
    for (std::uint64_t position = 0;; ++position) {
        auto event = co_await record->read(reader, position);
        if (!event) {
            auto displaced = http::format_error(409, "another connection took over this request");
            co_await with.respond(std::move(displaced));
            co_return;
        }
        if (const auto* start = std::get_if<answer_started>(&*event)) {
            out.status = start->status;
            out.content_type = start->content_type;
        } else if (auto* piece = std::get_if<answer_piece>(&*event)) {
            out.body += piece->text;
        } else if (const auto* last = std::get_if<answer_finished>(&*event)) {
            if (last->result != outcome::answered) {
                out = http::format_problem(id, *last);
            } else {
                out.headers.emplace_back(http::outcome_header, "answered");
            }
            co_await with.respond(std::move(out));
            co_return;
        }
    }
}

asio::awaitable<void> caller_api::send_request_status(http::exchange& with, std::string target) {
    auto name = target.substr(requests_prefix.size());
    const auto end = name.find_first_of("/?");
    const auto rest = end == std::string::npos ? std::string{} : name.substr(end);
    name.resize(std::min(end, name.size()));
    const auto id = parse_request_id(name);
    if (!id) {
        co_await with.respond(http::format_error(400, "this is not a request id"));
        co_return;
    }
    const auto record = requests_->find(*id);
    if (!record) {
        co_await with.respond(http::format_error(404, "this request is not known here"));
        co_return;
    }
    if (rest.starts_with("/stream")) {
        const auto position = record->position_of(read_offset(rest));
        if (!position) {
            co_await with.respond(
                http::format_error(410, "that part of the answer is no longer kept"));
            co_return;
        }
        http::completion_request request;
        request.stream = true;
        co_await stream_answer(with, request, record, *position);
        co_return;
    }
    nlohmann::json out{{"request_id", name}, {"tokens", record->next_offset()}};
    const auto last = record->finished();
    out["state"] = last ? "finished" : record->right.granted_to() ? "running" : "queued";
    if (last) {
        out["outcome"] = to_string(last->result);
        out["reason"] = to_string(last->why);
    }
    http::reply answer;
    answer.body = out.dump();
    co_await with.respond(std::move(answer));
}

} // namespace tarragonspar::runtime
