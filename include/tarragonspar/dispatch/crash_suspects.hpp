#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "tarragonspar/dispatch/loss_history.hpp"
#include "tarragonspar/dispatch/server_loss.hpp"
#include "tarragonspar/types/ids.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::dispatch {

/// @brief The loss of a server while a request with a certain prompt part ran on it.
struct server_crash {
    server_id server;
    time_point at{};
    /// The same request was granted again after its crash before this one was known, so the two are
    /// separate.
    bool follows{false};
    /// False while it is not known whether the server ended or only the connection was lost.
    bool confirmed{true};
    friend bool operator==(const server_crash&, const server_crash&) = default;
};

/// @brief A prompt part under which servers ended and that has been in no complete answer since.
struct suspected_part {
    std::uint64_t part{};
    model_id service;
    /// The request's own part of its prompt: nobody but its caller needs it.
    bool is_own{false};
    std::vector<server_crash> crashes; ///< oldest first; only the newest are kept
    /// Largest number of separate crashes that an instance knew; it may know more than are kept.
    std::size_t known_crashes{};
    /// Other parts that all of the lost requests had; any of them may be the cause instead.
    std::vector<std::uint64_t> companions;
    /// It was in a complete answer shortly before the first crash, so one crash proves nothing.
    bool answered_before{false};
    /// A request without the part was answered completely since the first crash.
    bool others_answered{false};
    /// Servers that ended at about the same time without a request that could be the cause.
    std::vector<server_id> unrelated_ends;
    std::uint32_t quarantines{}; ///< how often it was put into quarantine
    time_point quarantined_since{};
    time_point quarantined_until{}; ///< zero: never quarantined
    time_point lifted_at{};         ///< quarantines that began before are void
    std::uint32_t refusals{};       ///< requests that one instance refused by the quarantine
};

/// @brief A part that is no longer suspected, since an answer with it was complete.
struct cleared_part {
    std::uint64_t part{};
    time_point at{};
};

/// @brief Evidence about prompt parts, as instances send it to each other.
struct suspicion_report {
    std::vector<suspected_part> suspects;
    std::vector<cleared_part> cleared;
};

/// @brief A change of what is believed of a part.
struct suspicion_change {
    enum class kind : std::uint8_t { suspected, quarantined, lifted, cleared };
    kind what{kind::suspected};
    std::uint64_t part{};
    std::size_t crashes{}; ///< separate ones that are known
    time_point until{};    ///< end of the quarantine
};

/// What may be done with a request that has certain prompt parts.
enum class prompt_verdict : std::uint8_t {
    clear,       ///< no restriction
    on_trial,    ///< may run while no other request with the suspected part does
    quarantined, ///< must not be sent to any server
};

/// @brief A verdict on a prompt, with the part that decided it.
struct prompt_judgement {
    prompt_verdict verdict{prompt_verdict::clear};
    std::uint64_t part{};        ///< unless clear
    time_point until{};          ///< end of the quarantine
    bool was_quarantined{false}; ///< on trial after a quarantine
};

/// @brief A quarantine, for operators.
struct quarantine_summary {
    std::uint64_t part{};
    std::size_t crashes{};
    duration remaining{};
    std::uint32_t refusals{};
};

/// @brief Finds prompt parts that crash servers ("queries of death") and keeps them from servers.
///
/// The last part of a prompt stands for the request as a whole, so that a request that crashes
/// servers by itself is found as well when it is repeated.
///
/// A request whose server ended makes its parts suspects; a complete answer clears them. A lost
/// connection to a server that lives on is no evidence. Requests with a suspect run one at a time.
/// After several crashes a suspect is quarantined; when the quarantine ends, or early if it refuses
/// many requests, single requests are tried again, and the next crash starts a longer one. Evidence
/// of several instances can be merged in any order.
///
/// Plain state without a clock. Not thread-safe.
class crash_suspects {
public:
    /// @brief States since when this instance has seen all requests of its services, nothing if it
    /// does not see them all. Without them, it can't tell that a server ended without a part.
    void set_complete_since(std::optional<time_point> since) {
        complete_since_ = since;
    }

    /// @brief Records that a request was granted; `record_loss` needs to know how common parts are.
    void record_request(model_id service, const std::vector<std::uint64_t>& parts, time_point now);

    /// @brief Records that a server ended the connection while it ran a request.
    void record_loss(const server_loss& loss, time_point now);

    /// @brief Records that a server has ended or was restarted. Recent losses on it are crashes.
    void record_end(const server_end& end, time_point now);

    /// @brief Records a complete answer: no part of its prompt crashes servers, and its server was
    /// alive.
    /// @param started  when the request was granted
    void record_completion(server_id server, model_id service,
                           const std::vector<std::uint64_t>& parts, time_point started,
                           time_point now);

    /// @brief Ends the suspicion of a part, as an operator asks for.
    /// @return whether it was suspected
    bool clear(std::uint64_t part, time_point now);

    /// @par Complexity  linear in the parts
    [[nodiscard]] prompt_judgement judge(const std::vector<std::uint64_t>& parts,
                                         time_point now) const;

    /// @brief Counts a request that was refused by the quarantine of a part.
    void record_refusal(std::uint64_t part);

    /// @brief Returns the evidence for other instances, most crashes first.
    [[nodiscard]] suspicion_report report(time_point now);

    /// @brief Adds the evidence of another instance.
    void merge(const suspicion_report& from, time_point now);

    /// @brief Returns the changes since the last call, for logs.
    [[nodiscard]] std::vector<suspicion_change> take_changes();

    /// @brief Returns the quarantines, for operators.
    [[nodiscard]] std::vector<quarantine_summary> quarantines(time_point now) const;

    [[nodiscard]] bool empty() const noexcept {
        return suspects_.empty();
    }
    [[nodiscard]] std::size_t quarantined(time_point now) const;

private:
    [[nodiscard]] bool was_answered(std::uint64_t part, time_point now) const;
    void add_evidence(const server_loss& loss, time_point now);
    [[nodiscard]] suspected_part& find_or_add(std::uint64_t part,
                                              const std::vector<std::uint64_t>& others);
    void report_if_new(const suspected_part& suspect, std::size_t crashes_before);
    /// @brief Number of separate crashes after which a part is quarantined; nothing: never, as
    /// long as the evidence is as it is.
    [[nodiscard]] std::optional<std::size_t> crashes_needed(const suspected_part& of,
                                                            time_point now) const;
    void update_unrelated_ends(suspected_part& target);
    void update_quarantine(suspected_part& target, time_point now);
    void update_all(time_point now);
    void erase_disproved(server_id server, time_point started);
    void add_cleared(std::uint64_t part, time_point at);
    void merge_suspect(const suspected_part& told, time_point now);
    void forget_old(time_point now);
    void evict_weakest();

    std::map<std::uint64_t, suspected_part> suspects_;
    loss_history history_;
    std::optional<time_point> complete_since_{time_point{}};
    std::unordered_map<std::uint64_t, time_point> completed_; ///< time of the last complete answer
    std::unordered_map<std::uint64_t, time_point> cleared_;   ///< suspected before; sent to others
    std::vector<suspicion_change> changes_;
};

} // namespace tarragonspar::dispatch
