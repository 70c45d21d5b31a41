#include "tarragonspar/config/document_transfer.hpp"

#include <algorithm>
#include <utility>

#include <zlib.h>

namespace tarragonspar::config {

namespace {

/// Several times the size of the largest document; bounds what a damaged message makes an instance
/// allocate.
constexpr std::uint64_t max_document_bytes = 32ULL * 1024 * 1024;

const Bytef* bytes_of(const std::string& text) {
    return reinterpret_cast<const Bytef*>(text.data());
}

Bytef* bytes_of(std::string& text) {
    return reinterpret_cast<Bytef*>(text.data());
}

} // namespace

packed_document pack(const document& value) {
    packed_document out{.number = value.number,
                        .content_bytes = value.content.size(),
                        .checksum = hash_name(value.content)};
    auto size = ::compressBound(value.content.size());
    out.bytes.resize(size);
    // The buffer has the size that zlib asks for, so this fails only without memory.
    const auto result = ::compress2(bytes_of(out.bytes), &size, bytes_of(value.content),
                                    value.content.size(), Z_BEST_SPEED);
    if (result != Z_OK) {
        throw std::bad_alloc();
    }
    out.bytes.resize(size);
    return out;
}

std::optional<document> unpack(const packed_document& value) {
    if (value.content_bytes > max_document_bytes) {
        return std::nullopt;
    }
    document out{.number = value.number, .content = std::string(value.content_bytes, '\0')};
    auto size = static_cast<uLongf>(value.content_bytes);
    const auto result =
        ::uncompress(bytes_of(out.content), &size, bytes_of(value.bytes), value.bytes.size());
    const auto whole = result == Z_OK && size == value.content_bytes;
    if (!whole || hash_name(out.content) != value.checksum) {
        return std::nullopt;
    }
    return out;
}

// --- sender ---

void document_sender::set_newest(document value) {
    if (value.number <= newest()) {
        return;
    }
    retire_newest();
    unpacked_ = std::move(value);
}

document_number document_sender::newest() const noexcept {
    return std::max(unpacked_.number, newest_.packed.number);
}

void document_sender::retire_newest() {
    unpacked_ = {};
    if (newest_.packed.number.value > 0) {
        older_.push_back(std::move(newest_));
        if (older_.size() > options_.kept_documents) {
            older_.erase(older_.begin());
        }
    }
    newest_ = {};
}

std::optional<document_part> document_sender::part(const document_part_request& request,
                                                   time_point now) {
    if (newest().value == 0) {
        return std::nullopt;
    }
    if (unpacked_.number.value > 0) {
        newest_ = {.packed = pack(std::exchange(unpacked_, {})), .asked_at = now};
    }
    std::erase_if(
        older_, [&](const kept_document& item) { return now - item.asked_at > options_.kept_for; });
    const auto matches = [&](const kept_document& item) {
        return item.packed.number == request.number && item.packed.checksum == request.checksum;
    };
    auto* from = &newest_;
    if (const auto found = std::find_if(older_.begin(), older_.end(), matches);
        found != older_.end()) {
        from = &*found;
    }
    from->asked_at = now;
    const auto& packed = from->packed;
    const auto goes_on = matches(*from) && request.offset < packed.bytes.size();
    const auto offset = goes_on ? request.offset : 0;
    return document_part{.number = packed.number,
                         .content_bytes = packed.content_bytes,
                         .checksum = packed.checksum,
                         .total = packed.bytes.size(),
                         .offset = offset,
                         .bytes = packed.bytes.substr(offset, options_.part_bytes)};
}

// --- receiver ---

document_part_request document_receiver::next() const {
    return {.number = received_.number,
            .checksum = received_.checksum,
            .offset = received_.bytes.size()};
}

std::optional<document_part_request> document_receiver::begin(document_number offered,
                                                              document_number held) {
    if (asking_ || complete_ || offered <= held) {
        return std::nullopt;
    }
    if (received_.number <= held) {
        received_ = {};
    }
    asking_ = true;
    return next();
}

std::optional<document_part_request> document_receiver::receive(std::optional<document_part> part) {
    asking_ = false;
    if (!part || part->total > max_document_bytes || part->bytes.empty()) {
        return std::nullopt;
    }
    if (part->number != received_.number || part->checksum != received_.checksum ||
        part->total != total_) {
        if (part->offset != 0) {
            return std::nullopt;
        }
        received_ = {.number = part->number,
                     .content_bytes = part->content_bytes,
                     .checksum = part->checksum,
                     .bytes = {}};
        total_ = part->total;
    }
    if (part->offset != received_.bytes.size() ||
        received_.bytes.size() + part->bytes.size() > total_) {
        // Begins again: an instance of another version may pack the document differently.
        received_ = {};
        return std::nullopt;
    }
    received_.bytes += part->bytes;
    if (received_.bytes.size() == total_) {
        complete_ = true;
        return std::nullopt;
    }
    asking_ = true;
    return next();
}

std::optional<packed_document> document_receiver::take_complete() {
    if (!std::exchange(complete_, false)) {
        return std::nullopt;
    }
    total_ = 0;
    return std::exchange(received_, {});
}

} // namespace tarragonspar::config
