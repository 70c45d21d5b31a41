#include "tarragonspar/http/completion_api.hpp"

#include <nlohmann/json.hpp>

namespace tarragonspar::http {

namespace {

using nlohmann::json;

std::string text_of(const json& content) {
    if (content.is_string()) {
        return content.get<std::string>();
    }
    std::string text;
    if (!content.is_array()) {
        return text;
    }
    for (const auto& part : content) {
        if (part.is_object() && part.value("type", std::string{}) == "text") {
            text += part.value("text", std::string{});
        }
    }
    return text;
}

std::string chat_prompt(const json& messages) {
    std::string prompt;
    for (const auto& message : messages) {
        prompt += "<" + message.value("role", std::string("user")) + ">\n";
        prompt += text_of(message.value("content", json()));
        prompt += '\n';
    }
    return prompt;
}

std::string read_prompt(const json& body, bool chat, std::string& problem) {
    if (chat) {
        const auto found = body.find("messages");
        if (found == body.end() || !found->is_array() || found->empty()) {
            problem = "messages must be a list with at least one message";
            return {};
        }
        for (const auto& message : *found) {
            if (!message.is_object()) {
                problem = "each message must be an object";
                return {};
            }
        }
        return chat_prompt(*found);
    }
    const auto found = body.find("prompt");
    if (found == body.end() || !found->is_string()) {
        problem = "prompt must be a string";
        return {};
    }
    return found->get<std::string>();
}

json usage_of(const dispatch::answer_finished& finished) {
    return {{"prompt_tokens", finished.prompt.value},
            {"completion_tokens", finished.generated.value},
            {"total_tokens", finished.prompt.value + finished.generated.value},
            {"prompt_tokens_details", {{"cached_tokens", finished.cached.value}}}};
}

std::string finish_reason_of(const dispatch::answer_finished& finished) {
    return finished.finish_reason.empty() ? "stop" : finished.finish_reason;
}

json envelope(const completion_request& request, const std::string& id, bool piece) {
    const auto* object = !request.chat ? "text_completion"
                         : piece       ? "chat.completion.chunk"
                                       : "chat.completion";
    return {{"id", id}, {"object", object}, {"model", request.model}};
}

std::string as_event(const json& data) {
    return "data: " + data.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

unsigned status_of(const dispatch::answer_finished& finished) {
    if (finished.result == outcome::unknown) {
        return 502;
    }
    switch (finished.why) {
    case reason::overloaded:
    case reason::workspace_limit:
        return 429;
    case reason::deadline_passed:
        return 504;
    default:
        return 503;
    }
}

} // namespace

std::variant<completion_request, std::string> parse_completion(std::string_view body, bool chat) {
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return std::string("the body must be a JSON object");
    }
    try {
        completion_request request;
        std::string problem;
        request.chat = chat;
        request.model = parsed.value("model", std::string{});
        request.stream = parsed.value("stream", false);
        request.prompt = read_prompt(parsed, chat, problem);
        const auto limit =
            parsed.value("max_tokens", parsed.value("max_completion_tokens", std::int64_t{0}));
        if (!problem.empty()) {
            return problem;
        }
        if (request.model.empty()) {
            return std::string("model must be the name of a model");
        }
        if (limit < 0 || limit > UINT32_MAX) {
            return std::string("max_tokens must not be negative");
        }
        request.max_tokens = static_cast<std::uint32_t>(limit);
        return request;
    } catch (const json::exception& error) {
        return std::string("a field has the wrong type: ") + error.what();
    }
}

std::string format_piece(const completion_request& request, const std::string& id,
                         const dispatch::answer_piece& piece) {
    auto data = envelope(request, id, true);
    if (request.chat) {
        data["choices"] = json::array(
            {{{"index", 0}, {"delta", {{"content", piece.text}}}, {"finish_reason", nullptr}}});
    } else {
        data["choices"] =
            json::array({{{"index", 0}, {"text", piece.text}, {"finish_reason", nullptr}}});
    }
    return as_event(data);
}

std::string format_stream_end(const completion_request& request, const std::string& id,
                              const dispatch::answer_finished& finished) {
    auto data = envelope(request, id, true);
    json choice{{"index", 0}, {"finish_reason", finish_reason_of(finished)}};
    if (request.chat) {
        choice["delta"] = json::object();
    } else {
        choice["text"] = "";
    }
    data["choices"] = json::array({choice});
    data["usage"] = usage_of(finished);
    return as_event(data) + "data: [DONE]\n\n";
}

std::string format_stream_failure(const std::string& id,
                                  const dispatch::answer_finished& finished) {
    return as_event({{"error",
                      {{"message", "the answer could not be completed"},
                       {"type", to_string(finished.why)},
                       {"outcome", to_string(finished.result)},
                       {"request_id", id}}}});
}

std::string format_completion(const completion_request& request, const std::string& id,
                              const std::string& text, const dispatch::answer_finished& finished) {
    auto data = envelope(request, id, false);
    json choice{{"index", 0}, {"finish_reason", finish_reason_of(finished)}};
    if (request.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    data["choices"] = json::array({choice});
    data["usage"] = usage_of(finished);
    return data.dump(-1, ' ', false, json::error_handler_t::replace);
}

reply format_problem(const std::string& id, const dispatch::answer_finished& finished) {
    reply out;
    out.status = status_of(finished);
    out.content_type = "application/problem+json";
    const auto outcome_name = std::string(to_string(finished.result));
    out.headers.emplace_back(outcome_header, outcome_name);
    out.headers.emplace_back(request_id_header, id);
    json body{{"type", "about:blank"},
              {"title", finished.result == outcome::not_executed
                            ? "the request was not executed"
                            : "it is not known whether the request was executed"},
              {"status", out.status},
              {"outcome", outcome_name},
              {"reason", to_string(finished.why)},
              {"request_id", id}};
    if (finished.result == outcome::not_executed) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(finished.retry_after).count();
        const auto wait_seconds = std::max<std::int64_t>(1, seconds);
        out.headers.emplace_back("Retry-After", std::to_string(wait_seconds));
        body["retry_after_seconds"] = wait_seconds;
    }
    out.body = body.dump();
    return out;
}

reply format_error(unsigned status, const std::string& detail) {
    return {.status = status,
            .content_type = "application/problem+json",
            .headers = {},
            .body = json{{"type", "about:blank"},
                         {"title", "the request could not be served"},
                         {"status", status},
                         {"detail", detail}}
                        .dump(-1, ' ', false, json::error_handler_t::replace)};
}

reply format_rejection(unsigned status, const std::string& detail) {
    auto out = format_error(status, detail);
    out.headers.emplace_back(outcome_header, to_string(outcome::not_executed));
    return out;
}

std::string format_models(const std::vector<std::string>& models) {
    json list = json::array();
    for (const auto& name : models) {
        list.push_back({{"id", name}, {"object", "model"}, {"owned_by", "tarragonspar"}});
    }
    return json{{"object", "list"}, {"data", list}}.dump();
}

} // namespace tarragonspar::http
