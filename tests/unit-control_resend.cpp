// Documents that are sent again while or after they are stored.

#include <atomic>

#include <gtest/gtest.h>

#include "control_group_fixture.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

constexpr std::size_t document_bytes = 300'000;

config::document make_document(std::uint64_t number) {
    return {.number = {number}, .content = std::string(document_bytes, 'x')};
}

std::string change_query(const config::document& document) {
    const auto bytes = control::encode(control::command{document});
    const nlohmann::json query{{"command", nlohmann::json::binary({bytes.begin(), bytes.end()})}};
    std::string out;
    nlohmann::json::to_cbor(query, out);
    return out;
}

/// A running group and the answers to the documents sent to it.
class resend_trial {
public:
    resend_trial() {
        for (std::size_t i = 0; i < control_group_size; ++i) {
            group[i].start();
        }
    }

    /// Waits until an instance leads and returns its index.
    [[nodiscard]] std::size_t find_leader() {
        std::size_t leader = 0;
        EXPECT_TRUE(wait_until([&] {
            for (std::size_t i = 0; i < control_group_size; ++i) {
                if (group[i].status().value("leads", false)) {
                    leader = i;
                    return true;
                }
            }
            return false;
        }));
        return leader;
    }

    /// Sends a document as another instance does, and counts the answers.
    void send(std::size_t to, const config::document& document) {
        group[to].service()->on_query(wire::topic::change, change_query(document),
                                      [this](const wire::answer& answer) {
                                          acknowledged += answer.known ? 1 : 0;
                                          ++answered;
                                      });
    }

    void cut_off(std::size_t index) {
        std::set<instance_id> others;
        for (std::uint32_t id = 1; id <= control_group_size; ++id) {
            if (id != index + 1) {
                others.insert({id});
            }
        }
        group[index].cut_off(others);
    }

    [[nodiscard]] std::uint64_t term_at(std::size_t index) {
        return group[index].status().value("term", std::uint64_t{0});
    }

    std::atomic<int> acknowledged{0};
    std::atomic<int> answered{0};
    control_group group;
};

} // namespace

// Guards against a log that grows by a document each time an instance that is behind sends it.
TEST(ControlResend, StoredDocumentIsNotAppendedAgain) {
    resend_trial trial;
    const auto leader = trial.find_leader();
    trial.send(leader, make_document(1));
    ASSERT_TRUE(wait_until([&] { return trial.acknowledged == 1; }));
    for (int i = 0; i < 4; ++i) {
        trial.send(leader, make_document(1));
    }
    ASSERT_TRUE(wait_until([&] { return trial.acknowledged == 5; }));
    EXPECT_LT(trial.group[leader].log_bytes(), 2 * document_bytes);
}

// Guards against a log that grows with each attempt while a document waits for its majority; each
// attempt is answered once the first is committed.
TEST(ControlResend, DocumentThatIsBeingStoredIsNotAppendedAgain) {
    resend_trial trial;
    const auto leader = trial.find_leader();
    const auto term = trial.term_at(leader);
    trial.cut_off(leader);
    for (int i = 0; i < 5; ++i) {
        trial.send(leader, make_document(1));
    }
    static_cast<void>(trial.term_at(leader)); // answered after the documents were handled
    EXPECT_LT(trial.group[leader].log_bytes(), 2 * document_bytes);
    trial.group[leader].cut_off({});
    ASSERT_TRUE(wait_until([&] { return trial.answered == 5; }));
    // On a machine that stalls, another instance may lead meanwhile; no attempt is answered then.
    EXPECT_EQ(trial.acknowledged, trial.term_at(leader) == term ? 5 : 0);
}

// Guards against a document that is taken for the one that waits although its content differs.
TEST(ControlResend, DocumentWithOtherContentIsAppended) {
    resend_trial trial;
    const auto leader = trial.find_leader();
    auto changed = make_document(1);
    changed.content.back() = 'y';
    const auto term = trial.term_at(leader);
    trial.cut_off(leader);
    trial.send(leader, make_document(1));
    trial.send(leader, changed);
    if (trial.term_at(leader) == term) {
        EXPECT_GE(trial.group[leader].log_bytes(), 2 * document_bytes);
    }
}
