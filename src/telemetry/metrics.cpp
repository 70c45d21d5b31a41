#include "tarragonspar/telemetry/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace tarragonspar::telemetry {

namespace {

const prometheus::Histogram::BucketBoundaries wait_buckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.1, 2, 5, 10, 30, 60};
const prometheus::Histogram::BucketBoundaries interval_buckets{0.005, 0.01, 0.015, 0.02, 0.025,
                                                               0.033, 0.05, 0.1,   0.2,  0.5};

prometheus::Labels labels_of(tier urgency, const std::string& kind) {
    return {{"tier", std::to_string(urgency.value)}, {"kind", kind}};
}

auto* histogram_family(prometheus::Registry& registry, const std::string& name,
                       const std::string& help) {
    return &prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

auto* counter_family(prometheus::Registry& registry, const std::string& name,
                     const std::string& help) {
    return &prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

auto* gauge(prometheus::Registry& registry, const std::string& name, const std::string& help) {
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

metrics::metrics(std::size_t max_workspaces)
    : registry_(std::make_shared<prometheus::Registry>()),
      queue_wait_(histogram_family(*registry_, "tarragonspar_queue_wait_seconds",
                                   "Time from arrival to dispatch")),
      first_token_(histogram_family(*registry_, "tarragonspar_first_token_seconds",
                                    "Time from arrival to the first token")),
      token_interval_(histogram_family(*registry_, "tarragonspar_token_interval_seconds",
                                       "Mean time between tokens of an answer")),
      total_(histogram_family(*registry_, "tarragonspar_request_seconds",
                              "Time from arrival to the end of the answer")),
      workspace_total_(histogram_family(*registry_, "tarragonspar_workspace_request_seconds",
                                        "Time to the end of the answer by workspace")),
      outcomes_(counter_family(*registry_, "tarragonspar_requests_total", "Requests by outcome")),
      in_time_(counter_family(*registry_, "tarragonspar_in_time_total",
                              "Requests answered before their deadline")),
      dispatches_(counter_family(*registry_, "tarragonspar_dispatches_total",
                                 "Requests written to a backend server")),
      handovers_(&counter_family(*registry_, "tarragonspar_handovers_total",
                                 "Queued requests handed to another instance")
                      ->Add({})),
      wasted_prefill_(&counter_family(*registry_, "tarragonspar_wasted_prefill_tokens_total",
                                      "Prompt tokens computed and then discarded")
                           ->Add({})),
      queued_(gauge(*registry_, "tarragonspar_queued_requests", "Requests waiting here")),
      revision_(gauge(*registry_, "tarragonspar_configuration_revision",
                      "Revision of the configuration in force")),
      quarantined_parts_(gauge(*registry_, "tarragonspar_quarantined_prompt_parts",
                               "Prompt parts that are kept from servers since servers crashed")),
      bounded_callers_(counter_family(*registry_, "tarragonspar_bounded_callers_total",
                                      "Callers refused or closed because of a bound")),
      caller_bytes_(gauge(*registry_, "tarragonspar_caller_bytes",
                          "Bytes that callers make this instance hold")),
      revision_confirmed_(gauge(*registry_, "tarragonspar_configuration_revision_confirmed",
                                "1 while the configuration in force is known to be the newest")),
      control_runs_(gauge(*registry_, "tarragonspar_control_replica_runs",
                          "1 while the control replica's disk can be used")),
      control_is_voter_(gauge(*registry_, "tarragonspar_control_replica_is_voter",
                              "1 while the control replica's log has it as a voter")),
      control_leads_(gauge(*registry_, "tarragonspar_control_replica_leads",
                           "1 while the control replica leads")),
      control_voters_(gauge(*registry_, "tarragonspar_control_voters",
                            "Voters of the control group by the control replica's log")),
      control_absent_members_(gauge(*registry_, "tarragonspar_control_absent_members",
                                    "Members that the leading control replica can't reach")),
      publications_(histogram_family(*registry_, "tarragonspar_publication_seconds",
                                     "Time from an operator's document to its answer")),
      disk_writes_(histogram_family(*registry_, "tarragonspar_control_disk_write_seconds",
                                    "Time of a control replica's write with its sync")),
      query_waits_(histogram_family(*registry_, "tarragonspar_control_query_wait_seconds",
                                    "Time from the arrival of a query to its handling")),
      document_bytes_(&counter_family(*registry_, "tarragonspar_document_bytes_sent_total",
                                      "Bytes of documents sent to other instances")
                           ->Add({})),
      rejected_answers_(counter_family(*registry_, "tarragonspar_rejected_answers_total",
                                       "Answers of backend servers that were not forwarded")),
      streams_taken_up_(
          counter_family(*registry_, "tarragonspar_streams_taken_up_total",
                         "Streams that callers take up, by what is known of their version")),
      max_workspaces_(max_workspaces) {}

std::string metrics::workspace_label(const std::string& workspace) {
    const std::lock_guard lock(mutex_);
    if (labelled_workspaces_.contains(workspace)) {
        return workspace;
    }
    if (labelled_workspaces_.size() >= max_workspaces_) {
        return "other";
    }
    labelled_workspaces_.emplace(workspace, true);
    return workspace;
}

void metrics::record(const request_summary& summary) {
    const auto labels = labels_of(summary.urgency, summary.kind);
    outcomes_
        ->Add({{"tier", std::to_string(summary.urgency.value)},
               {"outcome", std::string(to_string(summary.result))},
               {"reason", std::string(to_string(summary.why))}})
        .Increment();
    if (summary.wasted_prefill > 0) {
        wasted_prefill_->Increment(summary.wasted_prefill);
    }
    if (summary.result != outcome::answered) {
        return;
    }
    if (summary.in_time) {
        in_time_->Add(labels).Increment();
    }
    queue_wait_->Add(labels, wait_buckets).Observe(to_seconds(summary.queue_wait));
    total_->Add(labels, wait_buckets).Observe(to_seconds(summary.total));
    if (summary.first_token.count() > 0) {
        first_token_->Add(labels, wait_buckets).Observe(to_seconds(summary.first_token));
    }
    workspace_total_->Add({{"workspace", workspace_label(summary.workspace)}}, wait_buckets)
        .Observe(to_seconds(summary.total));
}

void metrics::count_dispatch(tier urgency) {
    dispatches_->Add({{"tier", std::to_string(urgency.value)}}).Increment();
}

void metrics::count_handover() {
    handovers_->Increment();
}

void metrics::record_token_interval(tier urgency, duration interval) {
    token_interval_->Add({{"tier", std::to_string(urgency.value)}}, interval_buckets)
        .Observe(to_seconds(interval));
}

void metrics::set_queued(std::size_t count) {
    queued_->Set(static_cast<double>(count));
}

void metrics::set_quarantined_parts(std::size_t count) {
    quarantined_parts_->Set(static_cast<double>(count));
}

void metrics::count_bounded_caller(const std::string& event, const std::string& why) {
    bounded_callers_->Add({{"event", event}, {"why", why}}).Increment();
}

void metrics::set_caller_bytes(std::size_t bytes) {
    caller_bytes_->Set(static_cast<double>(bytes));
}

void metrics::set_revision(std::uint64_t value) {
    revision_->Set(static_cast<double>(value));
}

void metrics::set_revision_confirmed(bool confirmed) {
    revision_confirmed_->Set(confirmed ? 1.0 : 0.0);
}

void metrics::set_control_replica(bool runs, bool is_voter, bool leads) {
    control_runs_->Set(runs ? 1 : 0);
    control_is_voter_->Set(is_voter ? 1 : 0);
    control_leads_->Set(leads ? 1 : 0);
}

void metrics::set_control_members(std::size_t voters, std::size_t absent) {
    control_voters_->Set(static_cast<double>(voters));
    control_absent_members_->Set(static_cast<double>(absent));
}

void metrics::record_publication(bool acknowledged, duration waited) {
    publications_->Add({{"acknowledged", acknowledged ? "true" : "false"}}, wait_buckets)
        .Observe(to_seconds(waited));
}

void metrics::record_disk_write(duration taken) {
    disk_writes_->Add({}, wait_buckets).Observe(to_seconds(taken));
}

void metrics::record_query_wait(duration waited) {
    query_waits_->Add({}, wait_buckets).Observe(to_seconds(waited));
}

void metrics::count_document_bytes(std::size_t bytes) {
    document_bytes_->Increment(static_cast<double>(bytes));
}

void metrics::count_rejected_answer(std::string_view why) {
    rejected_answers_->Add({{"why", std::string(why)}}).Increment();
}

void metrics::count_stream_taken_up(std::string_view version) {
    streams_taken_up_->Add({{"version", std::string(version)}}).Increment();
}

std::string metrics::expose() const {
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace tarragonspar::telemetry
