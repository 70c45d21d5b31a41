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
        config::server one{.id = {hash_name(server.name()) & 0xffffffffU},
                           .name = server.name(),
                           .address = server.address(),
                           .offers = {"s"},
                           .slots = 4};
        one.kind = config::server_kind::service;
        list_ = gateway::make_server_list({one}, runtime::now());
    }
    ~teller() override {
        node_->stop();
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

    void on_enqueue(instance_id, work_item, dispatch::call_body,
                    std::shared_ptr<wire::remote_request>) override {}
    void on_withdraw(instance_id, const request_id&) override {}
    void on_gossip(instance_id, wire::gossip_message,
                   std::function<void(wire::gossip_message)>) override {}
    void on_probe(instance_id, std::function<void(bool)>) override {}
    void on_consensus(instance_id, std::string) override {}
    void on_question(instance_id, wire::topic, std::string payload,
                     std::function<void(wire::answer)> reply) override {
        const auto report = gateway::unpack_report(payload, runtime::now());
        const std::lock_guard lock(mutex_);
        if (!report || document_.number.value == 0) {
            reply({});
            return;
        }
        gateway::control_news news;
        news.entry_instances = 1;
        news.document = document_;
        gateway::tell_servers(list_, *report, runtime::now(), news);
        ++times_told_;
        reply({.known = true, .payload = gateway::pack(news)});
    }

private:
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
