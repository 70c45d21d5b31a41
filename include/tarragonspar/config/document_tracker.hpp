#pragma once

#include <cstdint>
#include <optional>

#include "tarragonspar/config/document.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::config {

/// @brief States that `number` was the newest accepted document at some moment.
struct newest_document {
    document_number number;
    duration age{}; ///< time since that moment
};

/// Kind of instance that sent a document.
enum class document_source : std::uint8_t {
    control_instance, ///< has it from its log, which may end before the newest document
    entry_instance,   ///< has it in force
};

/// @brief What another instance answered about documents.
struct document_update {
    std::optional<document> content;       ///< set if newer than the one in force here
    std::optional<newest_document> newest; ///< set if the sender knows
    document_source source{document_source::control_instance};
    time_point requested; ///< when this instance asked; the answer is not older
};

/// @brief Limits of a `document_tracker`.
struct document_tracker_options {
    /// Age up to which a confirmation counts. It is the time within which users expect an accepted
    /// document to be in force: a document confirmed within it is the newest that they can rely on.
    duration max_confirmation_age{std::chrono::seconds{2}};
    /// Time after a start from which an unconfirmed document of an entry instance is put in force:
    /// that instance serves by it already. Early requests are held for longer than this.
    duration peer_document_wait{std::chrono::seconds{1}};
    /// Time after a start from which an unconfirmed document of a control instance is put in force.
    /// Users allow an unstable control group this long to bring a document into force; after it,
    /// the failure domain is cut off and serves what it can.
    duration control_document_wait{std::chrono::seconds{5}};
};

/// @brief Decides which received documents an entry instance puts in force, and whether the one in
/// force may be relied on to refuse requests for good.
struct document_tracker {
    document_tracker_options options;
    time_point started;
    document in_force;                      ///< number 0: none
    std::optional<time_point> confirmed_at; ///< when `in_force` was known to be the newest
    document candidate;                     ///< newest one that is not confirmed; number 0: none
    time_point candidate_due{time_point::max()};
};

/// @brief Handles the answer of another instance.
/// @return the document to be put in force, if any
[[nodiscard]] std::optional<document> receive(document_tracker& tracker,
                                              const document_update& update, time_point now);

/// @brief Returns the unconfirmed document if no other came in force within the wait for it.
[[nodiscard]] std::optional<document> due_candidate(const document_tracker& tracker,
                                                    time_point now);

/// @brief Records that a document is in force.
void set_in_force(document_tracker& tracker, document value);

/// @brief Records the sender's knowledge of the newest document; call it after the document of the
/// same update was put in force.
void confirm(document_tracker& tracker, const document_update& update);

/// @brief Whether the document in force was the newest recently enough to refuse requests by it.
[[nodiscard]] bool is_confirmed(const document_tracker& tracker, time_point now);

/// @brief Returns what this instance can tell others about the newest document.
[[nodiscard]] std::optional<newest_document> newest_known(const document_tracker& tracker,
                                                          time_point now);

} // namespace tarragonspar::config
