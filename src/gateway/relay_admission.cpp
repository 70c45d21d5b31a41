// Admits a caller's request: finds its route and workspace and builds its work item.

#include <algorithm>

#include "tarragonspar/gateway/detail/replies.hpp"
#include "tarragonspar/gateway/entry_instance.hpp"
#include "tarragonspar/http/completion_api.hpp"
#include "tarragonspar/runtime/clock.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

using namespace detail;

namespace {

/// Largest number of blocks of a prompt that are sent to the scheduler. Recording prompts of
/// thousands of tokens block by block took a fifth of the scheduler's time; two thousand tokens are
/// enough to find the server that a session used before.
constexpr std::size_t max_reported_blocks = 32;

/// Largest number of a prompt's parts that are checked for whether servers crash under them;
/// prompts have a few. Of a longer prompt the first ones and the last one are.
constexpr std::size_t max_checked_parts = 32;

/// Delay after which callers may return that an unconfirmed catalogue does not allow: about as long
/// as the control group takes to elect a leader.
constexpr duration unconfirmed_retry_after = std::chrono::seconds{1};

/// Returns block hashes for a prompt's parts: equal prefixes of prompts have equal blocks.
std::vector<block_hash> blocks_of(const std::vector<prompt_part>& parts) {
    std::vector<block_hash> blocks;
    std::uint64_t chain = 0;
    for (const auto& part : parts) {
        chain = hash_pair(chain, part.key);
        for (std::uint32_t token = block_tokens; token <= part.tokens.value;
             token += block_tokens) {
            if (blocks.size() == max_reported_blocks) {
                return blocks;
            }
            blocks.push_back({hash_pair(chain, token)});
        }
    }
    return blocks;
}

/// Returns the keys by which a request that crashes servers is recognised when it, or a part of
/// it, is sent again; see `work_item::prompt_parts`.
std::vector<std::uint64_t> recognisable_parts(const relayed_request& request) {
    const auto& parts = request.caller.parts;
    if (parts.empty()) {
        return {
            hash_pair(hash_name(request.method + " " + request.target), hash_name(*request.body))};
    }
    std::vector<std::uint64_t> keys;
    for (std::size_t i = 0; i + 1 < parts.size() && i + 1 < max_checked_parts; ++i) {
        keys.push_back(parts[i].key);
    }
    keys.push_back(parts.back().key);
    return keys;
}

} // namespace

const config::route* entry_instance::find_route(const caller_request& caller,
                                                const std::string& target,
                                                const config::workspace*& workspace,
                                                rejection& refused) {
    refused.id = caller.name;
    if (!caller.error.empty()) {
        refused.reply = http::format_error(400, caller.error);
        return nullptr;
    }
    if (!catalogue_) {
        refused.reply = make_refusal(status_unavailable, "no catalogue is known yet",
                                     std::chrono::seconds{1}, random_);
        return nullptr;
    }
    const auto* route = catalogue_->find_route(caller.host, target);
    if (route == nullptr) {
        refused.reply = refuse_by_catalogue(status_not_found, "no route for this host and path");
        return nullptr;
    }
    const auto key_required = catalogue_->value().keys_required && !route->anonymous_allowed;
    if (!caller.workspace_key.empty()) {
        workspace = catalogue_->find_workspace(caller.workspace_key);
    }
    if (key_required && workspace == nullptr) {
        refused.reply = refuse_by_catalogue(status_unauthorized, "the key is not known");
        return nullptr;
    }
    return route;
}

std::optional<http::reply> entry_instance::check_head(const http::request_message& head) {
    const auto may_become_known = initial_state_timer_.expiry() > std::chrono::steady_clock::now();
    if (!has_initial_state() && may_become_known) {
        return std::nullopt; // the request waits, see `handle`
    }
    rejection refused;
    if (accepts_requests()) {
        const config::workspace* workspace = nullptr;
        const auto view = head.target();
        const std::string target(view.data(), view.size());
        if (find_route(protocol_->read_request(head), target, workspace, refused) != nullptr) {
            return std::nullopt;
        }
    } else {
        refused.reply = refuse_while_stopping();
    }
    log_rejection(refused);
    return std::move(refused.reply);
}

bool entry_instance::accepts_requests() const {
    return runtime::now() < accept_until_;
}

http::reply entry_instance::refuse_while_stopping() {
    return make_refusal(status_unavailable, "this instance stops", {}, random_);
}

void entry_instance::log_rejection(const rejection& refused) const {
    telemetry::write(telemetry::log_line("request_rejected")
                         .add("id", refused.id.empty() ? "none" : refused.id)
                         .add("status", refused.reply.status)
                         .add("why", refused.reply.body)
                         .add("revision", static_cast<std::int64_t>(document_.number.value)));
}

entry_instance::request_ptr entry_instance::admit(http::exchange& with, time_point arrival,
                                                  rejection& refused) {
    const auto& message = with.request();
    auto caller = protocol_->read_request(message);
    const auto view = message.target();
    std::string target(view.data(), view.size());
    const config::workspace* workspace = nullptr;
    const auto* route = find_route(caller, target, workspace, refused);
    if (route == nullptr) {
        return nullptr;
    }
    auto request = std::make_shared<relayed_request>(context_.get_executor(), std::move(caller));
    request->catalogue = catalogue_;
    request->route = route;
    request->service = config::choose_service(*route, random_());
    request->method = std::string(message.method_string());
    request->target = std::move(target);
    request->body = std::make_shared<const std::string>(with.take_body());
    auto& work = request->work;
    work.urgency = route->urgency;
    work.rank = {std::min<std::uint8_t>(route->urgency.value, rank_count - 1)};
    if (workspace != nullptr) {
        request->workspace = workspace->name;
        work.workspace = {hash_name(workspace->name)};
        work.urgency = workspace->urgency.value_or(work.urgency);
        const auto tokens = request->caller.prompt.value + request->caller.max_output.value;
        const auto& quota = workspace->quota;
        work.quota_units = !quota.counts_tokens ? 1 : tokens > 0 ? tokens : quota.plain_tokens;
    }
    work.arrival = arrival;
    fill_work(*request);
    return request;
}

http::reply entry_instance::refuse_by_catalogue(unsigned status, const std::string& why) {
    if (link_->is_document_confirmed()) {
        return http::format_error(status, why);
    }
    // Callers don't return after these statuses, and a newer catalogue may allow the request.
    return make_refusal(status_unavailable, why + " in a catalogue that may be out of date",
                        unconfirmed_retry_after, random_);
}

void entry_instance::fill_stream(relayed_request& request) {
    auto& work = request.work;
    const auto& caller = request.caller;
    // Callers of one workspace can't claim the streams of another one.
    const auto key = [&](const std::string& attempt) {
        return hash_pair(work.workspace.value, hash_name(attempt));
    };
    work.stream = key(caller.name);
    if (!caller.resume_after && caller.resumed_attempt.empty()) {
        return;
    }
    work.resumed_stream = key(caller.resumed_attempt);
    if (!caller.resumed_attempt.empty()) {
        work.stream = work.resumed_stream;
    }
    work.software = link_->find_stream(work.resumed_stream).value_or(software_id{});
    work.several_versions = link_->has_several_versions(work.model);
}

void entry_instance::fill_work(relayed_request& request) {
    auto& work = request.work;
    work.id = {.issuer = settings_.id, .issued_in = started_as_, .sequence = ++next_sequence_};
    work.urgency = {std::min<std::uint8_t>(work.urgency.value, tier_count - 1)};
    work.model = {hash_name(request.service)};
    work.profile = hash_name(request.route->name);
    const duration allowed = request.route->timeout;
    const duration requested = request.caller.time_left.value_or(request.route->timeout);
    work.deadline = work.arrival + std::min(allowed, requested);
    if (request.route->latency_objective.count() > 0) {
        work.objective = work.arrival + request.route->latency_objective;
    }
    work.prompt = request.caller.prompt;
    work.max_output = request.caller.max_output;
    work.expected_output = request.caller.expected_output;
    work.blocks = blocks_of(request.caller.parts);
    work.prompt_parts = recognisable_parts(request);
    work.idempotent = config::is_idempotent(*request.route);
    if (config::is_resumable(*request.route)) {
        fill_stream(request);
    }
    work.origin_domain = {hash_name(settings_.failure_domain)};
    if (const auto* service = request.catalogue->find_service(request.service)) {
        request.tokens_per_event = std::max(1U, service->tokens_per_event);
    }
}

} // namespace tarragonspar::gateway
