#include "tarragonspar/http/detail/engine_stream.hpp"

#include <nlohmann/json.hpp>

namespace tarragonspar::http::detail {

namespace {

/// Consumed bytes kept at the front of the buffer before it is compacted.
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

answer_assembler::verdict answer_assembler::judge(engine_event& event) {
    if (event.id != id_) {
        return verdict::foreign;
    }
    if (event.offset > next_) {
        return verdict::gap;
    }
    if (event.done) {
        return event.offset == next_ ? verdict::use : verdict::duplicate;
    }
    if (event.offset + event.tokens <= next_) {
        return verdict::duplicate;
    }
    if (event.offset < next_) {
        // Pieces are whole tokens; one that overlaps can't be cut, so the stream is asked again.
        return verdict::gap;
    }
    next_ += event.tokens;
    return verdict::use;
}

} // namespace tarragonspar::http::detail
