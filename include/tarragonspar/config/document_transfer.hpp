#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tarragonspar/config/document_tracker.hpp"
#include "tarragonspar/types/ids.hpp"

namespace tarragonspar::config {

/// @brief A document in the compressed form in which instances send it to each other.
struct packed_document {
    document_number number;
    std::uint64_t content_bytes{}; ///< size of the content
    std::uint64_t checksum{};      ///< of the content
    std::string bytes;
};

/// @brief Compresses a document.
[[nodiscard]] packed_document pack(const document& value);

/// @brief Returns the document, or nothing if the bytes are damaged.
[[nodiscard]] std::optional<document> unpack(const packed_document& value);

/// @brief Asks for a part of a document.
struct document_part_request {
    document_number number; ///< the document of which parts are held; 0: the newest one
    std::uint64_t checksum{};
    std::uint64_t offset{}; ///< in the packed bytes
};

/// @brief A part of a packed document.
struct document_part {
    document_number number;
    std::uint64_t content_bytes{};
    std::uint64_t checksum{};
    std::uint64_t total{}; ///< size of the packed bytes
    std::uint64_t offset{};
    std::string bytes;
};

/// @brief Limits of a `document_sender`.
struct document_sender_options {
    /// Bytes of a part: 26 ms of a link with 10 Mbit/s, so that grants and other answers on the
    /// same connection are not held up.
    std::size_t part_bytes{32UL * 1024};
    /// Time for which an older document is still sent to instances that hold parts of it. Without
    /// it, an instance on a slow link would begin again with each new document and complete none.
    duration kept_for{std::chrono::seconds{2}};
    /// Number of older documents that are kept at most.
    std::size_t kept_documents{4};
};

/// @brief Sends the newest document of this instance to others, part by part.
class document_sender {
public:
    explicit document_sender(document_sender_options options = {}) : options_(options) {}

    /// @brief Sets the newest document. It is packed when it is first asked for.
    void set_newest(document value);

    /// @brief Returns the number of the newest document; 0: none.
    [[nodiscard]] document_number newest() const noexcept;

    /// @brief Returns a part of the document that was asked for, or the first part of the newest
    /// one if the former is not kept; nothing if there is none.
    [[nodiscard]] std::optional<document_part> part(const document_part_request& request,
                                                    time_point now);

private:
    struct kept_document {
        packed_document packed;
        time_point asked_at;
    };
    void retire_newest();

    document_sender_options options_;
    document unpacked_; ///< the newest document until it is first asked for; number 0: none
    kept_document newest_;
    std::vector<kept_document> older_;
};

/// @brief Receives one document at a time, part by part.
///
/// One part is asked for at a time. Parts that were received stay when a call fails and when
/// another instance goes on with the same document, so each call that is answered makes progress.
class document_receiver {
public:
    /// @brief Notes that an instance holds a newer document than this one.
    /// @return the part to ask that instance for; nothing while a call is under way
    [[nodiscard]] std::optional<document_part_request> begin(document_number offered,
                                                             document_number held);

    /// @brief Handles the answer to the call under way.
    /// @param part  nothing: the call failed
    /// @return the next part to ask the same instance for; nothing if the document is complete or
    ///         the call failed
    [[nodiscard]] std::optional<document_part_request> receive(std::optional<document_part> part);

    /// @brief Returns the document that has become complete, once.
    [[nodiscard]] std::optional<packed_document> take_complete();

private:
    [[nodiscard]] document_part_request next() const;

    packed_document received_; ///< number 0: none
    std::uint64_t total_{};    ///< size of its packed bytes
    bool asking_{false};
    bool complete_{false};
};

} // namespace tarragonspar::config
