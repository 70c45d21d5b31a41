#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tarragonspar/admission/quota.hpp"
#include "tarragonspar/dispatch/departures.hpp"
#include "tarragonspar/dispatch/scheduler.hpp"

namespace tarragonspar::dispatch {

/// @brief Permission to send a request to a backend server.
struct grant {
    server_id server;
    std::string server_name; ///< the platform's name of the server
    std::string address;     ///< `IP:port`
};

/// @brief Refusal of a request: it must not be sent to any server.
struct refusal {
    reason why{reason::overloaded};
    duration retry_after{};
    friend bool operator==(const refusal&, const refusal&) = default;
};

using verdict = std::variant<grant, refusal>;

/// @brief The grant result for one request.
struct decision {
    request_id id;
    verdict what;
};

/// How the previous grant for a request ended, when its dispatcher asks again.
enum class earlier_grant : std::uint8_t {
    none,
    not_connected, ///< no connection to the server; nothing was sent
    server_failed, ///< the server refused, failed or aborted the request
    unused,        ///< a server notice known to the dispatcher forbids it; nothing was sent
};

/// @brief What a server announced about itself in an answer to a dispatcher.
struct server_notice {
    server_id server;
    instance_id holder;            ///< dispatcher that received the answer
    std::optional<duration> pause; ///< backoff that it asks of that dispatcher; nothing: the server
                                   ///< is draining
};

/// @brief Update about a request, sent by its dispatcher.
struct grant_news {
    enum class what : std::uint8_t { withdrawn, first_token, done, failed };
    request_id id;
    what kind{what::withdrawn};
    token_count generated;
    bool server_fault{false};
};

/// @brief A request that its dispatcher has sent to a server.
struct held_request {
    work_item work; ///< id, tier, workspace and model suffice
    server_id server;
};

/// @brief A dispatcher's periodic report of its open requests.
struct holder_report {
    instance_id holder;
    incarnation started_as;
    std::vector<held_request> running;
    std::vector<std::uint64_t> waiting; ///< sequence numbers
    admission::workspace_usage used;    ///< quota units that its requests used recently
    duration up_for{};                  ///< time since its start; earlier usage is not included
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
struct grant_desk {
    struct dispatcher_state {
        incarnation started_as;
        time_point heard{};
        admission::workspace_usage used;
        duration up_for{};
        std::map<std::uint64_t, time_point> missing; ///< granted, but not reported since that time
        std::set<std::uint64_t> reported;            ///< open requests in the last report
    };
    scheduler decisions{.options = grant_scheduler_options()};
    std::map<server_id, config::server> servers;
    draining_servers leaving;
    admission::quota_table quotas;
    std::map<instance_id, dispatcher_state> holders;
    std::map<instance_id, time_point> last_contact; ///< includes dispatchers that have timed out
};

/// @brief Replaces the list of servers.
void set_servers(grant_desk& target, const std::vector<config::server>& servers, time_point now,
                 std::vector<decision>& out);

/// @brief Handles a dispatcher's request for permission to send a request.
void ask(grant_desk& target, const work_item& work, earlier_grant earlier, time_point now,
         std::vector<decision>& out);

/// @brief Handles a dispatcher's update about a request.
void note(grant_desk& target, const grant_news& news, time_point now, std::vector<decision>& out);

/// @brief Handles a server notice. A draining server gets no further grants until it has restarted;
/// one that asked a dispatcher to back off gets none for that dispatcher's requests meanwhile.
/// @return false when the server was known to be draining already
bool note(grant_desk& target, const server_notice& notice, time_point now,
          std::vector<decision>& out);

/// @brief Returns the server notice that currently forbids a dispatcher to send to a server, if
/// any.
[[nodiscard]] std::optional<server_notice> find_notice(const grant_desk& source, server_id server,
                                                       instance_id holder, time_point now);

/// @brief Records a request that another grant scheduler granted, so that its slot and speed are
/// tracked here too.
void note_elsewhere(grant_desk& target, const work_item& work, server_id server, time_point now);

/// @brief Reconciles the recorded requests of a dispatcher with its report.
void reconcile(grant_desk& target, const holder_report& report, time_point now,
               std::vector<decision>& out);

/// @brief Restores the quota counts from the usage that all dispatchers reported. Dispatchers that
/// started within the window are assumed to have used as much before their start as the others did;
/// so are those that stopped before they reported here. For time that no dispatcher's report
/// covers, all available units are assumed to be used.
/// @param window    time that the reported usage covers
/// @param expected  number of dispatchers of the previous grant scheduler, 0 if not known
void resume_quotas(grant_desk& target, duration window, std::size_t expected, time_point now);

/// @brief Periodic tick: refuses requests whose deadlines can't be met, and expires dispatchers
/// that have stopped reporting.
void tick(grant_desk& target, time_point now, std::vector<decision>& out);

/// @brief Returns the dispatchers that reported within the last 4 s, in the order of their ids.
[[nodiscard]] std::vector<instance_id> heard_holders(const grant_desk& source, time_point now);

/// @brief Returns the share of the dispatchers seen in the past 20 s that have reported within the
/// last 900 ms. The others may be partitioned, and then grant their share of the quotas themselves.
[[nodiscard]] double holder_share(grant_desk& source, time_point now);

} // namespace tarragonspar::dispatch
