#include "tarragonspar/http/detail/engine_stream.hpp"

#include <nlohmann/json.hpp>

namespace tarragonspar::http::detail {

namespace {

/// Number of consumed bytes at the front of the buffer above which it is compacted.
constexpr std::size_t compact_above = 16 * 1024;

} // namespace

std::optional<engine_event> parse_engine_event(std::string_view data) {
    const auto json = nlohmann::json::parse(data, nullptr, false);
    if (!json.is_object() || !json.contains("id") || !json.contains("offset")) {
        return std::nullopt;
    }
    try {
        engine_event event;
        event.id = json.at("id").get<std::string>();
        event.offset = json.at("offset").get<std::uint64_t>();
        event.tokens = json.value("tokens", 0U);
        event.text = json.value("text", std::string{});
        event.done = json.value("done", false);
        event.finish_reason = json.value("finish_reason", std::string{});
        event.prompt = {json.value("prompt_tokens", 0U)};
        event.has_cached = json.contains("cached_tokens");
        event.cached = {json.value("cached_tokens", 0U)};
        return event;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::optional<std::string> event_splitter::next() {
    while (true) {
        const auto end = buffer_.find("\n\n", begin_);
        if (end == std::string::npos) {
            if (begin_ > compact_above) {
                buffer_.erase(0, begin_);
                begin_ = 0;
            }
            return std::nullopt;
        }
        const auto event = std::string_view(buffer_).substr(begin_, end - begin_);
        begin_ = end + 2;
        constexpr std::string_view prefix = "data: ";
        if (event.substr(0, prefix.size()) == prefix) {
            return std::string(event.substr(prefix.size()));
        }
    }
}

answer_assembler::disposition answer_assembler::accept(engine_event& event) {
    if (event.id != id_) {
        return disposition::foreign;
    }
    if (event.offset > next_) {
        return disposition::gap;
    }
    if (event.done) {
        return event.offset == next_ ? disposition::use : disposition::duplicate;
    }
    if (event.offset + event.tokens <= next_) {
        return disposition::duplicate;
    }
    if (event.offset < next_) {
        // A piece consists of entire tokens and can't be cut if it overlaps, so the stream is
        // resumed.
        return disposition::gap;
    }
    next_ += event.tokens;
    return disposition::use;
}

} // namespace tarragonspar::http::detail
