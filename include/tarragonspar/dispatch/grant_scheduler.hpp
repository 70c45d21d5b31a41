#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/admission/quota.hpp"
#include "tarragonspar/dispatch/draining_servers.hpp"
#include "tarragonspar/dispatch/scheduler.hpp"
#include "tarragonspar/dispatch/stream_versions.hpp"

namespace tarragonspar::dispatch {

/// @brief Permission to send a request to a backend server.
struct grant {
    server_id server;
    std::string server_name; ///< the platform's name of the server
    std::string address;     ///< `IP:port`
    software_id software;    ///< 0: not listed, or granted by an earlier version
};

/// @brief Refusal of a request: it must not be sent to any server.
struct refusal {
    reason why{reason::overloaded};
    duration retry_after{};
    friend bool operator==(const refusal&, const refusal&) = default;
};

using grant_result = std::variant<grant, refusal>;

/// @brief The grant result for one request.
struct decision {
    request_id id;
    grant_result result;
};

/// How the previous grant for a request ended, when its dispatcher asks again.
enum class previous_grant : std::uint8_t {
    none,
    not_connected, ///< no connection to the server; nothing was sent
    server_failed, ///< the server refused, failed or aborted the request
    server_lost,   ///< the server ended the connection, as a crash does
    unused,        ///< a server notice known to the dispatcher forbids it; nothing was sent
};

/// @brief What a server announced about itself in an answer to a dispatcher.
struct server_notice {
    server_id server;
    instance_id dispatcher;          ///< dispatcher that received the answer
    std::optional<duration> backoff; ///< backoff that it asks of that dispatcher; nothing: the
                                     ///< server is draining
};

/// @brief Update about a request, sent by its dispatcher.
struct grant_update {
    enum class stage : std::uint8_t { withdrawn, first_token, done, failed };
    request_id id;
    stage kind{stage::withdrawn};
    token_count generated;
    bool server_fault{false};
    bool server_lost{false};                ///< the server ended the connection, as a crash does
    server_fate fate{server_fate::unknown}; ///< if the server was lost: what became of it
    /// With the first event of a stream that callers may take up: its key, the software version of
    /// its server, and for how long callers may.
    std::uint64_t stream{};
    software_id software;
    duration take_up_time{};
};

/// @brief A request that its dispatcher has sent to a server.
struct running_request {
    work_item work; ///< id, tier, workspace, model and shared parts suffice
    server_id server;
};

/// @brief A dispatcher's periodic report of its open requests.
struct dispatcher_report {
    instance_id dispatcher;
    incarnation started_as;
    std::vector<running_request> running;
    std::vector<std::uint64_t> waiting; ///< sequence numbers
    admission::workspace_usage used;    ///< quota units that its requests used recently
    duration uptime{};                  ///< time since its start; earlier usage is not included
};

/// @brief Returns the options of a scheduler that owns all servers of a service and has no peers.
[[nodiscard]] scheduler_options grant_scheduler_options();

/// @brief Grant scheduler: one queue over all servers of a service. Decides which request may be
/// sent to which server, and when.
///
/// Requests stay with the instance that accepted them (the dispatcher), which alone sends them; the
/// grant scheduler only grants permission. The loss of a grant scheduler, or of a message to or
/// from it, therefore leaves no request's outcome in doubt: the dispatcher asks again, here or at
/// another grant scheduler. The state is soft and is rebuilt from the dispatchers' reports.
struct grant_scheduler {
    struct dispatcher_state {
        incarnation started_as;
        time_point last_seen{};
        admission::workspace_usage used;
        duration uptime{};
        std::map<std::uint64_t, time_point> missing; ///< granted, but not reported since that time
        std::set<std::uint64_t> reported;            ///< open requests in the last report
    };
    scheduler decisions{.options = grant_scheduler_options()};
    std::map<server_id, config::server> servers;
    draining_servers known_draining;
    stream_versions streams;
    admission::quota_table quotas;
    std::map<instance_id, dispatcher_state> dispatchers;
    std::map<instance_id, time_point> last_contact; ///< includes dispatchers that have timed out
};

/// @brief Replaces the list of servers.
void set_servers(grant_scheduler& target, const std::vector<config::server>& servers,
                 time_point now, std::vector<decision>& out);

/// @brief Handles a dispatcher's request for permission to send a request.
/// @param fate  if the previous server was lost: what became of it
void ask(grant_scheduler& target, const work_item& work, previous_grant previous, time_point now,
         std::vector<decision>& out, server_fate fate = server_fate::unknown);

/// @brief Handles a dispatcher's update about a request.
void record(grant_scheduler& target, const grant_update& update, time_point now,
            std::vector<decision>& out);

/// @brief Handles a server notice. A draining server gets no further grants until it has restarted;
/// one that asked a dispatcher to back off gets none for that dispatcher's requests meanwhile.
/// @return false when the server was known to be draining already
bool record(grant_scheduler& target, const server_notice& notice, time_point now,
            std::vector<decision>& out);

/// @brief Handles what another instance was told by a server about its request limit.
/// @return whether the limit is another one than before
bool record(grant_scheduler& target, const limit_statement& told, time_point now);

/// @brief Handles another instance's evidence about prompt parts that crash servers.
void record(grant_scheduler& target, const suspicion_report& report, time_point now,
            std::vector<decision>& out);

/// @brief Returns the server notice that currently forbids a dispatcher to send to a server, if
/// any.
[[nodiscard]] std::optional<server_notice> find_notice(const grant_scheduler& source,
                                                       server_id server, instance_id dispatcher,
                                                       time_point now);

/// @brief Records a request that another grant scheduler granted, so that its slot and speed are
/// tracked here too.
void record_external_grant(grant_scheduler& target, const work_item& work, server_id server,
                           time_point now);

/// @brief Reconciles the recorded requests of a dispatcher with its report.
void reconcile(grant_scheduler& target, const dispatcher_report& report, time_point now,
               std::vector<decision>& out);

/// @brief Restores the quota counts from the usage that all dispatchers reported. Dispatchers that
/// started within the window are assumed to have used as much before their start as the others did;
/// so are those that stopped before they reported here. For time that no dispatcher's report
/// covers, all available units are assumed to be used.
/// @param window    time that the reported usage covers
/// @param expected  number of dispatchers of the previous grant scheduler, 0 if not known
void resume_quotas(grant_scheduler& target, duration window, std::size_t expected, time_point now);

/// @brief Periodic tick: refuses requests whose deadlines can't be met, and expires dispatchers
/// that have stopped reporting.
void tick(grant_scheduler& target, time_point now, std::vector<decision>& out);

/// @brief Returns the dispatchers that reported within the last 4 s, in the order of their ids.
[[nodiscard]] std::vector<instance_id> live_dispatchers(const grant_scheduler& source,
                                                        time_point now);

/// @brief Returns the share of the dispatchers seen in the past 20 s that have reported within the
/// last 900 ms. The others may be partitioned, and then grant their share of the quotas themselves.
[[nodiscard]] double live_dispatcher_share(grant_scheduler& source, time_point now);

} // namespace tarragonspar::dispatch
