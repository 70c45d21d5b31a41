#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/dispatch/answer.hpp"
#include "tarragonspar/http/exchange.hpp"

/// @brief The callers' API: request and response bodies compatible with OpenAI's API.
namespace tarragonspar::http {

/// @brief The relevant fields of a completion request.
struct completion_request {
    std::string model;
    std::string prompt;          ///< the text whose blocks are hashed for the prefix cache
    std::uint32_t max_tokens{0}; ///< 0: not specified
    bool stream{false};
    bool chat{true};
};

/// @brief Parses the body of a completion request.
/// @return the request, or an error message of one sentence
[[nodiscard]] std::variant<completion_request, std::string> parse_completion(std::string_view body,
                                                                             bool chat);

/// @brief Formats the server-sent event that carries a piece of an answer.
[[nodiscard]] std::string format_piece(const completion_request& request, const std::string& id,
                                       const dispatch::answer_piece& piece);

/// @brief Formats the last events of a streamed answer.
[[nodiscard]] std::string format_stream_end(const completion_request& request,
                                            const std::string& id,
                                            const dispatch::answer_finished& finished);

/// @brief Formats the event that ends a stream whose answer could not be completed.
[[nodiscard]] std::string format_stream_failure(const std::string& id,
                                                const dispatch::answer_finished& finished);

/// @brief Formats a complete answer as one JSON document.
[[nodiscard]] std::string format_completion(const completion_request& request,
                                            const std::string& id, const std::string& text,
                                            const dispatch::answer_finished& finished);

/// @brief Returns a problem document for a request that was not answered.
[[nodiscard]] reply format_problem(const std::string& id,
                                   const dispatch::answer_finished& finished);

/// @brief Returns a problem document for a request that was invalid and therefore not executed.
[[nodiscard]] reply format_rejection(unsigned status, const std::string& detail);

/// @brief Returns a problem document that does not state whether the request was executed.
[[nodiscard]] reply format_error(unsigned status, const std::string& detail);

/// @brief Formats the list of models.
[[nodiscard]] std::string format_models(const std::vector<std::string>& models);

/// Header that states the outcome: `answered`, `not_executed` or `unknown`.
inline constexpr const char* outcome_header = "Tarragon-Outcome";
/// Header that carries the request id, in requests to engines and in responses to callers.
inline constexpr const char* request_id_header = "Tarragon-Request-Id";
inline constexpr const char* profile_header = "Tarragon-Profile";
inline constexpr const char* workspace_header = "Tarragon-Workspace";
inline constexpr const char* idempotency_header = "Idempotency-Key";

} // namespace tarragonspar::http
