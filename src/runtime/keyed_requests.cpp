#include "tarragonspar/runtime/keyed_requests.hpp"

#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/await_reply.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/types/cbor.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::string_view issued_prefix = "tk-";
/// Maximum number of issued keys that are kept; older ones can no longer be used.
constexpr std::size_t max_issued = 100'000;
/// Maximum number of abandoned claims that are kept: their result is unknown, and their requests
/// are never dispatched.
constexpr std::size_t max_abandoned = 100'000;
/// Longest answer that is relayed to a retry through another instance.
constexpr std::size_t max_relayed_bytes = 4 * 1024 * 1024;

std::uint64_t digest_of(const dispatch::call_body& call) {
    return hash_pair(hash_name(call.method + '\n' + call.target + '\n' + call.body), call.plain);
}

std::int64_t wall_ms() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

keyed_answer make_unanswered(outcome result, reason why, request_id id) {
    keyed_answer out;
    out.result = result;
    out.why = why;
    out.retry_after = std::chrono::seconds{1};
    out.request_id = to_string(id);
    return out;
}

std::string encode_request(const keyed_request& value, request_id id) {
    return cbor::encode({{"id", to_string(id)},
                         {"key", value.key},
                         {"profile", value.profile},
                         {"workspace", value.workspace},
                         {"model", value.model},
                         {"plain", value.call.plain},
                         {"method", value.call.method},
                         {"target", value.call.target},
                         {"content_type", value.call.content_type},
                         {"body", cbor::binary(value.call.body)},
                         {"prompt", value.prompt.value},
                         {"max_output", value.max_output.value},
                         {"prompt_text", cbor::binary(value.prompt_text)}});
}

keyed_request decode_request(const json& in) {
    keyed_request value;
    value.key = in.at("key").get<std::string>();
    value.profile = in.at("profile").get<std::string>();
    value.workspace = in.at("workspace").get<std::string>();
    value.model = in.at("model").get<std::string>();
    value.call.plain = in.at("plain").get<bool>();
    value.call.method = in.at("method").get<std::string>();
    value.call.target = in.at("target").get<std::string>();
    value.call.content_type = in.at("content_type").get<std::string>();
    value.call.body = cbor::bytes_of(in.at("body"));
    value.prompt = {in.at("prompt").get<std::uint32_t>()};
    value.max_output = {in.at("max_output").get<std::uint32_t>()};
    value.prompt_text = cbor::bytes_of(in.at("prompt_text"));
    return value;
}

std::string encode_answer(const keyed_answer& value) {
    const auto fits = value.body.size() <= max_relayed_bytes;
    return cbor::encode({{"result", static_cast<int>(value.result)},
                         {"why", static_cast<int>(value.why)},
                         {"retry_after", value.retry_after.count()},
                         {"request_id", value.request_id},
                         {"status", value.status},
                         {"content_type", value.content_type},
                         {"body", cbor::binary(fits ? value.body : std::string{})},
                         {"complete", value.complete && fits},
                         {"key_differs", value.key_differs},
                         {"finish_reason", value.finished.finish_reason},
                         {"prompt", value.finished.prompt.value},
                         {"generated", value.finished.generated.value}});
}

std::optional<keyed_answer> decode_answer(const std::string& bytes) {
    try {
        const auto in = json::from_cbor(bytes);
        keyed_answer value;
        value.result = static_cast<outcome>(in.at("result").get<int>());
        value.why = static_cast<reason>(in.at("why").get<int>());
        value.retry_after = duration{in.at("retry_after").get<std::int64_t>()};
        value.request_id = in.at("request_id").get<std::string>();
        value.status = in.at("status").get<unsigned>();
        value.content_type = in.at("content_type").get<std::string>();
        value.body = cbor::bytes_of(in.at("body"));
        value.complete = in.at("complete").get<bool>();
        value.key_differs = in.at("key_differs").get<bool>();
        value.finished.result = value.result;
        value.finished.finish_reason = in.at("finish_reason").get<std::string>();
        value.finished.prompt = {in.at("prompt").get<std::uint32_t>()};
        value.finished.generated = {in.at("generated").get<std::uint32_t>()};
        return value;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

keyed_answer answer_of(request_record& record) {
    keyed_answer out;
    out.request_id = to_string(record.work.id);
    out.finished = record.finished().value_or(dispatch::answer_finished{});
    out.result = out.finished.result;
    out.why = out.finished.why;
    out.retry_after = out.finished.retry_after;
    auto assembled = record.assemble();
    out.status = assembled.status;
    out.content_type = std::move(assembled.content_type);
    out.body = std::move(assembled.body);
    out.complete = assembled.complete;
    return out;
}

} // namespace

keyed_requests::keyed_requests(std::shared_ptr<coordinator> requests,
                               std::shared_ptr<control_service> control, wire::node& node,
                               const snapshot_cell& snapshots, instance_id self,
                               incarnation started_as)
    : requests_(std::move(requests)), control_(std::move(control)), node_(node),
      snapshots_(snapshots), self_(self), started_as_(started_as) {}

std::string keyed_requests::issue() {
    const auto id = requests_->next_id();
    const std::lock_guard lock(mutex_);
    issued_.emplace(id, issued_key{});
    issued_order_.push_back(id);
    if (issued_order_.size() > max_issued) {
        issued_.erase(issued_order_.front());
        issued_order_.pop_front();
    }
    return std::string(issued_prefix) + to_string(id);
}

asio::awaitable<keyed_answer> keyed_requests::run(keyed_request request) {
    if (request.key.starts_with(issued_prefix)) {
        const auto id =
            parse_request_id(std::string_view(request.key).substr(issued_prefix.size()));
        if (id) {
            auto answer = co_await run_issued(std::move(request), *id);
            co_return answer;
        }
    }
    auto answer = co_await run_claimed(std::move(request));
    co_return answer;
}

std::shared_ptr<request_record> keyed_requests::start(const keyed_request& request, request_id id) {
    const auto current = snapshots_.load();
    const auto* profile = find_profile(*current, request.profile);
    if (profile == nullptr) {
        return nullptr;
    }
    work_item work;
    work.id = id;
    work.urgency = profile->urgency;
    work.workspace = {hash_name(request.workspace)};
    work.model = {hash_name(request.model)};
    work.profile = hash_name(profile->name);
    work.arrival = now();
    work.deadline = work.arrival + profile->deadline;
    work.prompt = request.prompt;
    work.max_output = request.max_output;
    work.blocks = hash_blocks(request.prompt_text);
    work.idempotent = profile->idempotent;
    return requests_->submit(std::move(work), request.call, request.profile, request.workspace);
}

asio::awaitable<keyed_answer> keyed_requests::await_record(std::shared_ptr<request_record> record) {
    std::function<void(std::function<void(bool)>)> wait = [record](auto done) {
        record->when_finished([done] { done(true); });
    };
    co_await await_reply<bool>(std::move(wait));
    co_return answer_of(*record);
}

// --- issued keys ---

void keyed_requests::use_issued(const keyed_request& request, request_id id,
                                std::function<void(keyed_answer)> done) {
    const auto digest = digest_of(request.call);
    bool first = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = issued_.find(id);
        if (id.issued_in != started_as_ || found == issued_.end()) {
            done(make_unanswered(outcome::unknown, reason::issuer_lost, id));
            return;
        }
        first = !found->second.used;
        if (!first && found->second.digest != digest) {
            auto differs = make_unanswered(outcome::not_executed, reason::none, id);
            differs.key_differs = true;
            done(std::move(differs));
            return;
        }
        found->second = {.digest = digest, .used = true};
    }
    auto record = first ? start(request, id) : requests_->find(id);
    if (!record) {
        // If the key was used before and the record is gone, the request may have run.
        const auto result = first ? outcome::not_executed : outcome::unknown;
        done(make_unanswered(result, first ? reason::no_server : reason::issuer_lost, id));
        return;
    }
    auto* raw = record.get();
    raw->when_finished(
        [record = std::move(record), done = std::move(done)] { done(answer_of(*record)); });
}

asio::awaitable<keyed_answer> keyed_requests::run_issued(keyed_request request, request_id id) {
    if (id.issuer != self_) {
        auto answer = co_await query_issuer(wire::topic::key, id, encode_request(request, id));
        co_return answer;
    }
    std::function<void(std::function<void(keyed_answer)>)> begin = [this, request, id](auto done) {
        use_issued(request, id, std::move(done));
    };
    auto answer = co_await await_reply<keyed_answer>(std::move(begin));
    co_return answer;
}

asio::awaitable<keyed_answer> keyed_requests::query_issuer(wire::topic about, request_id id,
                                                           std::string payload) {
    std::function<void(std::function<void(std::optional<wire::answer>)>)> begin =
        [this, about, id, payload = std::move(payload)](auto done) {
            node_.ask(id.issuer, about, payload, std::move(done));
        };
    const auto reply = co_await await_reply<std::optional<wire::answer>>(std::move(begin));
    if (reply && reply->known) {
        if (auto answer = decode_answer(reply->payload)) {
            co_return std::move(*answer);
        }
    }
    co_return make_unanswered(outcome::unknown, reason::issuer_lost, id);
}

// --- keys chosen by callers ---

asio::awaitable<keyed_answer> keyed_requests::run_claimed(keyed_request request) {
    const auto id = requests_->next_id();
    const idempotency::claim claim{.key = request.workspace + '\n' + request.key,
                                   .digest = digest_of(request.call),
                                   .request = id,
                                   .at_ms = wall_ms()};
    {
        const std::lock_guard lock(mutex_);
        claiming_.try_emplace(id);
    }
    std::function<void(std::function<void(std::optional<control::reply>)>)> begin =
        [this, claim](auto done) { control_->submit(claim, std::move(done)); };
    const auto reply = co_await await_reply<std::optional<control::reply>>(std::move(begin));
    if (!reply) {
        abandon(id);
        finish_claim(id);
        co_return make_unanswered(outcome::not_executed, reason::no_quorum, id);
    }
    const auto& claimed = std::get<idempotency::claim_answer>(*reply);
    // A claim that was sent twice may be reported as held by its own request.
    const auto is_own = claimed.record.request == id;
    const auto may_run = claimed.result == idempotency::claim_result::granted || is_own;
    if (!may_run) {
        finish_claim(id);
    }
    switch (claimed.result) {
    case idempotency::claim_result::full:
        co_return make_unanswered(outcome::not_executed, reason::overloaded, id);
    case idempotency::claim_result::differs: {
        auto differs = make_unanswered(outcome::not_executed, reason::none, id);
        differs.key_differs = true;
        co_return differs;
    }
    case idempotency::claim_result::held:
        if (!is_own) {
            auto found = co_await query_result(claimed.record, claim.key);
            co_return found;
        }
        break;
    case idempotency::claim_result::granted:
        break;
    }
    const auto record = start(request, id);
    finish_claim(id);
    if (!record) {
        auto answer = make_unanswered(outcome::not_executed, reason::no_server, id);
        settle(claim.key, answer, id);
        co_return answer;
    }
    auto answer = co_await await_record(record);
    settle(claim.key, answer, id);
    co_return answer;
}

asio::awaitable<keyed_answer> keyed_requests::query_result(idempotency::key_record record,
                                                           std::string key) {
    if (record.result) {
        keyed_answer out;
        out.result = *record.result;
        out.why = out.result == outcome::unknown ? reason::server_lost : reason::none;
        out.request_id = to_string(record.request);
        out.status = record.answer.status;
        out.content_type = record.answer.content_type;
        out.body = record.answer.body;
        out.complete = record.answer.complete;
        co_return out;
    }
    const json query{{"id", to_string(record.request)}, {"key", key}};
    if (record.request.issuer != self_) {
        auto answer =
            co_await query_issuer(wire::topic::request, record.request, cbor::encode(query));
        co_return answer;
    }
    std::function<void(std::function<void(wire::answer)>)> begin =
        [this, payload = cbor::encode(query)](auto done) {
            on_query(wire::topic::request, payload, std::move(done));
        };
    const auto reply = co_await await_reply<wire::answer>(std::move(begin));
    if (auto answer = decode_answer(reply.payload)) {
        co_return std::move(*answer);
    }
    co_return make_unanswered(outcome::unknown, reason::issuer_lost, record.request);
}

void keyed_requests::settle(const std::string& key, const keyed_answer& answer, request_id id) {
    idempotency::settlement settled{.key = key, .request = id, .result = answer.result};
    settled.answer = {.status = answer.status,
                      .content_type = answer.content_type,
                      .body = answer.body,
                      .complete = answer.complete};
    control_->submit(std::move(settled), [](std::optional<control::reply>) {});
}

void keyed_requests::finish_claim(request_id id) {
    std::vector<std::function<void()>> waiting_queries;
    {
        const std::lock_guard lock(mutex_);
        const auto found = claiming_.find(id);
        if (found == claiming_.end()) {
            return;
        }
        waiting_queries = std::move(found->second);
        claiming_.erase(found);
    }
    for (const auto& resume_query : waiting_queries) {
        resume_query();
    }
}

void keyed_requests::abandon(request_id id) {
    const std::lock_guard lock(mutex_);
    abandoned_.insert(id);
    if (abandoned_.size() > max_abandoned) {
        abandoned_.erase(abandoned_.begin());
    }
}

void keyed_requests::on_query(wire::topic about, const std::string& payload,
                              std::function<void(wire::answer)> reply) {
    std::optional<request_id> id;
    std::string key;
    std::optional<keyed_request> request;
    try {
        const auto in = json::from_cbor(payload);
        id = parse_request_id(in.at("id").get<std::string>());
        key = in.at("key").get<std::string>();
        if (about == wire::topic::key) {
            request = decode_request(in);
        }
    } catch (const json::exception&) {
        id.reset();
    }
    if (!id) {
        reply({});
        return;
    }
    const auto send = [reply](const keyed_answer& answer) {
        reply({.known = true, .payload = encode_answer(answer)});
    };
    if (request) {
        use_issued(*request, *id, send);
        return;
    }
    report_result(*id, key, send);
}

void keyed_requests::report_result(request_id id, const std::string& key,
                                   std::function<void(const keyed_answer&)> send) {
    bool never_runs = false;
    {
        const std::lock_guard lock(mutex_);
        const auto claiming = claiming_.find(id);
        if (claiming != claiming_.end()) {
            claiming->second.emplace_back([this, id, key, send] { report_result(id, key, send); });
            return;
        }
        never_runs = abandoned_.contains(id);
    }
    if (never_runs) {
        const auto answer = make_unanswered(outcome::not_executed, reason::no_quorum, id);
        settle(key, answer, id);
        send(answer);
        return;
    }
    const auto record = requests_->find(id);
    if (!record) {
        send(make_unanswered(outcome::unknown, reason::issuer_lost, id));
        return;
    }
    record->when_finished([record, send] { send(answer_of(*record)); });
}

} // namespace tarragonspar::runtime
