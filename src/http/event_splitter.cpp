#include "tarragonspar/http/event_splitter.hpp"

#include <charconv>

namespace tarragonspar::http {

namespace {

/// Returns the end of the first event, which is after an empty line (LF or CRLF), or `npos`.
/// @param line  offset of a line of the event; advanced to its last line if the event is incomplete
std::size_t find_event_end(std::string_view text, std::size_t& line) {
    while (line < text.size()) {
        const auto end = text.find('\n', line);
        if (end == std::string_view::npos) {
            break;
        }
        const auto empty = end == line || (end == line + 1 && text[line] == '\r');
        if (empty) {
            return end + 1;
        }
        line = end + 1;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> find_id(std::string_view event) {
    constexpr std::string_view field = "id:";
    std::size_t line = 0;
    std::optional<std::uint64_t> id;
    while (line < event.size()) {
        auto end = event.find('\n', line);
        end = end == std::string_view::npos ? event.size() : end;
        auto text = event.substr(line, end - line);
        line = end + 1;
        if (!text.starts_with(field)) {
            continue;
        }
        text.remove_prefix(field.size());
        while (!text.empty() && text.front() == ' ') {
            text.remove_prefix(1);
        }
        std::uint64_t value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        if (parsed.ec == std::errc{}) {
            id = value;
        }
    }
    return id;
}

bool has_data_field(std::string_view event) {
    constexpr std::string_view field = "data:";
    std::size_t line = 0;
    while (line < event.size()) {
        if (event.substr(line).starts_with(field)) {
            return true;
        }
        const auto end = event.find('\n', line);
        if (end == std::string_view::npos) {
            break;
        }
        line = end + 1;
    }
    return false;
}

} // namespace

std::vector<stream_event> event_splitter::append(std::string_view bytes) {
    pending_.append(bytes);
    std::vector<stream_event> events;
    std::string_view rest = pending_;
    while (true) {
        const auto end = find_event_end(rest, line_);
        if (end == std::string_view::npos) {
            break;
        }
        const auto event = rest.substr(0, end);
        events.push_back(
            {.bytes = std::string(event), .id = find_id(event), .has_data = has_data_field(event)});
        rest.remove_prefix(end);
        line_ = 0;
    }
    pending_.erase(0, pending_.size() - rest.size());
    return events;
}

} // namespace tarragonspar::http
