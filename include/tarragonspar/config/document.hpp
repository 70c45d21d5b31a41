#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "tarragonspar/config/catalogue.hpp"

namespace tarragonspar::config {

/// @brief A published document, stored unchanged as the operator sent it.
struct document {
    document_number number; ///< 0: nothing has been published
    std::string content;
    friend bool operator==(const document&, const document&) = default;
};

/// @brief Result of publishing a document.
struct document_answer {
    document_number in_force; ///< the highest number published so far
    bool accepted{false};     ///< whether this document became the one in force
    friend bool operator==(const document_answer&, const document_answer&) = default;
};

/// @brief Replaces the document in force if the published one has a higher number.
///
/// A document with the number in force changes nothing, even with other content, so a resend is
/// harmless.
[[nodiscard]] document_answer apply(document& target, const document& published);

/// @brief JSON forms, for the replicated log.
void to_json(nlohmann::json& out, const document& value);
void from_json(const nlohmann::json& in, document& value);
void to_json(nlohmann::json& out, const document_answer& value);
void from_json(const nlohmann::json& in, document_answer& value);

} // namespace tarragonspar::config
