#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

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
    friend bool operator==(const server_crash&, const server_crash&) = default;
};

/// @brief A prompt part under which servers were lost and that was never part of a complete answer.
struct suspected_part {
    std::uint64_t part{};
    std::vector<server_crash> crashes; ///< oldest first; only the newest are kept
    /// Other parts that all of the lost requests had; any of them may be the cause instead.
    std::vector<std::uint64_t> companions;
    std::uint32_t quarantines{};    ///< how often it was put into quarantine
    time_point quarantined_until{}; ///< zero: never quarantined
};

/// @brief Evidence about prompt parts, as instances send it to each other.
struct suspicion_report {
    std::vector<suspected_part> suspects;
    std::vector<std::uint64_t> cleared; ///< no longer suspected: answers with them were complete
};

/// @brief A change of what is believed of a part.
struct suspicion_change {
    enum class kind : std::uint8_t { suspected, quarantined, cleared };
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

/// @brief Finds prompt parts that crash servers ("queries of death") and keeps them from servers.
///
/// The last part of a prompt stands for the request as a whole, so that a request that crashes
/// servers by itself is found as well when it is repeated.
///
/// A request that loses its server makes its parts suspects; one whose answer is complete clears
/// them. Requests with a suspect run one at a time. After several crashes a suspect is
/// quarantined; when the quarantine ends, single requests are tried again, and the next crash
/// starts a longer one. Evidence of several instances can be merged in any order.
///
/// Plain state without a clock. Not thread-safe.
class crash_suspects {
public:
    /// @brief Records that a server was lost while it ran a request.
    /// @param parts    see `work_item::prompt_parts`
    /// @param started  when the request was granted; requests that were granted before a loss was
    /// noticed belong to that loss
    void record_crash(server_id server, const std::vector<std::uint64_t>& parts, time_point started,
                      time_point now);

    /// @brief Records a complete answer: no part of its prompt crashes servers.
    void record_completion(const std::vector<std::uint64_t>& parts, time_point now);

    /// @brief Ends the suspicion of a part, as an operator asks for.
    /// @return whether it was suspected
    bool clear(std::uint64_t part, time_point now);

    /// @par Complexity  linear in the parts
    [[nodiscard]] prompt_judgement judge(const std::vector<std::uint64_t>& parts,
                                         time_point now) const;

    /// @brief Returns the evidence for other instances, most crashes first.
    [[nodiscard]] suspicion_report report(time_point now);

    /// @brief Adds the evidence of another instance.
    void merge(const suspicion_report& from, time_point now);

    /// @brief Returns the changes since the last call, for logs.
    [[nodiscard]] std::vector<suspicion_change> take_changes();

    [[nodiscard]] bool empty() const noexcept {
        return suspects_.empty();
    }
    [[nodiscard]] std::size_t quarantined(time_point now) const;

private:
    [[nodiscard]] bool is_cleared(std::uint64_t part, time_point now) const;
    [[nodiscard]] suspected_part& find_or_add(std::uint64_t part,
                                              const std::vector<std::uint64_t>& others);
    /// @brief Reports a part that has just become a suspect.
    void report_new(const suspected_part& suspect, bool is_new);
    void update_quarantine(suspected_part& target, time_point now);
    void add_cleared(std::uint64_t part, time_point now);
    void forget_old(time_point now);
    void evict_weakest();

    std::map<std::uint64_t, suspected_part> suspects_;
    std::unordered_map<std::uint64_t, time_point> completed_; ///< time of the last complete answer
    std::unordered_map<std::uint64_t, time_point> cleared_;   ///< suspected before; sent to others
    std::vector<suspicion_change> changes_;
};

} // namespace tarragonspar::dispatch
