#include <algorithm>
#include <future>

#include <boost/asio/read_until.hpp>
#include <gtest/gtest.h>

#include "deployment_parts.hpp"

// Servers of several software versions in one service: a stream goes on at the version that began
// it, within one answer and over a caller's attempts, also after instances were lost.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

constexpr int last_piece = 4; ///< of each stream

std::string versioned_event(const std::string& version, int id) {
    return "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
}

/// Sends the first event and resets the connection, or what follows a caller's last event.
scripted_server::script stream_script(const std::string& version) {
    return [version](const received_request& request, asio::ip::tcp::socket& socket) {
        const auto found = request.headers.find("Last-Event-Id");
        write_raw(socket, stream_head(request, "sig"));
        if (found == request.headers.end()) {
            write_raw(socket, chunk(versioned_event(version, 1)));
            // The event must have been read before the reset discards it.
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            reset(socket);
            return;
        }
        std::string events;
        for (int id = std::stoi(found->second) + 1; id <= last_piece; ++id) {
            events += versioned_event(version, id);
        }
        write_raw(socket, chunk(events) + "0\r\n\r\n");
    };
}

/// Answers the first attempt with a script, and a later one with what follows its last event.
scripted_server::script begin_with(const std::string& version,
                                   const std::function<void(asio::ip::tcp::socket&)>& after_first) {
    return [version, after_first, resume = stream_script(version)](const received_request& request,
                                                                   asio::ip::tcp::socket& socket) {
        if (request.headers.contains("Last-Event-Id")) {
            resume(request, socket);
            return;
        }
        write_raw(socket, stream_head(request, "sig") + chunk(versioned_event(version, 1)));
        after_first(socket);
    };
}

/// Sends events until the connection closes.
scripted_server::script endless_script(const std::string& version) {
    return begin_with(version, [version](asio::ip::tcp::socket& socket) {
        boost::system::error_code error;
        for (int id = 2; !error; ++id) {
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
            asio::write(socket, asio::buffer(chunk(versioned_event(version, id))), error);
        }
    });
}

/// Sends nothing after the first event until the connection closes.
scripted_server::script quiet_script(const std::string& version) {
    return begin_with(version, [](asio::ip::tcp::socket& socket) {
        char byte{};
        boost::system::error_code error;
        socket.read_some(asio::buffer(&byte, 1), error);
    });
}

bool has_events_of(const std::string& body, const std::string& version) {
    return body.find("data: " + version + "\n") != std::string::npos;
}

/// A manifest whose resumable streams are sent to one server for each attempt of a caller.
std::string manifest_with_attempts(int attempts) {
    auto manifest = nlohmann::json::parse(make_manifest(1));
    for (auto& route : manifest["routes"]) {
        if (route["name"] == "resumable") {
            route["max_attempts"] = attempts;
        }
    }
    return manifest.dump();
}

/// Two servers of each of two versions.
struct two_versions {
    using script_of = scripted_server::script (*)(const std::string& version);
    script_of script{stream_script};
    scripted_server old_one{"i-1", script("v1")};
    scripted_server old_two{"i-2", script("v1")};
    scripted_server new_one{"i-3", script("v2")};
    scripted_server new_two{"i-4", script("v2")};

    void add_to(platform_deployment& d) const {
        d.add_server(old_one, "s", "ready", {}, 4, "v1");
        d.add_server(old_two, "s", "ready", {}, 4, "v1");
        d.add_server(new_one, "s", "ready", {}, 4, "v2");
        d.add_server(new_two, "s", "ready", {}, 4, "v2");
    }
    /// Number of requests that reached any of them.
    [[nodiscard]] std::size_t arrivals() const {
        return old_one.seen().size() + old_two.seen().size() + new_one.seen().size() +
               new_two.seen().size();
    }
};

std::map<std::string, std::string> taking_up(const std::string& attempt, const std::string& began) {
    return {{"Attempt-Id", attempt}, {"Resumes", began}, {"Last-Event-Id", "1"}};
}

/// Begins a stream that its server breaks off.
std::string begin_stream(const platform_deployment& d, const std::string& attempt,
                         std::size_t entry = 0) {
    return d.call("POST", "/resumable/x", "b", {{"Attempt-Id", attempt}}, entry).body;
}

/// Takes up streams and expects each to go on at the version that began it.
/// @param began  the first events, by attempt
void expect_taken_up(const platform_deployment& d, const std::map<std::string, std::string>& began,
                     std::size_t entry, const std::string& suffix = "-again") {
    for (const auto& [attempt, body] : began) {
        const auto rest =
            d.call("POST", "/resumable/x", "b", taking_up(attempt + suffix, attempt), entry);
        EXPECT_EQ(rest.status, 200U) << attempt;
        const std::string version = has_events_of(body, "v1") ? "v1" : "v2";
        EXPECT_EQ(rest.body, versioned_event(version, 2) + versioned_event(version, 3) +
                                 versioned_event(version, 4))
            << attempt;
    }
}

/// Begins streams at an entry instance until servers of both versions have begun some.
std::map<std::string, std::string> begin_streams(const platform_deployment& d,
                                                 std::size_t entry = 0) {
    std::map<std::string, std::string> began;
    for (int i = 0; i < 12; ++i) {
        const auto attempt = "a" + std::to_string(entry) + "-" + std::to_string(i);
        const auto body = begin_stream(d, attempt, entry);
        if (!body.empty()) {
            began[attempt] = body;
        }
    }
    EXPECT_GE(began.size(), 4U);
    return began;
}

/// A caller that reads the first event of a stream and no further.
class first_event_caller {
public:
    first_event_caller(const platform_deployment& d, const std::string& attempt,
                       std::size_t entry = 0) {
        socket_.connect(d.api_endpoint(entry));
        const timeval limit{.tv_sec = 30, .tv_usec = 0};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        write_raw(socket_,
                  "POST /resumable/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt +
                      "\r\nKey: k\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n");
        boost::system::error_code ignored;
        asio::read_until(socket_, asio::dynamic_buffer(received_), "\n\n", ignored);
    }
    [[nodiscard]] const std::string& received() const {
        return received_;
    }
    void leave() {
        reset(socket_);
    }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_{context_};
    std::string received_;
};

/// Waits until both entry instances have found a leader: each takes up a stream that began at the
/// other one, which only the leader can tell it.
bool wait_for_leader(const platform_deployment& d) {
    int tries = 0;
    return wait_until([&] {
        ++tries;
        for (const std::size_t entry : {0U, 1U}) {
            const auto attempt = "probe" + std::to_string(entry) + "-" + std::to_string(tries);
            first_event_caller caller(d, attempt, 1 - entry);
            caller.leave();
            if (d.call("POST", "/resumable/x", "b", taking_up(attempt + "-again", attempt), entry)
                    .status != 200) {
                return false;
            }
        }
        return true;
    });
}

std::size_t count_of(const std::map<std::string, std::string>& began, const std::string& version) {
    return static_cast<std::size_t>(
        std::count_if(began.begin(), began.end(),
                      [&](const auto& item) { return has_events_of(item.second, version); }));
}

/// Runs streams at once, of which each must be one version's from its first event.
/// @return the answers, by attempt
std::map<std::string, platform_deployment::answer> run_streams(const platform_deployment& d,
                                                               int count) {
    std::map<std::string, std::future<platform_deployment::answer>> pending;
    for (int i = 0; i < count; ++i) {
        const auto attempt = "a" + std::to_string(i);
        pending[attempt] = std::async(std::launch::async, [&d, attempt] {
            return d.call_with_headers("POST", "/resumable/x", "b", {{"Attempt-Id", attempt}});
        });
    }
    std::map<std::string, platform_deployment::answer> answers;
    for (auto& [attempt, answer] : pending) {
        answers[attempt] = answer.get();
        const auto& body = answers[attempt].body;
        const std::string version = has_events_of(body, "v1") ? "v1" : "v2";
        std::string whole;
        for (int id = 1; id <= last_piece; ++id) {
            whole += versioned_event(version, id);
        }
        EXPECT_TRUE(body.starts_with(versioned_event(version, 1))) << attempt << ": " << body;
        EXPECT_TRUE(whole.starts_with(body)) << attempt << ": " << body;
        EXPECT_EQ(answers[attempt].complete, body == whole) << attempt << ": " << body;
    }
    return answers;
}

} // namespace

// ORDER: within one answer the instance went on at a server of another version.
TEST(Deployment, AStreamIsContinuedAtItsSoftwareVersion) {
    const two_versions servers;
    platform_deployment d;
    servers.add_to(d);
    d.start_with(manifest_with_attempts(3));
    int continued = 0;
    for (int i = 0; i < 12; ++i) {
        const auto answer = d.call_with_headers("POST", "/resumable/x", "b",
                                                {{"Attempt-Id", "a" + std::to_string(i)}});
        EXPECT_NE(has_events_of(answer.body, "v1"), has_events_of(answer.body, "v2"));
        continued += answer.complete ? 1 : 0;
    }
    EXPECT_GE(continued, 2) << "as many as the retry allowance permits";
}

TEST(Deployment, AStreamIsAbortedIfItsSoftwareVersionHasNoOtherServer) {
    const scripted_server old_one(
        "i-1", [](const received_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig") + chunk(versioned_event("v1", 1)));
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
            reset(socket);
        });
    const scripted_server new_one("i-2", stream_script("v2"));
    platform_deployment d;
    d.add_server(old_one, "s", "ready", {}, 4, "v1");
    d.add_server(new_one, "s", "draining", {}, 4, "v2");
    d.start_with(manifest_with_attempts(2));
    const auto answer = d.call_with_headers("POST", "/resumable/x", "b");
    EXPECT_FALSE(answer.complete);
    EXPECT_FALSE(has_events_of(answer.body, "v2"));
    EXPECT_TRUE(new_one.seen().empty());
}

// ORDER: a caller came back at another instance, which sent its stream to another version.
TEST(Deployment, AStreamIsTakenUpAtItsVersionAfterTheInstanceIsKilled) {
    const two_versions servers;
    platform_deployment d(1, 2);
    servers.add_to(d);
    d.start_with(manifest_with_attempts(1));
    ASSERT_TRUE(wait_until([&] { return d.ready(1).status == 200; }));
    const auto began = begin_streams(d);
    d.stop_entry(0);
    expect_taken_up(d, began, 1);
}

TEST(Deployment, AStreamIsTakenUpAtItsVersionWhereItBegan) {
    const two_versions servers;
    platform_deployment d;
    servers.add_to(d);
    d.start_with(manifest_with_attempts(1));
    expect_taken_up(d, begin_streams(d), 0);
}

// A caller may break off again: it still names the attempt that brought the first event.
TEST(Deployment, AStreamIsTakenUpAgainAtItsVersion) {
    const two_versions servers;
    platform_deployment d(1, 2);
    servers.add_to(d);
    d.start_with(manifest_with_attempts(1));
    ASSERT_TRUE(wait_until([&] { return d.ready(1).status == 200; }));
    const auto began = begin_streams(d);
    expect_taken_up(d, began, 1);
    expect_taken_up(d, began, 0, "-third");
}

TEST(Deployment, AStreamIsTakenUpAtItsVersionAfterTheLeaderIsLost) {
    const two_versions servers;
    platform_deployment d(3, 2);
    servers.add_to(d);
    d.start_with(manifest_with_attempts(1));
    ASSERT_TRUE(wait_until([&] { return d.ready(1).status == 200; }));
    const auto began = begin_streams(d);
    d.stop_control(d.find_leader());
    // A new leader grants at the other instance once that one takes up a stream.
    const auto& [first, body] = *began.begin();
    int tries = 0;
    ASSERT_TRUE(wait_until([&] {
        const auto attempt = first + "-try" + std::to_string(++tries);
        const auto got = d.call("POST", "/resumable/x", "b", taking_up(attempt, first), 1);
        const std::string other = has_events_of(body, "v1") ? "v2" : "v1";
        EXPECT_FALSE(has_events_of(got.body, other)) << "also while there is no leader";
        return got.status == 200;
    }));
    d.stop_entry(0);
    expect_taken_up(d, began, 1);
}

TEST(Deployment, AStreamThatNobodyKnowsIsRefusedWhileVersionsServeSideBySide) {
    const two_versions servers;
    platform_deployment d;
    servers.add_to(d);
    d.start_with(make_manifest(1));
    const auto answer =
        d.call_with_headers("POST", "/resumable/x", "b", taking_up("a2", "never-seen"));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_TRUE(answer.headers.contains("Retry-After"));
    for (const auto* server :
         {&servers.old_one, &servers.old_two, &servers.new_one, &servers.new_two}) {
        EXPECT_TRUE(server->seen().empty());
    }
    // Neither named nor known.
    const auto unnamed = d.call_with_headers("POST", "/resumable/x", "b",
                                             {{"Attempt-Id", "a3"}, {"Last-Event-Id", "1"}});
    EXPECT_EQ(unnamed.status, 503U);
}

TEST(Deployment, AStreamThatNobodyKnowsIsTakenUpWhileOneVersionServes) {
    const scripted_server one("i-1", stream_script("v1"));
    const scripted_server two("i-2", stream_script("v1"));
    platform_deployment d;
    d.add_server(one, "s", "ready", {}, 4, "v1");
    d.add_server(two, "s", "ready", {}, 4, "v1");
    d.start_with(make_manifest(1));
    const auto answer =
        d.call_with_headers("POST", "/resumable/x", "b", taking_up("a2", "never-seen"));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.complete);
}

TEST(Deployment, AStreamIsRefusedAfterItsVersionsLastServerIsGone) {
    const two_versions servers;
    platform_deployment d;
    servers.add_to(d);
    d.start_with(manifest_with_attempts(1));
    const auto began = begin_streams(d);
    d.remove_server(servers.old_one);
    d.remove_server(servers.old_two);
    for (const auto& [attempt, body] : began) {
        if (!has_events_of(body, "v1")) {
            continue;
        }
        int tries = 0;
        EXPECT_TRUE(wait_until([&] {
            const auto again = attempt + "-" + std::to_string(++tries);
            const auto got = d.call("POST", "/resumable/x", "b", taking_up(again, attempt));
            EXPECT_FALSE(has_events_of(got.body, "v2"));
            return got.status == 503;
        })) << "once the list shows it";
    }
}

// Callers whose connection is reset come back elsewhere, perhaps before the first instance notices.
TEST(Deployment, AStreamIsTakenUpAtItsVersionAfterItsCallersConnectionIsReset) {
    const two_versions servers{.script = endless_script};
    platform_deployment d(1, 2);
    servers.add_to(d);
    d.start_with(manifest_with_attempts(3));
    ASSERT_TRUE(wait_for_leader(d));
    std::map<std::string, std::string> began;
    std::map<std::string, first_event_caller> callers;
    // More than the servers of one version have places for.
    for (int i = 0; i < 12; ++i) {
        const auto attempt = "a" + std::to_string(i);
        began[attempt] = callers.try_emplace(attempt, d, attempt).first->second.received();
    }
    ASSERT_EQ(count_of(began, "v1") + count_of(began, "v2"), began.size());
    ASSERT_GE(count_of(began, "v1"), 2U);
    ASSERT_GE(count_of(began, "v2"), 2U);
    for (const auto& [attempt, body] : began) {
        callers.at(attempt).leave();
        expect_taken_up(d, {{attempt, body}}, 1);
    }
}

TEST(Deployment, AStreamIsRefusedByAnInstanceThatIsCutOffUnlessItBeganThere) {
    const two_versions servers;
    platform_deployment d(3, 2);
    servers.add_to(d);
    d.start_with(manifest_with_attempts(1));
    ASSERT_TRUE(wait_until([&] { return d.ready(1).status == 200; }));
    const auto began = begin_streams(d, 1);
    for (std::size_t i = 0; i < 3; ++i) {
        d.stop_control(i);
    }
    const auto before = servers.arrivals();
    for (const auto& [attempt, body] : began) {
        const auto refused = d.call_with_headers("POST", "/resumable/x", "b",
                                                 taking_up(attempt + "-elsewhere", attempt));
        EXPECT_EQ(refused.status, 503U) << attempt;
        EXPECT_TRUE(refused.headers.contains("Retry-After")) << attempt;
        EXPECT_FALSE(has_events_of(refused.body, "v1") || has_events_of(refused.body, "v2"));
    }
    EXPECT_EQ(servers.arrivals(), before);
    expect_taken_up(d, began, 1);
    const auto begun_alone = begin_streams(d, 0);
    expect_taken_up(d, begun_alone, 0);
    for (const auto& [attempt, body] : begun_alone) {
        const auto refused =
            d.call("POST", "/resumable/x", "b", taking_up(attempt + "-elsewhere", attempt), 1);
        EXPECT_EQ(refused.status, 503U) << attempt;
    }
}

TEST(Deployment, AStalledStreamIsMovedToAServerOfItsVersion) {
    const two_versions servers{.script = quiet_script};
    platform_deployment d(1, 2);
    servers.add_to(d);
    d.start_with(manifest_with_attempts(3));
    ASSERT_TRUE(wait_for_leader(d));
    for (const auto& [attempt, answer] : run_streams(d, 4)) {
        EXPECT_TRUE(answer.complete) << attempt;
    }
}

TEST(Deployment, AStalledStreamIsNotMovedToAnotherVersion) {
    const scripted_server old_one("i-1", quiet_script("v1"));
    const scripted_server new_one("i-2", quiet_script("v2"));
    platform_deployment d(1, 2);
    d.add_server(old_one, "s", "ready", {}, 4, "v1");
    d.add_server(new_one, "s", "ready", {}, 4, "v2");
    d.start_with(manifest_with_attempts(3));
    ASSERT_TRUE(wait_for_leader(d));
    for (const auto& [attempt, answer] : run_streams(d, 2)) {
        const auto& other = has_events_of(answer.body, "v1") ? new_one : old_one;
        for (const auto& request : other.seen()) {
            EXPECT_NE(request.headers.at("Attempt-Id"), attempt);
        }
    }
}
