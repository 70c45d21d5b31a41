#pragma once

// Servers that break the protocol, each case at a service of its own, and what callers get.

#include <gtest/gtest.h>

#include "deployment_parts.hpp"

namespace tarragonspar::testing {

/// The header by which an answer names the request of these tests.
inline const std::string named = "Attempt-Id: a1\r\n";
inline const std::string signature = "Response-Signature: s\r\n";
inline const std::string own = named + signature;
inline const std::string another = "Attempt-Id: another\r\n" + signature;
inline const std::string declined = "Not-Executed: 1\r\n";
inline const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n";
inline constexpr int last_piece = 4; ///< of each stream

inline std::string answer(const std::string& status, const std::string& headers,
                          const std::string& body = "error text") {
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string pieces(int from, int to) {
    std::string out;
    for (int id = from; id <= to; ++id) {
        out += event_text(id);
    }
    return out;
}

/// Returns the beginning of an event stream.
inline std::string stream(const std::string& events, const std::string& name = own) {
    return "HTTP/1.1 200 OK\r\n" + name +
           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
           (events.empty() ? "" : chunk(events));
}

/// Returns a stream that has neither a length nor chunks and ends with its connection.
inline std::string unframed_stream(const std::string& events) {
    return "HTTP/1.1 200 OK\r\n" + own + "Content-Type: text/event-stream\r\n\r\n" + events;
}

inline const std::string last_chunk = "0\r\n\r\n";

/// What a server writes before it ends the connection.
struct server_answer {
    std::string what;
    std::string bytes;
    bool ends_with_reset{false};
    int continues_to{0}; ///< if not 0: writes the pieces that follow, up to this one
};

inline void write_answer(server_answer answer, const received_request& to,
                         asio::ip::tcp::socket& socket) {
    if (answer.continues_to > 0) {
        const auto after = to.headers.find("Last-Event-Id");
        const auto from = after == to.headers.end() ? 1 : std::stoi(after->second) + 1;
        answer.bytes = stream(pieces(from, answer.continues_to)) + last_chunk;
    }
    write_raw(socket, answer.bytes);
    if (answer.ends_with_reset) {
        reset(socket);
    }
}

/// One request to a route of the given kind.
struct fault_case {
    std::string kind;
    server_answer first;  ///< of the server that gets the request first
    server_answer next;   ///< of any later one
    int resumes_after{0}; ///< id of the event after which the caller resumes; 0: none
};

/// Plays each case at a service with two servers of its own, so that cases don't affect each other.
class fault_table {
public:
    explicit fault_table(std::vector<fault_case> cases)
        : cases_(std::move(cases)), arrivals_(cases_.size()),
          server_("i", [this](const received_request& request, asio::ip::tcp::socket& socket) {
              const auto index = std::stoul(request.start.substr(request.start.find("/c") + 2));
              const auto is_first = arrivals_[index]++ == 0;
              write_answer(is_first ? cases_[index].first : cases_[index].next, request, socket);
          }) {
        auto manifest = nlohmann::json::parse(make_manifest(1));
        std::map<std::string, nlohmann::json> routes;
        for (const auto& route : manifest["routes"]) {
            routes[route["name"]] = route;
        }
        for (std::size_t i = 0; i < cases_.size(); ++i) {
            const auto service = "s" + std::to_string(i);
            auto& route = manifest["routes"].emplace_back(routes.at(cases_[i].kind));
            route["name"] = "c" + std::to_string(i);
            route["path_prefix"] = "/c" + std::to_string(i) + "/";
            route["service"] = service;
            manifest["services"].push_back({{"name", service}, {"max_connections", 50}});
            deployment_.add_server(server_, service, "ready", service + "-a");
            deployment_.add_server(server_, service, "ready", service + "-b");
        }
        deployment_.start_with(manifest.dump());
    }

    [[nodiscard]] platform_deployment::answer play(std::size_t index) const {
        std::map<std::string, std::string> headers;
        if (cases_[index].resumes_after > 0) {
            headers.emplace("Last-Event-Id", std::to_string(cases_[index].resumes_after));
        }
        return deployment_.call_with_headers("POST", "/c" + std::to_string(index) + "/x", "b",
                                             headers);
    }
    [[nodiscard]] int arrivals(std::size_t index) const {
        return arrivals_[index];
    }

private:
    std::vector<fault_case> cases_;
    std::vector<std::atomic<int>> arrivals_;
    scripted_server server_;
    platform_deployment deployment_;
};

struct row {
    server_answer first;
    std::string result; ///< status and body that the caller gets, requests that servers got
};

inline void expect_results(const std::vector<std::string>& kinds, const std::vector<row>& rows) {
    std::vector<fault_case> cases;
    for (const auto& row : rows) {
        for (const auto& kind : kinds) {
            cases.push_back({kind, row.first, {"", answer("200 OK", own, "second")}});
        }
    }
    const fault_table table(cases);
    for (std::size_t i = 0; i < cases.size(); ++i) {
        const auto got = table.play(i);
        const auto body = got.status == 200 ? " " + got.body : "";
        EXPECT_EQ(std::to_string(got.status) + body + ", " + std::to_string(table.arrivals(i)),
                  rows[i / kinds.size()].result)
            << cases[i].kind << ", " << cases[i].first.what;
    }
}

} // namespace tarragonspar::testing
