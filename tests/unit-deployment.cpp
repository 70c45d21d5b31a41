#include <future>

#include <gtest/gtest.h>

#include "deployment_fixture.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

void reset(asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

scripted_server make_sound(const std::string& name) {
    return scripted_server(name, [](const seen_request& request, asio::ip::tcp::socket& socket) {
        write_raw(socket, whole_answer(request, "body of " + request.start));
    });
}

/// In place of a control instance: tells every entry instance the same document and one server.
class teller : public wire::handler {
public:
    explicit teller(const scripted_server& server) {
        config::server one{.id = grant_of(server).server,
                           .name = server.name(),
                           .address = server.address(),
                           .offers = {"s"},
                           .slots = 4};
        one.kind = config::server_kind::service;
        list_ = gateway::make_server_list({one}, runtime::now());
    }
    ~teller() override {
        if (node_) {
            node_->stop();
        }
    }
    void start(const settings::endpoint& at) {
        node_ = std::make_unique<wire::node>(
            wire::node_options{.self = *settings::parse_instance_address(at.address), .listen = at},
            *this);
        ASSERT_EQ(node_->start(), "");
    }
    void tell(std::uint64_t number, std::string content) {
        const std::lock_guard lock(mutex_);
        document_ = {.number = {number}, .content = std::move(content)};
    }
    int times_told() {
        const std::lock_guard lock(mutex_);
        return times_told_;
    }
    /// Leads: grants the first server, and the second one to those who return a grant unused.
    void grant_first(const scripted_server& first, const scripted_server& second) {
        granted_ = {grant_of(first), grant_of(second)};
    }
    int times_returned() {
        const std::lock_guard lock(mutex_);
        return times_returned_;
    }

    void on_enqueue(instance_id, work_item, dispatch::call_body,
                    std::shared_ptr<wire::remote_request>) override {}
    void on_withdraw(instance_id, const request_id&) override {}
    void on_gossip(instance_id, wire::gossip_message,
                   std::function<void(wire::gossip_message)>) override {}
    void on_probe(instance_id, std::function<void(bool)>) override {}
    void on_consensus(instance_id, std::string) override {}
    void on_question(instance_id, wire::topic about, std::string payload,
                     std::function<void(wire::answer)> reply) override {
        if (about == wire::topic::grant) {
            const auto question = gateway::unpack_question(payload, runtime::now());
            const std::lock_guard lock(mutex_);
            const auto unused = question->earlier == dispatch::earlier_grant::unused;
            times_returned_ += unused && question->notice ? 1 : 0;
            reply({.known = true,
                   .payload = gateway::pack(dispatch::verdict{granted_[unused ? 1 : 0]})});
            return;
        }
        if (about != wire::topic::entry_report) {
            return;
        }
        const auto report = gateway::unpack_report(payload, runtime::now());
        const std::lock_guard lock(mutex_);
        if (!report || document_.number.value == 0) {
            reply({});
            return;
        }
        gateway::control_news news;
        news.entry_instances = 1;
        news.schedules = !granted_.empty();
        news.document = document_;
        gateway::tell_servers(list_, *report, runtime::now(), news);
        ++times_told_;
        reply({.known = true, .payload = gateway::pack(news)});
    }

private:
    static dispatch::grant grant_of(const scripted_server& server) {
        return {.server = {static_cast<std::uint32_t>(hash_name(server.name()) & 0xffffffffU)},
                .server_name = server.name(),
                .address = server.address()};
    }

    std::vector<dispatch::grant> granted_;
    int times_returned_{0};
    gateway::server_list list_;
    std::unique_ptr<wire::node> node_;
    std::mutex mutex_;
    config::document document_;
    int times_told_{0};
};

} // namespace

TEST(Deployment, ARequestAndItsAnswerPassUnchanged) {
    const auto server = make_sound("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    const auto got = d.call_fully("POST", "/unsafe/x?y=%20z", std::string(100'000, 'b'),
                                  {{"Tenant", "forged"}, {"X-Own", "1"}});
    EXPECT_EQ(got.status, 200U);
    EXPECT_EQ(got.body, "body of POST /unsafe/x?y=%20z");
    EXPECT_EQ(got.headers.at("Response-Signature"), "sig");
    EXPECT_EQ(got.headers.at("X-Server"), "kept");
    const auto seen = server.seen();
    ASSERT_EQ(seen.size(), 1U);
    EXPECT_EQ(seen[0].body, std::string(100'000, 'b'));
    EXPECT_EQ(seen[0].headers.at("Tenant"), "w");
    EXPECT_EQ(seen[0].headers.at("Expect-Instance"), "i-1");
    EXPECT_EQ(seen[0].headers.at("X-Own"), "1");
    EXPECT_FALSE(seen[0].headers.contains("Key"));
    EXPECT_LE(std::stoi(seen[0].headers.at("Deadline-Ms")), 4000);
}

TEST(Deployment, AnUnsafeRequestIsNeverSentTwice) {
    const scripted_server bad(
        "i-1", [](const seen_request&, asio::ip::tcp::socket& socket) { reset(socket); });
    const scripted_server worse(
        "i-2", [](const seen_request&, asio::ip::tcp::socket& socket) { reset(socket); });
    platform_deployment d;
    d.add_server(bad, "s");
    d.add_server(worse, "s");
    d.serve(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 502U);
    EXPECT_EQ(bad.seen().size() + worse.seen().size(), 1U);
}

TEST(Deployment, ASafeRequestGoesToAnotherServer) {
    std::atomic<int> arrivals{0};
    const auto script = [&](const seen_request& request, asio::ip::tcp::socket& socket) {
        if (++arrivals == 1) {
            const auto answer = whole_answer(request, "half of it is lost");
            write_raw(socket, answer.substr(0, answer.size() - 9));
            return;
        }
        write_raw(socket, whole_answer(request, "whole"));
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.serve(make_manifest(1));
    const auto got = d.call("GET", "/safe/x", "", {});
    EXPECT_EQ(got.status, 200U);
    EXPECT_EQ(got.body, "whole");
    EXPECT_EQ(one.seen().size(), 1U);
    EXPECT_EQ(two.seen().size(), 1U);
}

TEST(Deployment, AServerThatDeclinesLeavesTheRequestNotRun) {
    const auto script = [](const seen_request& request, asio::ip::tcp::socket& socket) {
        write_raw(socket, "HTTP/1.1 503 Busy\r\nAttempt-Id: " + request.headers.at("Attempt-Id") +
                              "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.serve(make_manifest(1));
    const auto got = d.call_fully("POST", "/unsafe/x", "b");
    EXPECT_EQ(got.status, 503U);
    EXPECT_TRUE(got.headers.contains("Retry-After"));
    EXPECT_EQ(one.seen().size() + two.seen().size(), 2U) << "two attempts are allowed";
}

TEST(Deployment, AnAnswerToAnotherRequestNeverReachesTheCaller) {
    const scripted_server crossed("i-1",
                                  [](const seen_request& request, asio::ip::tcp::socket& socket) {
                                      auto other = request;
                                      other.headers["Attempt-Id"] = "somebody-else";
                                      write_raw(socket, whole_answer(other, "not yours"));
                                  });
    platform_deployment d;
    d.add_server(crossed, "s");
    d.serve(make_manifest(1));
    const auto got = d.call("POST", "/unsafe/x", "b", {});
    EXPECT_EQ(got.status, 502U);
    EXPECT_EQ(got.body.find("not yours"), std::string::npos);
}

TEST(Deployment, AStreamGoesOnAtAnotherServerWithoutGapOrRepeat) {
    const auto script = [](const seen_request& request, asio::ip::tcp::socket& socket) {
        const auto found = request.headers.find("Last-Event-Id");
        const auto after = found == request.headers.end() ? 0 : std::stoi(found->second);
        write_raw(socket, stream_head(request, "from " + std::to_string(after)));
        if (after == 0) {
            write_raw(socket, chunk(event_text(1) + event_text(2) + "id: 3\nda"));
            return; // in the middle of an event
        }
        // One event too early, as a server may count differently.
        for (int id = after; id <= 4; ++id) {
            write_raw(socket, chunk(event_text(id)));
        }
        write_raw(socket, "0\r\n\r\n");
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.serve(make_manifest(1));
    const auto got = d.call_fully("POST", "/resumable/x", "b");
    EXPECT_TRUE(got.whole);
    EXPECT_EQ(got.body, event_text(1) + event_text(2) + event_text(3) + event_text(4));
    EXPECT_EQ(got.headers.at("Response-Signature"), "from 0") << "the first server's headers stay";
}

TEST(Deployment, AStreamThatMayRunOnceIsCutVisibly) {
    std::atomic<int> arrivals{0};
    const auto script = [&](const seen_request& request, asio::ip::tcp::socket& socket) {
        ++arrivals;
        write_raw(socket, stream_head(request, "sig"));
        write_raw(socket, chunk(event_text(1)) + chunk("id: 2\ndata: cut"));
        reset(socket);
    };
    const scripted_server one("i-1", script);
    const scripted_server two("i-2", script);
    platform_deployment d;
    d.add_server(one, "s");
    d.add_server(two, "s");
    d.serve(make_manifest(1));
    const auto got = d.call_fully("POST", "/once/x", "b");
    EXPECT_FALSE(got.whole);
    EXPECT_EQ(got.body.find("cut"), std::string::npos) << "a cut event is dropped";
    EXPECT_EQ(arrivals, 1);
}

// Work that goes on to its deadline would end as well, so a caller that stays is the measure: what
// it waits for has the same time and began before.
TEST(Deployment, ACallerThatLeavesEndsTheWorkAtTheServer) {
    for (const std::string target : {"/once/x", "/unsafe/x"}) {
        std::mutex mutex;
        std::vector<std::string> ended;
        const scripted_server slow(
            "i-1", [&](const seen_request& request, asio::ip::tcp::socket& socket) {
                if (target == "/once/x") {
                    write_raw(socket, stream_head(request, "sig") + chunk(event_text(1)));
                }
                char byte{};
                boost::system::error_code error;
                socket.read_some(asio::buffer(&byte, 1), error); // waits for the connection's end
                const std::lock_guard lock(mutex);
                ended.push_back(request.headers.at("Attempt-Id"));
            });
        platform_deployment d;
        d.add_server(slow, "s");
        d.serve(make_manifest(1));
        asio::io_context context;
        const auto call = [&](const std::string& id) {
            asio::ip::tcp::socket caller(context);
            caller.connect(d.front());
            write_raw(caller, "POST " + target +
                                  " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
                                  "\r\nKey: k\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
            return caller;
        };
        const auto stays = call("stays");
        ASSERT_TRUE(wait_until([&] { return slow.seen().size() == 1; }));
        auto leaves = call("leaves");
        ASSERT_TRUE(wait_until([&] { return slow.seen().size() == 2; }));
        leaves.close();
        ASSERT_TRUE(wait_until([&] {
            const std::lock_guard lock(mutex);
            return ended.size() == 2;
        }));
        EXPECT_EQ(ended.front(), "leaves") << target;
    }
}

TEST(Deployment, CallersWithoutARouteOrAKeyAreTurnedAway) {
    const auto server = make_sound("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.start();
    ASSERT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status != 0; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 503U) << "no manifest is known yet";
    EXPECT_EQ(d.ready().status, 503U);
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(1)).status == 200; }));
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {{"Key", "wrong"}}).status, 401U);
    EXPECT_EQ(d.call("GET", "/nothing/x", "", {}).status, 404U);
    EXPECT_EQ(d.call("GET", "/safe/x", "", {{"Host", "other.example"}}).status, 404U);
    EXPECT_TRUE(server.seen().empty());
}

TEST(Deployment, TheHighestManifestIsInForceAndReadBack) {
    platform_deployment d(3, 2);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(5));
    EXPECT_EQ(d.publish("{\"version\":9,\"routes\":[").status, 400U);
    EXPECT_EQ(d.publish(make_manifest(0)).status, 400U);
    EXPECT_EQ(d.publish(make_manifest(4), 1).status, 200U) << "an older one changes nothing";
    EXPECT_EQ(d.publish(make_manifest(5), 2).status, 200U) << "a resend is acknowledged";
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(7), 1).status == 200; }));
    for (std::size_t control = 0; control < 3; ++control) {
        ASSERT_TRUE(wait_until([&] { return d.read_back(control).status == 200; }));
        EXPECT_EQ(d.read_back(control).body, make_manifest(7)) << control;
    }
    // A majority is left: what was acknowledged stays. Without one, nothing is proved.
    d.stop_control(0);
    ASSERT_TRUE(wait_until([&] { return d.read_back(1).status == 200; }));
    EXPECT_EQ(d.read_back(1).body, make_manifest(7));
    d.stop_control(2);
    ASSERT_TRUE(wait_until([&] { return d.read_back(1).status == 503; }));
    EXPECT_NE(d.publish(make_manifest(8), 1).status, 200U);
}

// Control instances don't tell what is older than the reported number; an entry instance relies on
// itself all the same, since who tells it may be wrong about it.
TEST(Deployment, AnEntryInstanceNeverStepsBack) {
    const auto server = make_sound("i-1");
    teller control(server);
    platform_deployment d;
    control.start(d.control_wire());
    d.start_entry(0);
    control.tell(7, make_manifest(7));
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    auto older = nlohmann::json::parse(make_manifest(5));
    older["routes"] = nlohmann::json::array({older["routes"][1]});
    control.tell(5, older.dump());
    const auto told = control.times_told();
    ASSERT_TRUE(wait_until([&] { return control.times_told() > told + 3; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U) << "gone in the older one";
    control.tell(8, older.dump());
    ASSERT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status == 404; }));
}

TEST(Deployment, AWipedControlInstanceJoinsAgainWithoutItsOldVote) {
    platform_deployment d(3, 1);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2), 1).status == 200; }));
    d.wipe_control(0);
    d.start_control(0, false);
    ASSERT_TRUE(wait_until([&] { return d.read_back(0).status == 200; }));
    EXPECT_EQ(d.read_back(0).body, make_manifest(2));
    // The new member counts: another may be lost now.
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(3), 0).status == 200; }));
    std::this_thread::sleep_for(std::chrono::seconds{3});
    d.stop_control(1);
    EXPECT_TRUE(wait_until([&] { return d.publish(make_manifest(4), 0).status == 200; }));
}

// The settings of a replaced instance may name only members that don't lead, such as where the
// leader was added later. It then asked them for ever, and the next loss left no majority.
TEST(Deployment, AControlInstanceJoinsThroughMembersThatDoNotLead) {
    platform_deployment d(3, 1);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    ASSERT_TRUE(wait_until([&] { return d.publish(make_manifest(2), 1).status == 200; }));
    // At most one of the two leads.
    for (const std::size_t contact : {1UL, 2UL}) {
        d.wipe_control(0);
        d.start_control(0, false, {contact});
        EXPECT_TRUE(wait_until([&] { return d.read_back(0).status == 200; }))
            << "through instance " << contact;
    }
}

TEST(Deployment, RequestsAreServedWhileNoControlInstanceRuns) {
    platform_deployment d(1, 1);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    d.stop_control(0);
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
    }
}

// A restarted instance knows only the founders, and none of them is there to ask.
TEST(Deployment, AnEntryInstanceRestartedWithoutAControlGroupLearnsFromOthers) {
    platform_deployment d(1, 3);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    for (const std::size_t entry : {1U, 2U}) {
        ASSERT_TRUE(wait_until([&] { return d.ready(entry).status == 200; }));
    }
    // Time for a few answers of the control group, each of which names some of the others.
    std::this_thread::sleep_for(std::chrono::seconds{1});
    d.stop_control(0);
    d.stop_entry(0);
    d.start_entry(0);
    ASSERT_TRUE(wait_until([&] { return d.ready(0).status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).status, 200U);
}

// Right after a start the instance knows nothing yet. Refused, callers came back a second later,
// and after a loss of power that was most of them.
TEST(Deployment, WhatComesRightAfterAStartIsServedAndNotRefused) {
    platform_deployment d(1, 1);
    const auto server = make_sound("i-1");
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    d.stop_entry(0);
    d.start_entry(0);
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 200U);
    EXPECT_EQ(d.call("GET", "/nowhere/x", "", {}).status, 404U);
}

TEST(Deployment, AGracefulShutdownCutsNothing) {
    const scripted_server slow("i-1",
                               [](const seen_request& request, asio::ip::tcp::socket& socket) {
                                   std::this_thread::sleep_for(std::chrono::milliseconds{1'500});
                                   write_raw(socket, whole_answer(request, "late but whole"));
                               });
    platform_deployment d;
    d.add_server(slow, "s");
    d.serve(make_manifest(1));
    std::atomic<int> whole{0};
    std::atomic<int> sent{0};
    std::vector<std::thread> callers;
    const auto call = [&] {
        ++sent;
        whole += d.call("POST", "/unsafe/x", "b", {}).status == 200 ? 1 : 0;
    };
    callers.emplace_back(call);
    ASSERT_TRUE(wait_until([&] { return !slow.seen().empty(); }));
    std::thread leaving([&] { d.entry(0).shut_down(); });
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 503; }));
    callers.emplace_back(call); // the platform still sends some for a moment
    leaving.join();
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(whole, sent);
}

// A server that never answers must not keep a caller until the instance's time is over and its
// connection is cut.
TEST(Deployment, AStopEndsWhatCannotEndInTimeWithAnAnswer) {
    std::atomic<bool> over{false};
    const scripted_server silent("i-1", [&](const seen_request&, asio::ip::tcp::socket&) {
        while (!over) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    });
    platform_deployment d;
    d.add_server(silent, "s");
    auto manifest = nlohmann::json::parse(make_manifest(1));
    for (auto& route : manifest["routes"]) {
        route["timeout_ms"] = 60'000;
    }
    d.serve(manifest.dump());
    std::vector<unsigned> statuses(2);
    std::vector<std::thread> callers;
    const auto call = [&](std::size_t index) {
        statuses.at(index) = d.call("POST", "/unsafe/x", "b", {{"Deadline-Ms", "60000"}}).status;
    };
    callers.emplace_back(call, 0);
    ASSERT_TRUE(wait_until([&] { return !silent.seen().empty(); }));
    std::thread leaving([&] { d.entry(0).shut_down(); });
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 503; }));
    callers.emplace_back(call, 1); // after the stop has begun
    leaving.join();
    over = true;
    d.stop_entry(0);
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(statuses, (std::vector<unsigned>{504, 504})) << "it may have run";
}

// An answer that had begun before the stop promised its caller that the connection stays, so the
// next request may come when the instance has no time left for it.
TEST(Deployment, AStopRefusesWhatComesTooLateOnAKeptConnection) {
    const scripted_server slow(
        "i-1", [](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig") + chunk(event_text(1)));
            for (int id = 2; id <= 5; ++id) {
                std::this_thread::sleep_for(std::chrono::milliseconds{900});
                write_raw(socket, chunk(event_text(id)));
            }
            write_raw(socket, "0\r\n\r\n");
        });
    platform_deployment d;
    d.add_server(slow, "s");
    d.serve(make_manifest(1));
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect(d.front());
    const auto request = [](const std::string& name) {
        return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nAttempt-Id: " + name +
               "\r\nDeadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n";
    };
    write_raw(caller, request("first"));
    ASSERT_TRUE(wait_until([&] { return !slow.seen().empty(); }));
    std::thread leaving([&] { d.entry(0).shut_down(); });
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 503; }));
    write_raw(caller, request("second")); // read once the first answer has ended
    boost::beast::flat_buffer buffer;
    beast_http::response<beast_http::string_body> first;
    beast_http::response<beast_http::string_body> second;
    boost::system::error_code error;
    beast_http::read(caller, buffer, first, error);
    EXPECT_FALSE(error) << error.message() << ": the answer in flight is whole";
    beast_http::read(caller, buffer, second, error);
    leaving.join();
    ASSERT_FALSE(error);
    EXPECT_EQ(second.result_int(), 503U);
    EXPECT_FALSE(second["Retry-After"].empty());
    EXPECT_FALSE(second.keep_alive());
    EXPECT_EQ(slow.seen().size(), 1U) << "what is refused has not run";
}

TEST(Deployment, AnAnswerCutBeforeItsEndIsNotPassedOnAsWhole) {
    const scripted_server cut(
        "i-1", [](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.headers.at("Attempt-Id") +
                                  "\r\nResponse-Signature: s\r\n\r\nno length, and then a reset");
            std::this_thread::sleep_for(std::chrono::milliseconds{200});
            reset(socket);
        });
    platform_deployment d;
    d.add_server(cut, "s");
    d.serve(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 502U);
}

// --- what servers say about themselves ---

namespace {

std::string answer_with(const seen_request& to, const std::string& status,
                        const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + to.headers.at("Attempt-Id") + "\r\n" +
           headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// The platform's list still says ready; the server's own word counts from its first answer on.
TEST(Deployment, AServerThatSaysItLeavesGetsNoFurtherRequest) {
    const scripted_server leaving(
        "i-1", [](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, answer_with(request, "200 OK",
                                          "Response-Signature: sig\r\nServer-Leaving: 1\r\n", "l"));
        });
    const auto staying = make_sound("i-2");
    platform_deployment d;
    d.add_server(leaving, "s");
    d.serve(make_manifest(1));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).body, "l");
    d.add_server(staying, "s");
    ASSERT_TRUE(wait_until([&] { return d.call("GET", "/safe/x", "", {}).status == 200; }));
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 200U);
    }
    EXPECT_EQ(leaving.seen().size(), 1U);
}

// In place of a leader that does not know yet: its grants come back unused, and are asked for
// again.
TEST(Deployment, AGrantForAServerThatLeavesIsNotUsed) {
    const scripted_server leaving(
        "i-1", [](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, answer_with(request, "200 OK",
                                          "Response-Signature: sig\r\nServer-Leaving: 1\r\n", "l"));
        });
    const auto staying = make_sound("i-2");
    platform_deployment d;
    teller control(leaving);
    control.grant_first(leaving, staying);
    control.start(d.control_wire());
    control.tell(1, make_manifest(1));
    d.start_entry(0);
    ASSERT_TRUE(wait_until([&] { return d.ready().status == 200; }));
    EXPECT_EQ(d.call("GET", "/safe/x", "", {}).body, "l");
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 200U);
    EXPECT_EQ(leaving.seen().size(), 1U);
    EXPECT_EQ(staying.seen().size(), 1U);
    EXPECT_GE(control.times_returned(), 1) << "with the reason";
}

TEST(Deployment, AServerThatAsksForAPauseIsLeftInPeace) {
    std::atomic<int> arrivals{0};
    const scripted_server busy(
        "i-1", [&](const seen_request& request, asio::ip::tcp::socket& socket) {
            ++arrivals;
            write_raw(socket, answer_with(request, "503 Service Unavailable",
                                          "Not-Executed: 1\r\nRetry-After: 30.5\r\n", ""));
        });
    platform_deployment d;
    d.add_server(busy, "s");
    d.serve(make_manifest(1));
    for (int i = 0; i < 8; ++i) {
        const auto answer = d.call_fully("POST", "/unsafe/x", "b");
        EXPECT_EQ(answer.status, 503U);
        ASSERT_TRUE(answer.headers.contains("Retry-After"));
        EXPECT_GT(std::stod(answer.headers.at("Retry-After")), 25.0) << "the pause, told on";
    }
    EXPECT_EQ(arrivals, 1);
    const auto sound = make_sound("i-2");
    d.add_server(sound, "s");
    EXPECT_TRUE(wait_until([&] { return d.call("POST", "/unsafe/x", "b", {}).status == 200; }));
    EXPECT_EQ(arrivals, 1);
}

// --- what went wrong at other operators ---

TEST(Deployment, ASecondCopyOfAnAnswerReachesNobody) {
    const scripted_server twice("i-1", [](const seen_request& request,
                                          asio::ip::tcp::socket& socket) {
        const auto copy = whole_answer(request, "answer to " + request.headers.at("Attempt-Id"));
        write_raw(socket, copy);
        write_raw(socket, copy);
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        write_raw(socket, copy);
    });
    platform_deployment d;
    d.add_server(twice, "s");
    d.serve(make_manifest(1));
    asio::io_context context;
    asio::ip::tcp::socket caller(context); // one connection for all, as callers keep them
    caller.connect(d.front());
    boost::beast::flat_buffer buffer;
    for (int i = 0; i < 10; ++i) {
        const auto id = "call-" + std::to_string(i);
        write_raw(caller, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nAttempt-Id: " + id +
                              "\r\nDeadline-Ms: 4000\r\n\r\n");
        beast_http::response<beast_http::string_body> answer;
        beast_http::read(caller, buffer, answer);
        EXPECT_EQ(answer.body(), "answer to " + id);
        EXPECT_EQ(buffer.size(), 0U);
    }
}

// A refusal that answers another request says nothing about whether this one has run.
TEST(Deployment, ARefusalOfAnotherRequestIsNoPromise) {
    const scripted_server crossed("i-1", [](const seen_request&, asio::ip::tcp::socket& socket) {
        write_raw(socket, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: another\r\n"
                          "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    });
    platform_deployment d;
    d.add_server(crossed, "s");
    d.serve(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/unsafe/x", "b", {}).status, 502U);
    EXPECT_EQ(crossed.seen().size(), 1U);
}

// Connections that were just opened carry requests that nobody has read yet.
TEST(Deployment, APlannedStopUnderLoadCutsNoRequestThatWasAccepted) {
    const auto server = make_sound("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.serve(make_manifest(1));
    std::atomic<bool> stopped{false};
    std::atomic<int> cut{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            asio::io_context context;
            for (int n = 0; !stopped; ++n) {
                asio::ip::tcp::socket caller(context);
                boost::system::error_code error;
                caller.connect(d.front(), error);
                if (error) {
                    continue; // refused before it was accepted
                }
                // Some send at once, some a moment after connecting.
                std::this_thread::sleep_for(std::chrono::milliseconds{(i + n) % 3 * 4});
                write_raw(caller, "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nKey: k\r\n"
                                  "Attempt-Id: c" +
                                      std::to_string(i) + "-" + std::to_string(n) +
                                      "\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n");
                boost::beast::flat_buffer buffer;
                beast_http::response<beast_http::string_body> answer;
                beast_http::read(caller, buffer, answer, error);
                ++(error ? cut : answered);
            }
        });
    }
    ASSERT_TRUE(wait_until([&] { return answered > 50; }));
    std::thread stopping([&] { d.entry(0).shut_down(); });
    // The callers go on until the instance takes no connection any more.
    ASSERT_TRUE(wait_until([&] {
        asio::io_context context;
        asio::ip::tcp::socket probe(context);
        boost::system::error_code error;
        probe.connect(d.front(), error);
        return static_cast<bool>(error);
    }));
    stopped = true;
    for (auto& caller : callers) {
        caller.join();
    }
    stopping.join();
    EXPECT_EQ(cut, 0) << answered << " answered";
}

TEST(Deployment, ASlowButSoundStreamIsNotCut) {
    const scripted_server slow(
        "i-1", [](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig"));
            for (int id = 1; id <= 3; ++id) {
                // Less than the two seconds after which callers leave, more than the objective.
                std::this_thread::sleep_for(std::chrono::milliseconds{1'200});
                write_raw(socket, chunk(event_text(id)));
            }
            write_raw(socket, "0\r\n\r\n");
        });
    platform_deployment d;
    d.add_server(slow, "s");
    d.serve(make_manifest(1));
    const auto answer = d.call_fully("POST", "/once/x", "b");
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, event_text(1) + event_text(2) + event_text(3));
}

// Bytes that are no event are no progress.
TEST(Deployment, AStalledStreamThatGoesOnSendingBytesIsContinuedElsewhere) {
    std::atomic<int> arrivals{0};
    std::atomic<int> ended{0};
    const auto script = [&](const seen_request& request, asio::ip::tcp::socket& socket) {
        write_raw(socket, stream_head(request, "sig"));
        if (++arrivals > 1) {
            write_raw(socket, chunk(event_text(2)) + "0\r\n\r\n");
            return;
        }
        write_raw(socket, chunk(event_text(1)));
        boost::system::error_code error;
        while (!error) {
            asio::write(socket, asio::buffer(chunk(": still here\n\n") + chunk("id")), error);
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
        ++ended;
    };
    const scripted_server first("i-1", script);
    const scripted_server second("i-2", script);
    platform_deployment d;
    d.add_server(first, "s");
    d.add_server(second, "s");
    d.serve(make_manifest(1));
    const auto answer = d.call_fully("POST", "/resumable/x", "b");
    EXPECT_TRUE(answer.whole);
    EXPECT_NE(answer.body.find("piece 1"), std::string::npos);
    EXPECT_NE(answer.body.find("piece 2"), std::string::npos);
    EXPECT_TRUE(wait_until([&] { return ended == 1; })) << "the first server is left";
}

TEST(Deployment, AStalledStreamThatMayRunOnceEnds) {
    // More than callers wait between two events.
    constexpr int beats = 200;
    std::atomic<bool> left_early{false};
    const scripted_server stalled(
        "i-1", [&](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig") + chunk(event_text(1)));
            boost::system::error_code error;
            for (int beat = 0; beat < beats && !error; ++beat) {
                asio::write(socket, asio::buffer(chunk(": still here\n\n")), error);
                std::this_thread::sleep_for(std::chrono::milliseconds{50});
            }
            left_early = static_cast<bool>(error);
        });
    platform_deployment d;
    d.add_server(stalled, "s");
    // A long deadline, so that only the missing progress can end the stream.
    auto manifest = nlohmann::json::parse(make_manifest(1));
    for (auto& route : manifest["routes"]) {
        route["timeout_ms"] = 60'000;
    }
    d.serve(manifest.dump());
    const auto answer = d.call_fully("POST", "/once/x", "b", {{"Deadline-Ms", "60000"}});
    EXPECT_FALSE(answer.whole);
    EXPECT_TRUE(wait_until([&] { return left_early.load(); }));
}

TEST(Deployment, AnEndlessEventEndsAsMayHaveRun) {
    // What sockets buffer and one event may hold, several times.
    constexpr std::size_t few_bytes = 32UL * 1024 * 1024;
    std::atomic<std::size_t> written{0};
    std::atomic<bool> closed{false};
    const scripted_server endless(
        "i-1", [&](const seen_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, stream_head(request, "sig"));
            boost::system::error_code error;
            while (!error && written < 2 * few_bytes) {
                written += asio::write(
                    socket, asio::buffer(chunk("data: " + std::string(16'000, 'a') + "\n")), error);
            }
            closed = true;
        });
    platform_deployment d;
    d.add_server(endless, "s");
    d.serve(make_manifest(1));
    EXPECT_EQ(d.call("POST", "/once/x", "b", {}).status, 502U);
    EXPECT_TRUE(wait_until([&] { return closed.load(); }));
    EXPECT_LT(written, few_bytes);
}

// An instance that is only silent keeps what it runs: nothing is started again elsewhere.
TEST(Deployment, ASilentControlGroupLeavesRunningWorkAlone) {
    std::atomic<bool> go_on{false};
    const scripted_server slow("i-1",
                               [&](const seen_request& request, asio::ip::tcp::socket& socket) {
                                   while (!go_on) {
                                       std::this_thread::sleep_for(std::chrono::milliseconds{10});
                                   }
                                   write_raw(socket, whole_answer(request, "done"));
                               });
    platform_deployment d;
    d.add_server(slow, "s");
    d.serve(make_manifest(1));
    platform_deployment::answer answer;
    std::thread caller([&] { answer = d.call_fully("POST", "/unsafe/x", "b"); });
    ASSERT_TRUE(wait_until([&] { return slow.seen().size() == 1; }));
    d.stop_control(0);
    std::this_thread::sleep_for(std::chrono::milliseconds{1'000});
    go_on = true;
    caller.join();
    EXPECT_EQ(answer.body, "done");
    EXPECT_EQ(slow.seen().size(), 1U);
}

// A new leader that had heard one of several entry instances told that one that it was alone: it
// took all quotas and all slots for its own.
TEST(Deployment, ANewLeaderTellsTheNumberOfEntryInstancesThatTheyKnew) {
    gateway::entry_report report;
    report.open = {.holder = {77}, .started_as = {5}};
    report.entry_instances = 7;
    const auto server = make_sound("i-1");
    platform_deployment d;
    d.add_server(server, "s");
    d.start_control(0, true);
    teller handles(server);
    wire::node asker({.self = {77},
                      .listen = {.address = "127.0.0.1", .port = free_port()},
                      .locate = [&](instance_id) { return std::optional{d.control_wire()}; }},
                     handles);
    ASSERT_EQ(asker.start(), "");
    std::uint32_t told = 0;
    ASSERT_TRUE(wait_until([&] {
        std::promise<std::optional<wire::answer>> answered;
        asker.ask(*settings::parse_instance_address(d.control_wire().address),
                  wire::topic::entry_report, gateway::pack(report, runtime::now()),
                  [&](std::optional<wire::answer> answer) { answered.set_value(answer); });
        const auto answer = answered.get_future().get();
        const auto news =
            answer && answer->known ? gateway::unpack_news(answer->payload) : std::nullopt;
        told = news ? news->entry_instances : 0;
        return news && news->schedules;
    }));
    EXPECT_EQ(told, 7U);
    asker.stop();
}
