#include <atomic>
#include <random>

#include <gtest/gtest.h>

#include "slow_link.hpp"
#include "system_fixture.hpp"
#include "tarragonspar/config/document_transfer.hpp"
#include "tarragonspar/gateway/control_link.hpp"
#include "tarragonspar/gateway/query_handler.hpp"
#include "tarragonspar/runtime/clock.hpp"

namespace {

using namespace tarragonspar;
using config::document;
using config::document_part;
using config::document_receiver;
using config::document_sender;
using std::chrono::milliseconds;

/// Content that can't be compressed much.
document make_document(std::uint64_t number, std::size_t bytes) {
    std::mt19937_64 random(number);
    document out{.number = {number}, .content = std::string(bytes, ' ')};
    for (auto& letter : out.content) {
        letter = static_cast<char>(random());
    }
    return out;
}

/// Leads the control group and holds one document.
class document_leader : public gateway::query_handler {
public:
    explicit document_leader(document held) : held_(std::move(held)) {
        sender_.set_newest(held_);
    }

    void on_query(instance_id, wire::topic about, std::string payload,
                  std::function<void(wire::answer)> reply) override {
        if (about == wire::topic::document_part) {
            const auto request = gateway::unpack_document_part_request(payload);
            const auto part = sender_.part(request.value(), runtime::now());
            bytes_sent_ += part->bytes.size();
            reply({.known = true, .payload = gateway::pack(*part)});
            return;
        }
        const auto report = gateway::unpack_report(payload, runtime::now());
        gateway::control_update update{.newest = config::newest_document{.number = held_.number}};
        update.held_document = held_.number;
        if (!report->reads_document_parts && report->document < held_.number) {
            update.document = held_;
            bytes_sent_ += held_.content.size();
        }
        reply({.known = true, .payload = gateway::pack(update)});
    }

    [[nodiscard]] std::size_t bytes_sent() const {
        return bytes_sent_;
    }

private:
    document held_;
    document_sender sender_;
    std::atomic<std::size_t> bytes_sent_{0};
};

struct silent_instance : gateway::query_handler {
    void on_query(instance_id, wire::topic, std::string,
                  std::function<void(wire::answer)> reply) override {
        reply({});
    }
};

/// Passes parts from a sender to a receiver until a document is complete.
std::optional<document> transfer(document_receiver& receiver, document_sender& sender,
                                 config::document_number held = {}) {
    auto request = receiver.begin(sender.newest(), held);
    while (request) {
        request = receiver.receive(sender.part(*request, runtime::now()));
    }
    const auto packed = receiver.take_complete();
    return packed ? config::unpack(*packed) : std::nullopt;
}

} // namespace

// Each report was answered with the whole document. On a link that needs longer for it than the
// time limit of a call, every answer was dropped, and the document never came into force.
TEST(DocumentTransfer, ADocumentArrivesThatTakesLongerThanACall) {
    const auto held = make_document(7, 400'000);
    document_leader leader_handler(held);
    const settings::endpoint at{.address = "127.0.0.1", .port = tarragonspar::testing::free_port()};
    wire::node leader({.self = {2}, .listen = at}, leader_handler);
    ASSERT_EQ(leader.start(), "");
    // The document takes 3 s, a call may take 1 s.
    const tarragonspar::testing::slow_link link_to_leader(at, 130'000);
    silent_instance own_handler;
    wire::node own({.self = {1},
                    .listen = {.address = "127.0.0.1", .port = tarragonspar::testing::free_port()},
                    .locate = [&](instance_id) { return std::optional{link_to_leader.address()}; }},
                   own_handler);
    ASSERT_EQ(own.start(), "");
    boost::asio::io_context context;
    std::optional<document> received;
    bool from_leader = false;
    gateway::control_link::callbacks handlers;
    handlers.open_requests = [] { return dispatch::dispatcher_report{}; };
    handlers.used = [] { return admission::workspace_usage{}; };
    handlers.on_confirmation = [](bool) {};
    handlers.on_deployment_size = [](std::uint32_t) {};
    handlers.on_servers = [] {};
    handlers.on_list_wanted = [](bool) {};
    handlers.on_document = [&](const document& newest,
                               const gateway::control_link::document_origin& origin) {
        received = newest;
        from_leader = origin.leads;
        context.stop();
    };
    const auto link = std::make_shared<gateway::control_link>(
        context, instance_id{1}, own, std::vector<instance_id>{{2}}, std::chrono::seconds{8},
        std::move(handlers));
    link->start();
    context.run_for(std::chrono::seconds{40});
    link->stop();
    own.stop();
    leader.stop();
    ASSERT_TRUE(received) << leader_handler.bytes_sent() << " bytes were sent";
    EXPECT_EQ(*received, held);
    EXPECT_TRUE(from_leader);
    EXPECT_LT(leader_handler.bytes_sent(), 2 * held.content.size()) << "sent more than once";
}

TEST(DocumentTransfer, ASimilarRouteCostsFewBytes) {
    document routes{.number = {3}, .content = {}};
    for (int i = 0; i < 1'400; ++i) {
        routes.content += R"({"name":"r-)" + std::to_string(i) +
                          R"(","host":"a.example","path_prefix":"/)" + std::to_string(i * 7919) +
                          R"(/","kind":"safe","timeout_ms":1500,"service":"desk"},)";
    }
    const auto packed = config::pack(routes);
    EXPECT_LT(packed.bytes.size() * 5, routes.content.size());
    EXPECT_EQ(config::unpack(packed), routes);
}

TEST(DocumentTransfer, PartsThatWereReceivedStayWhenACallFails) {
    const auto held = make_document(7, 200'000);
    document_sender sender;
    sender.set_newest(held);
    document_receiver receiver;
    std::size_t bytes = 0;
    auto request = receiver.begin(held.number, {});
    for (int call = 0; request; ++call) {
        if (call % 2 == 1) {
            EXPECT_FALSE(receiver.receive(std::nullopt));
            request = receiver.begin(held.number, {});
            continue;
        }
        auto part = sender.part(*request, runtime::now());
        bytes += part->bytes.size();
        request = receiver.receive(std::move(part));
    }
    const auto packed = receiver.take_complete();
    ASSERT_TRUE(packed);
    EXPECT_EQ(config::unpack(*packed), held);
    EXPECT_EQ(bytes, packed->bytes.size()) << "a part was sent twice";
}

// Documents that follow each other faster than one is sent must not keep an instance from all of
// them.
TEST(DocumentTransfer, ADocumentIsCompletedAlthoughNewerOnesAppear) {
    document_sender sender;
    sender.set_newest(make_document(1, 200'000));
    document_receiver receiver;
    auto request = receiver.begin({1}, {});
    for (std::uint64_t number = 2; request; ++number) {
        request = receiver.receive(sender.part(*request, runtime::now()));
        if (number <= 4) {
            sender.set_newest(make_document(number, 200'000));
        }
    }
    const auto first = receiver.take_complete();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->number.value, 1U);
    EXPECT_EQ(transfer(receiver, sender, first->number), make_document(4, 200'000));
}

TEST(DocumentTransfer, ASenderWithoutTheDocumentSendsItsNewest) {
    document_sender sender({.kept_documents = 0});
    sender.set_newest(make_document(1, 200'000));
    document_receiver receiver;
    auto request = receiver.begin({1}, {});
    request = receiver.receive(sender.part(*request, runtime::now()));
    ASSERT_TRUE(request);
    sender.set_newest(make_document(2, 100'000));
    while (request) {
        request = receiver.receive(sender.part(*request, runtime::now()));
    }
    const auto packed = receiver.take_complete();
    ASSERT_TRUE(packed);
    EXPECT_EQ(config::unpack(*packed), make_document(2, 100'000));
}

TEST(DocumentTransfer, OlderDocumentsAreForgottenWhenNobodyAsksForThem) {
    document_sender sender;
    sender.set_newest(make_document(1, 200'000));
    const auto now = runtime::now();
    const auto first = sender.part({}, now);
    sender.set_newest(make_document(2, 10));
    const config::document_part_request rest{
        .number = first->number, .checksum = first->checksum, .offset = first->bytes.size()};
    EXPECT_EQ(sender.part(rest, now + std::chrono::seconds{1})->number.value, 1U);
    EXPECT_EQ(sender.part(rest, now + std::chrono::seconds{4})->number.value, 2U);
}

TEST(DocumentTransfer, NothingIsAskedForTwiceAtATime) {
    document_receiver receiver;
    EXPECT_TRUE(receiver.begin({5}, {4}));
    EXPECT_FALSE(receiver.begin({6}, {4}));
    EXPECT_FALSE(receiver.receive(std::nullopt));
    EXPECT_TRUE(receiver.begin({6}, {4}));
}

TEST(DocumentTransfer, OlderDocumentsAreNotAskedFor) {
    document_receiver receiver;
    EXPECT_FALSE(receiver.begin({4}, {4}));
    EXPECT_FALSE(receiver.begin({}, {}));
}

// Two senders that pack a document differently must not be mixed into one.
TEST(DocumentTransfer, DamagedAndForeignPartsNeverGiveADocument) {
    const auto held = make_document(9, 150'000);
    std::mt19937_64 random(1);
    for (int run = 0; run < 300; ++run) {
        document_sender sender;
        sender.set_newest(held);
        document_receiver receiver;
        const auto damaged = random() % 4;
        auto request = receiver.begin(held.number, {});
        for (std::uint64_t call = 0; request; ++call) {
            auto part = sender.part(*request, runtime::now());
            if (call == damaged) {
                switch (random() % 6) {
                case 0:
                    part->offset += 1;
                    break;
                case 1:
                    part->total = random();
                    break;
                case 2:
                    part->bytes[random() % part->bytes.size()] ^= 1;
                    break;
                case 3:
                    part->content_bytes = random();
                    break;
                case 4:
                    part->checksum = random();
                    break;
                default:
                    part->bytes += part->bytes;
                }
            }
            request = receiver.receive(std::move(part));
        }
        if (const auto packed = receiver.take_complete()) {
            const auto read = config::unpack(*packed);
            EXPECT_TRUE(!read || *read == held);
        }
        EXPECT_EQ(transfer(receiver, sender), held) << "the next attempt succeeds";
    }
}

// Messages come from other instances; damaged ones must not end a process.
TEST(DocumentTransfer, UnreadableMessagesAreIgnored) {
    for (const std::string bytes : {"", "\x80", "\x81\x01", "garbage"}) {
        EXPECT_FALSE(gateway::unpack_document_part(bytes));
        EXPECT_FALSE(gateway::unpack_document_part_request(bytes));
    }
    const document_part part{.number = {3}, .total = 2, .bytes = "ab"};
    const auto read = gateway::unpack_document_part(gateway::pack(part));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->bytes, part.bytes);
}
