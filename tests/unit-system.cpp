// Complete instances and fake servers in one process: the outcomes reported to callers are compared
// with the servers' journals.

#include <gtest/gtest.h>

#include "system_fixture.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

const std::map<std::string, std::string> fast{{"Tarragon-Profile", "fast"}};

std::map<std::string, std::string> booking(const std::string& key) {
    return {{"Tarragon-Profile", "booking"}, {"Idempotency-Key", key}};
}

int total_runs(const running_fake& server) {
    int total = 0;
    for (const auto& [id, count] : server.runs()) {
        total += count;
    }
    return total;
}

void expect_each_ran_once(const running_fake& server) {
    for (const auto& [id, count] : server.runs()) {
        EXPECT_EQ(count, 1) << "request " << id << " ran " << count << " times";
    }
}

} // namespace

TEST(System, RequestIsForwardedToOwnerAndAnswerIsComplete) {
    deployment d({"a", "b"});
    auto& engine = d.add_server("b", "m", false);
    d.start();
    const auto result = call(d.port(0), "POST", "/v1/completions", completion_body(40), fast);
    ASSERT_EQ(result.status, 200U) << result.body;
    EXPECT_EQ(text_of(result), expected_text(result.id, 40));
    EXPECT_EQ(engine.runs()[result.id], 1);
}

TEST(System, StalledStreamIsResumedOnNewConnection) {
    emulator::fake_options options;
    options.stall_after_tokens = 10;
    deployment d({"a"});
    auto& engine = d.add_server("a", "m", false, options);
    d.start();
    const auto result = call(d.port(0), "POST", "/v1/completions", completion_body(30), fast);
    ASSERT_EQ(result.status, 200U) << result.body;
    EXPECT_EQ(text_of(result), expected_text(result.id, 30));
    expect_each_ran_once(engine);
}

TEST(System, DuplicateAndForeignPiecesAreDropped) {
    emulator::fake_options options;
    options.repeat_every = 3;
    options.foreign_events = true;
    deployment d({"a"});
    d.add_server("a", "m", false, options);
    d.start();
    const auto result = call(d.port(0), "POST", "/v1/completions", completion_body(30), fast);
    ASSERT_EQ(result.status, 200U) << result.body;
    EXPECT_EQ(text_of(result), expected_text(result.id, 30));
}

TEST(System, EngineLossMidStreamYieldsUnknownWithoutSecondRun) {
    emulator::fake_options slow;
    slow.engine.decode_base_seconds = 0.05;
    deployment d({"a"});
    auto& first = d.add_server("a", "m", false, slow);
    auto& second = d.add_server("a", "m", false, slow);
    d.start();
    caller_result result;
    std::thread caller(
        [&] { result = call(d.port(0), "POST", "/v1/completions", completion_body(200), fast); });
    ASSERT_TRUE(wait_until([&] { return total_runs(first) + total_runs(second) == 1; }));
    auto& running = total_runs(first) == 1 ? first : second;
    running.stop();
    caller.join();
    EXPECT_EQ(result.status, 502U);
    EXPECT_EQ(result.outcome, "unknown");
    EXPECT_EQ(total_runs(first) + total_runs(second), 1);
}

TEST(System, RequestIsRetriedWhenEngineRefusesConnections) {
    deployment d({"a"});
    auto& dead = d.add_server("a", "m", false);
    d.add_server("a", "m", false);
    d.start();
    dead.stop();
    for (int i = 0; i < 6; ++i) {
        const auto result = call(d.port(0), "POST", "/v1/completions", completion_body(3), fast);
        EXPECT_EQ(result.status, 200U) << result.body;
    }
}

TEST(System, OwnerLossMidStreamDoesNotTruncateAnswer) {
    emulator::fake_options slow;
    slow.engine.decode_base_seconds = 0.02;
    deployment d({"a", "b"});
    auto& engine = d.add_server("b", "m", false, slow);
    d.start();
    caller_result result;
    std::thread caller(
        [&] { result = call(d.port(0), "POST", "/v1/completions", completion_body(100), fast); });
    ASSERT_TRUE(wait_until([&] { return total_runs(engine) == 1; }));
    d.kill(1);
    caller.join();
    ASSERT_EQ(result.status, 200U) << result.body;
    EXPECT_EQ(text_of(result), expected_text(result.id, 100));
    expect_each_ran_once(engine);
}

TEST(System, KeyedRequestRunsOnceWhenResentToAnyInstance) {
    deployment d({"a", "b", "c"}, 3);
    auto& booking_service = d.add_server("b", "desk", true);
    d.start();
    std::vector<std::function<caller_result()>> calls;
    for (std::size_t i = 0; i < 9; ++i) {
        calls.emplace_back([&d, i] {
            return call(d.port(i % 3), "POST", "/services/desk/book", "{\"sacks\":3}",
                        booking("order-17"));
        });
    }
    const auto results = call_together(calls);
    EXPECT_EQ(total_runs(booking_service), 1);
    for (const auto& result : results) {
        EXPECT_EQ(result.status, 200U) << result.body;
        EXPECT_EQ(result.body, results.front().body);
    }
    const auto repeated =
        call(d.port(2), "POST", "/services/desk/book", "{\"sacks\":3}", booking("order-17"));
    EXPECT_EQ(repeated.body, results.front().body) << "the stored answer must be returned";
    EXPECT_EQ(total_runs(booking_service), 1);
}

TEST(System, KeyIsRejectedForAnotherBody) {
    deployment d({"a"});
    auto& booking_service = d.add_server("a", "desk", true);
    d.start();
    call(d.port(0), "POST", "/services/desk/book", "{\"sacks\":3}", booking("k"));
    const auto other =
        call(d.port(0), "POST", "/services/desk/book", "{\"sacks\":4}", booking("k"));
    EXPECT_EQ(other.status, 422U);
    EXPECT_EQ(total_runs(booking_service), 1);
}

TEST(System, IssuedKeyRunsOnceThroughAnyInstance) {
    deployment d({"a", "b"});
    auto& booking_service = d.add_server("a", "desk", true);
    d.start();
    const auto issued = nlohmann::json::parse(call(d.port(0), "POST", "/v1/keys").body);
    const auto key = issued.at("key").get<std::string>();
    const auto remote = call(d.port(1), "POST", "/services/desk/book", "x", booking(key));
    const auto local = call(d.port(0), "POST", "/services/desk/book", "x", booking(key));
    EXPECT_EQ(remote.status, 200U) << remote.body;
    EXPECT_EQ(remote.body, local.body);
    EXPECT_EQ(total_runs(booking_service), 1);
}

TEST(System, IssuedKeyOfLostIncarnationNeverRuns) {
    deployment d({"a", "b"}, 0);
    auto& booking_service = d.add_server("b", "desk", true);
    d.start();
    const auto issued = nlohmann::json::parse(call(d.port(0), "POST", "/v1/keys").body);
    const auto key = issued.at("key").get<std::string>();
    d.kill(0);
    const auto after_loss = call(d.port(1), "POST", "/services/desk/book", "x", booking(key));
    EXPECT_EQ(after_loss.outcome, "unknown") << after_loss.body;
    d.start(0);
    ASSERT_TRUE(wait_until([&] { return call(d.port(0), "GET", "/health").status == 200; }));
    const auto restarted = call(d.port(0), "POST", "/services/desk/book", "x", booking(key));
    EXPECT_EQ(restarted.outcome, "unknown") << restarted.body;
    EXPECT_EQ(total_runs(booking_service), 0);
}

TEST(System, GracefulShutdownCompletesAllRequests) {
    emulator::fake_options slow;
    slow.engine.decode_base_seconds = 0.01;
    slow.engine.slots = 2;
    deployment d({"a", "a"});
    auto& engine = d.add_server("a", "m", false, slow);
    auto& other = d.add_server("a", "m", false, slow);
    d.start();
    std::vector<std::function<caller_result()>> calls;
    for (std::size_t i = 0; i < 30; ++i) {
        calls.emplace_back(
            [&d] { return call(d.port(1), "POST", "/v1/completions", completion_body(20), fast); });
    }
    std::vector<caller_result> results;
    std::thread callers([&] { results = call_together(calls); });
    ASSERT_TRUE(wait_until([&] { return total_runs(engine) + total_runs(other) > 2; }));
    d.shut_down(1);
    callers.join();
    for (const auto& result : results) {
        EXPECT_EQ(result.status, 200U) << result.body;
        EXPECT_EQ(text_of(result), expected_text(result.id, 20));
    }
    expect_each_ran_once(engine);
    expect_each_ran_once(other);
}

namespace {

/// Whether the owner has this number of requests and at least two of them are queued. How many run
/// depends on its window, which a load report between two steps of the engine reduces.
bool has_requests_and_queue(const deployment& d, int requests) {
    const auto owner = d.status(0)["owner"];
    return owner["running"].get<int>() + owner["queued"].get<int>() == requests &&
           owner["queued"].get<int>() >= 2;
}

} // namespace

TEST(System, RequestIsNotRunIfCallerDisconnectsBeforeItIsRead) {
    emulator::fake_options slow;
    slow.engine.decode_base_seconds = 0.03;
    deployment d({"a"});
    auto& engine = d.add_server("a", "m", false, slow);
    d.start();
    std::vector<std::thread> running;
    for (int i = 0; i < 10; ++i) {
        running.emplace_back(
            [&d] { call(d.port(0), "POST", "/v1/completions", completion_body(40), fast); });
    }
    ASSERT_TRUE(wait_until([&] { return has_requests_and_queue(d, 10); }));
    for (int i = 0; i < 5; ++i) {
        asio::io_context context;
        boost::beast::tcp_stream stream(context);
        stream.connect({asio::ip::make_address("127.0.0.1"), d.port(0)});
        beast_http::request<beast_http::string_body> request{beast_http::verb::post,
                                                             "/v1/completions", 11};
        request.set("Tarragon-Profile", "low");
        request.body() = completion_body(60);
        request.prepare_payload();
        beast_http::write(stream, request);
    }
    for (auto& thread : running) {
        thread.join();
    }
    ASSERT_TRUE(wait_until([&] { return d.status(0)["open_requests"] == 0; }));
    EXPECT_EQ(total_runs(engine), 10);
}

TEST(System, RequestIsNotRunIfCallerDisconnectsBeforeDispatch) {
    emulator::fake_options slow;
    slow.engine.decode_base_seconds = 0.03; // no request ends while the caller is connected
    deployment d({"a"});
    auto& engine = d.add_server("a", "m", false, slow);
    d.start();
    std::vector<std::thread> running;
    for (int i = 0; i < 10; ++i) {
        running.emplace_back(
            [&d] { call(d.port(0), "POST", "/v1/completions", completion_body(40), fast); });
    }
    ASSERT_TRUE(wait_until([&] { return has_requests_and_queue(d, 10); }));
    {
        asio::io_context context;
        boost::beast::tcp_stream stream(context);
        stream.connect({asio::ip::make_address("127.0.0.1"), d.port(0)});
        beast_http::request<beast_http::string_body> request{beast_http::verb::post,
                                                             "/v1/completions", 11};
        request.set("Tarragon-Profile", "low");
        request.body() = completion_body(60);
        request.prepare_payload();
        beast_http::write(stream, request);
        ASSERT_TRUE(wait_until([&] { return has_requests_and_queue(d, 11); }));
    }
    for (auto& thread : running) {
        thread.join();
    }
    ASSERT_TRUE(wait_until([&] { return d.status(0)["open_requests"] == 0; }));
    EXPECT_EQ(total_runs(engine), 10);
}

TEST(System, MalformedInputIsRejectedWithStatus) {
    deployment d({"a"});
    d.add_server("a", "m", false);
    d.start();
    EXPECT_EQ(call(d.port(0), "POST", "/v1/completions", "{", fast).status, 400U);
    EXPECT_EQ(call(d.port(0), "POST", "/v1/completions", "{\"model\":3}", fast).status, 400U);
    EXPECT_EQ(call(d.port(0), "POST", "/v1/completions", completion_body(1)).status, 400U);
    EXPECT_EQ(call(d.port(0), "GET", "/v1/completions", "", fast).status, 405U);
    EXPECT_EQ(call(d.port(0), "GET", "/nothing").status, 404U);
    EXPECT_EQ(call(d.port(0), "POST", "/v1/completions", std::string(9'000'000, 'x'), fast).status,
              413U);
    EXPECT_EQ(call(d.port(0), "GET", "/v1/requests/no-id").status, 400U);
    EXPECT_EQ(call(d.port(0), "GET", "/health").status, 200U);
}

TEST(System, RequestStatusCanBeQueriedAndStreamResumed) {
    deployment d({"a"});
    d.add_server("a", "m", false);
    d.start();
    const auto result = call(d.port(0), "POST", "/v1/completions", completion_body(12), fast);
    const auto status = call(d.port(0), "GET", "/v1/requests/" + result.id);
    EXPECT_NE(status.body.find("answered"), std::string::npos) << status.body;
    const auto resumed = call(d.port(0), "GET", "/v1/requests/" + result.id + "/stream?offset=4");
    EXPECT_EQ(resumed.status, 200U);
    EXPECT_NE(resumed.body.find("[DONE]"), std::string::npos);
    EXPECT_EQ(resumed.body.find(emulator::token_text(result.id, 3)), std::string::npos);
    EXPECT_NE(resumed.body.find(emulator::token_text(result.id, 4)), std::string::npos);
}
