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

/// @brief Leave to send a request to a backend server.
struct grant {
    server_id server;
    std::string server_name; ///< as the platform calls the server
    std::string address;     ///< `IP:port`
};

/// @brief A request that is not to be sent to any server.
struct refusal {
    reason why{reason::overloaded};
    duration retry_after{};
    friend bool operator==(const refusal&, const refusal&) = default;
};

using verdict = std::variant<grant, refusal>;

/// @brief A verdict on a request that was asked about.
struct decision {
    request_id id;
    verdict what;
};

/// How an earlier grant for a request ended, when its holder asks again.
enum class earlier_grant : std::uint8_t {
    none,
    not_connected, ///< the server took no connection; nothing was sent
    server_failed, ///< the server refused, failed or broke off
    unused,        ///< the holder knew that the server wants no work from it; nothing was sent
};

/// @brief What a server said about itself in an answer to a holder.
struct server_notice {
    server_id server;
    instance_id holder;            ///< whom the server told
    std::optional<duration> pause; ///< it wants nothing from that holder for so long; nothing: the
                                   ///< server is leaving
};

/// @brief News about a granted request.
struct grant_news {
    enum class what : std::uint8_t { withdrawn, first_token, done, failed };
    request_id id;
    what kind{what::withdrawn};
    token_count generated;
    bool server_fault{false};
};

/// @brief A request that its holder runs.
struct held_request {
    work_item work; ///< id, tier, workspace and model are enough
    server_id server;
};

/// @brief What a holder has open.
struct holder_report {
    instance_id holder;
    incarnation started_as;
    std::vector<held_request> running;
    std::vector<std::uint64_t> waiting; ///< sequence numbers
    admission::workspace_usage used;    ///< quota units that its requests used lately
    duration up_for{};                  ///< since its start; what it used before is not known to it
};

/// @brief Options of a scheduler that has all servers of a service, and no peers.
[[nodiscard]] scheduler_options desk_options();

/// @brief One queue over all servers of a service: who may send a request, where to, and when.
///
/// Requests stay with the instance that took them (the holder), which alone sends them. The desk
/// only grants. So a lost desk, or a lost message to or from it, leaves no request's outcome in
/// doubt: the holder asks again, here or elsewhere. Its state is soft and is made anew from what
/// holders report.
struct grant_desk {
    struct holder_state {
        incarnation started_as;
        time_point heard{};
        admission::workspace_usage used;
        duration up_for{};
        std::map<std::uint64_t, time_point> missing; ///< granted, but not reported since then
        std::set<std::uint64_t> reported;            ///< open by the last report
    };
    scheduler decisions{.options = desk_options()};
    std::map<server_id, config::server> servers;
    departures leaving;
    admission::quota_table quotas;
    std::map<instance_id, holder_state> holders;
    std::map<instance_id, time_point> last_heard; ///< also of holders that were given up
};

/// @brief Replaces the servers.
void set_servers(grant_desk& target, const std::vector<config::server>& servers, time_point now,
                 std::vector<decision>& out);

/// @brief A holder asks for leave to send a request.
void ask(grant_desk& target, const work_item& work, earlier_grant earlier, time_point now,
         std::vector<decision>& out);

/// @brief A holder tells what became of a request.
void note(grant_desk& target, const grant_news& news, time_point now, std::vector<decision>& out);

/// @brief Notes what a server said about itself: one that leaves gets no further grant until it has
/// started anew, one that asked a holder for a pause gets none for that holder's requests.
/// @return whether that is news
bool note(grant_desk& target, const server_notice& notice, time_point now,
          std::vector<decision>& out);

/// @brief The notice that forbids a holder to send to a server now, if there is one.
[[nodiscard]] std::optional<server_notice> find_notice(const grant_desk& source, server_id server,
                                                       instance_id holder, time_point now);

/// @brief Notes a request that another desk granted, so that speeds and counts are known here too.
void note_elsewhere(grant_desk& target, const work_item& work, server_id server, time_point now);

/// @brief Brings the desk's picture of a holder in line with what the holder says.
void reconcile(grant_desk& target, const holder_report& report, time_point now,
               std::vector<decision>& out);

/// @brief Goes on counting quotas from what all holders say that they used. Holders that started
/// within the window are taken to have used before as much as the others did, and so are those that
/// stopped without having been heard here. Where no holder goes back far enough to tell, all units
/// that there were are taken to be used.
/// @param window    time that the holders' figures cover
/// @param expected  holders that there were under the desk before, if that is known
void resume_quotas(grant_desk& target, duration window, std::size_t expected, time_point now);

/// @brief Time has passed: looks for deadlines that can't be met and holders that went silent.
void tick(grant_desk& target, time_point now, std::vector<decision>& out);

/// @brief Holders heard of lately, in the order of their ids.
[[nodiscard]] std::vector<instance_id> heard_holders(const grant_desk& source, time_point now);

/// @brief Part of the holders of the past minute that are heard now. The others may be cut off, and
/// grant their share of the quotas themselves.
[[nodiscard]] double holder_share(grant_desk& source, time_point now);

} // namespace tarragonspar::dispatch
