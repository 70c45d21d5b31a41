#include <gtest/gtest.h>

#include "system_fixture.hpp"
#include "tarragonspar/gateway/control_link.hpp"
#include "tarragonspar/gateway/query_handler.hpp"
#include "tarragonspar/runtime/clock.hpp"

namespace {

using namespace tarragonspar;
using std::chrono::milliseconds;

struct null_handler : wire::handler {
    void on_enqueue(instance_id, work_item, dispatch::call_body,
                    std::shared_ptr<wire::remote_request>) override {}
    void on_withdraw(instance_id, const request_id&) override {}
    void on_gossip(instance_id, wire::gossip_message,
                   std::function<void(wire::gossip_message)>) override {}
    void on_probe(instance_id, std::function<void(bool)>) override {}
    void on_consensus(instance_id, std::string) override {}
    void on_query(instance_id, wire::topic, std::string,
                  std::function<void(wire::answer)>) override {}
};

config::server make_server(std::uint32_t id) {
    return {.id = {id}, .name = "i-" + std::to_string(id), .offers = {"m"}, .slots = 4};
}

/// Answers each report like a leader that does not grant requests yet.
struct new_leader : gateway::query_handler {
    void on_query(instance_id, wire::topic, std::string,
                  std::function<void(wire::answer)> reply) override {
        const gateway::control_update update{.document =
                                                 config::document{.number = {5}, .content = "{}"},
                                             .newest = config::newest_document{.number = {5}}};
        reply({.known = true, .payload = gateway::pack(update)});
    }
};

gateway::control_link::callbacks ignore_all() {
    gateway::control_link::callbacks handlers;
    handlers.open_requests = [] { return dispatch::dispatcher_report{}; };
    handlers.used = [] { return admission::workspace_usage{}; };
    handlers.on_document = [](const config::document&,
                              const gateway::control_link::document_origin&) {};
    handlers.on_confirmation = [](bool) {};
    handlers.on_deployment_size = [](std::uint32_t) {};
    handlers.on_servers = [] {};
    handlers.on_list_wanted = [](bool) {};
    return handlers;
}

struct fixture {
    boost::asio::io_context context;
    null_handler node_handler;
    wire::node node{{.self = {1}}, node_handler};
    std::shared_ptr<gateway::control_link> link;

    fixture() {
        link = std::make_shared<gateway::control_link>(context, instance_id{1}, node,
                                                       std::vector<instance_id>{},
                                                       std::chrono::seconds{8}, ignore_all());
    }

    /// Returns the name of the server that a request is granted, or an empty string.
    std::string granted() {
        work_item work;
        work.id = {.issuer = {1}, .issued_in = {1}, .sequence = ++sequence};
        work.model = {hash_name("m")};
        work.arrival = runtime::now();
        work.deadline = work.arrival + std::chrono::seconds{5};
        std::string name;
        link->ask(work, dispatch::previous_grant::none, dispatch::server_fate::unknown,
                  [&](const dispatch::grant_result& result) {
                      if (const auto* given = std::get_if<dispatch::grant>(&result)) {
                          name = given->server_name;
                      }
                  });
        context.restart();
        context.run_for(milliseconds{50});
        return name;
    }

    std::uint64_t sequence{0};
};

} // namespace

// A former leader or another entry instance may send a list that is some seconds old, with servers
// that are draining meanwhile.
TEST(ControlLink, IgnoresAnOlderListOfServers) {
    fixture f;
    f.link->set_servers({make_server(1)}, milliseconds{100});
    f.link->set_servers({make_server(2)}, std::chrono::seconds{3});
    EXPECT_EQ(f.granted(), "i-1");
    f.link->set_servers({make_server(2)}, milliseconds{0});
    EXPECT_EQ(f.granted(), "i-2");
}

TEST(ControlLink, SendsPeersOnlyTheListTheyLack) {
    fixture f;
    f.link->set_servers({make_server(1)}, milliseconds{100});
    const auto now = runtime::now();
    const auto report_to_link = [&](const gateway::entry_report& report) {
        return f.link->answer_peer({2}, gateway::pack(report, now));
    };
    const auto first = report_to_link({.open = {.dispatcher = {2}}});
    ASSERT_TRUE(first && gateway::servers_in(*first));
    EXPECT_FALSE(first->schedules);
    const auto fingerprint = first->servers_fingerprint;
    const auto receives_list = [&](std::uint64_t known_fingerprint, duration known_age) {
        const auto update = report_to_link({.open = {.dispatcher = {2}},
                                            .servers_fingerprint = known_fingerprint,
                                            .servers_age = known_age});
        return update && gateway::servers_in(*update).has_value();
    };
    EXPECT_FALSE(receives_list(fingerprint, std::chrono::seconds{5})) << "has the same list";
    EXPECT_TRUE(receives_list(fingerprint + 1, std::chrono::seconds{5}));
    // Sending the list repeatedly to instances that rightly kept their own took the leader's time.
    EXPECT_FALSE(receives_list(fingerprint + 1, milliseconds{0})) << "has a newer list";
}

// During an upgrade both versions run: the former expects whole documents in answers, and a
// document in each answer to the current one overloaded links.
TEST(ControlLink, OnlyInstancesOfTheVersionBeforeGetWholeDocuments) {
    fixture f;
    const config::document in_force{.number = {7}, .content = "{}"};
    f.link->set_document(in_force, {});
    const auto answer = [&](bool reads_parts) {
        const gateway::entry_report report{.open = {.dispatcher = {2}},
                                           .reads_document_parts = reads_parts};
        return f.link->answer_peer({2}, gateway::pack(report, runtime::now()));
    };
    const auto former = answer(false);
    ASSERT_TRUE(former && former->document);
    EXPECT_EQ(*former->document, in_force);
    const auto current = answer(true);
    ASSERT_TRUE(current);
    EXPECT_FALSE(current->document);
    EXPECT_EQ(current->held_document, in_force.number);
    const auto part = f.link->answer_document_part(gateway::pack(config::document_part_request{}));
    ASSERT_TRUE(part);
    EXPECT_EQ(part->number, in_force.number);
}

// Some seconds pass between the answer of a draining server and the next list, and only this
// instance may know that the server is draining.
TEST(ControlLink, GrantsNoDrainingServer) {
    fixture f;
    f.link->set_servers({make_server(1)}, milliseconds{100});
    f.link->record(dispatch::server_notice{.server = {1}, .dispatcher = {1}});
    f.link->set_servers({make_server(1), make_server(2)}, milliseconds{0});
    EXPECT_EQ(f.granted(), "i-2");
    EXPECT_EQ(f.granted(), "i-2");
}

TEST(ControlLink, GrantsNoServerDuringItsBackoff) {
    fixture f;
    f.link->set_servers({make_server(1), make_server(2)}, milliseconds{100});
    f.link->record(dispatch::server_notice{
        .server = {1}, .dispatcher = {1}, .backoff = std::chrono::seconds{30}});
    EXPECT_EQ(f.granted(), "i-2");
    EXPECT_EQ(f.granted(), "i-2");
}

// The log of a deployment that had restarted named a leader as one that did not lead.
TEST(ControlLink, ANewLeaderIsALeaderAsSourceOfADocument) {
    const settings::endpoint at{.address = "127.0.0.1", .port = tarragonspar::testing::free_port()};
    new_leader leader_handler;
    wire::node leader({.self = {2}, .listen = at}, leader_handler);
    ASSERT_EQ(leader.start(), "");
    null_handler own_handler;
    wire::node own({.self = {1},
                    .listen = {.address = "127.0.0.1", .port = tarragonspar::testing::free_port()},
                    .locate = [&](instance_id) { return std::optional{at}; }},
                   own_handler);
    ASSERT_EQ(own.start(), "");
    boost::asio::io_context context;
    std::optional<gateway::control_link::document_origin> origin;
    auto handlers = ignore_all();
    handlers.on_document = [&](const config::document&,
                               const gateway::control_link::document_origin& from) {
        origin = from;
        context.stop();
    };
    const auto link = std::make_shared<gateway::control_link>(
        context, instance_id{1}, own, std::vector<instance_id>{{2}}, std::chrono::seconds{8},
        std::move(handlers));
    link->start();
    context.run_for(std::chrono::seconds{10});
    link->stop();
    own.stop();
    leader.stop();
    ASSERT_TRUE(origin);
    EXPECT_EQ(origin->from.value, 2U);
    EXPECT_TRUE(origin->leads);
}
