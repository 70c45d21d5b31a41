#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "tarragonspar/types/outcome.hpp"
#include "tarragonspar/types/units.hpp"

namespace tarragonspar::telemetry {

/// @brief Times and sizes of one finished request.
struct request_summary {
    tier urgency{};
    std::string workspace;
    std::string kind; ///< `engine` or `service`
    outcome result{outcome::unknown};
    reason why{reason::none};
    bool in_time{false};
    duration queue_wait{};
    duration first_token{}; ///< from the arrival; 0: no token was received
    duration total{};
    std::uint32_t generated{};
    std::uint32_t wasted_prefill{};
};

/// @brief Metrics of one instance, with a bounded number of series.
///
/// There are histograms for each tier and kind. The first workspaces seen, up to a limit, get
/// series under their own name; the others share the label `other`.
class metrics {
public:
    /// @param max_workspaces  workspaces that are shown by name
    explicit metrics(std::size_t max_workspaces = 20);

    /// @brief Records a finished request.
    void record(const request_summary& summary);

    /// @brief Counts a dispatch to a backend server.
    void count_dispatch(tier urgency);

    /// @brief Counts a queued request that was handed to another instance.
    void count_handover();

    /// @brief Records the mean time between tokens of a finished stream.
    void record_token_interval(tier urgency, duration interval);

    /// @brief Sets the number of requests queued in this instance.
    void set_queued(std::size_t count);

    /// @brief Sets the number of prompt parts that are kept from servers.
    void set_quarantined_parts(std::size_t count);

    /// @brief Counts a caller that was refused or closed because of a bound.
    void count_bounded_caller(const std::string& event, const std::string& why);

    /// @brief Sets the number of bytes that callers make this instance hold.
    void set_caller_bytes(std::size_t bytes);

    /// @brief Sets the configuration revision in force.
    void set_revision(std::uint64_t value);

    /// @brief Sets whether the configuration in force is confirmed to be the newest.
    void set_revision_confirmed(bool confirmed);

    /// @brief Sets the state of this instance's control replica.
    /// @param runs  whether its disk can be used
    void set_control_replica(bool runs, bool is_voter, bool leads);

    /// @brief Sets the size of the control group as known to this instance.
    /// @param absent  members that it has no contact with; 0 unless it leads
    void set_control_members(std::size_t voters, std::size_t absent);

    /// @brief Records the publication of a document that an operator sent to this instance.
    void record_publication(bool acknowledged, duration waited);

    /// @brief Records a write of the control replica to its disk, with its sync.
    void record_disk_write(duration taken);

    /// @brief Records how long a query of another instance waited for this control instance.
    void record_query_wait(duration waited);

    /// @brief Counts bytes of documents that were sent to another instance.
    void count_document_bytes(std::size_t bytes);
    /// @brief Counts an answer of a backend server that is not forwarded.
    /// @param why  as in the log line of such an answer
    void count_rejected_answer(std::string_view why);

    /// @brief Counts a stream that a caller takes up.
    /// @param version  what is known of the software version that began it
    void count_stream_taken_up(std::string_view version);

    /// @brief Returns all series in the Prometheus text format.
    [[nodiscard]] std::string expose() const;

private:
    [[nodiscard]] std::string workspace_label(const std::string& workspace);

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Histogram>* queue_wait_;
    prometheus::Family<prometheus::Histogram>* first_token_;
    prometheus::Family<prometheus::Histogram>* token_interval_;
    prometheus::Family<prometheus::Histogram>* total_;
    prometheus::Family<prometheus::Histogram>* workspace_total_;
    prometheus::Family<prometheus::Counter>* outcomes_;
    prometheus::Family<prometheus::Counter>* in_time_;
    prometheus::Family<prometheus::Counter>* dispatches_;
    prometheus::Counter* handovers_;
    prometheus::Counter* wasted_prefill_;
    prometheus::Gauge* queued_;
    prometheus::Gauge* revision_;
    prometheus::Gauge* quarantined_parts_;
    prometheus::Family<prometheus::Counter>* bounded_callers_;
    prometheus::Gauge* caller_bytes_;
    prometheus::Gauge* revision_confirmed_;
    prometheus::Gauge* control_runs_;
    prometheus::Gauge* control_is_voter_;
    prometheus::Gauge* control_leads_;
    prometheus::Gauge* control_voters_;
    prometheus::Gauge* control_absent_members_;
    prometheus::Family<prometheus::Histogram>* publications_;
    prometheus::Family<prometheus::Histogram>* disk_writes_;
    prometheus::Family<prometheus::Histogram>* query_waits_;
    prometheus::Counter* document_bytes_;
    prometheus::Family<prometheus::Counter>* rejected_answers_;
    prometheus::Family<prometheus::Counter>* streams_taken_up_;
    std::size_t max_workspaces_;
    std::mutex mutex_;
    std::map<std::string, bool> labelled_workspaces_;
};

} // namespace tarragonspar::telemetry
