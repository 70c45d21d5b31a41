#pragma once

#include <optional>
#include <string>
#include <vector>

#include "tarragonspar/config/document.hpp"
#include "tarragonspar/dispatch/grant_desk.hpp"

namespace tarragonspar::gateway {

/// @brief What an entry instance tells a control instance several times a second, and, while it
/// hears no leader, other entry instances, without its requests.
struct entry_report {
    dispatch::holder_report open;
    config::document_number document; ///< in force at the entry instance
    std::uint64_t servers_mark{};     ///< of the list of servers that it knows
    duration servers_age{};           ///< since that list was read from the platform
    std::uint32_t entry_instances{1}; ///< of the deployment, as the last leader told
};

/// @brief What it is told in return.
struct control_news {
    bool schedules{false}; ///< the teller leads the group and grants requests
    std::optional<instance_id> leader;
    std::vector<instance_id> members;
    std::uint32_t entry_instances{};
    std::optional<config::document> document; ///< if newer than the reported one
    std::uint64_t servers_mark{};
    std::string packed_servers; ///< if the mark differs and the teller's list is younger; or empty
    duration servers_age{};     ///< since the teller's list was read
    std::vector<instance_id> peers; ///< some entry instances, to be asked without a leader
};

/// @brief A wish for a grant.
struct grant_question {
    work_item work;
    dispatch::earlier_grant earlier{dispatch::earlier_grant::none};
    /// Why the earlier grant was not used, if it was not; the scheduler may not know it yet.
    std::optional<dispatch::server_notice> notice;
};

/// @brief Bytes for questions between instances; reading gives nothing for bytes of another form.
[[nodiscard]] std::string pack(const entry_report& value, time_point now);
[[nodiscard]] std::optional<entry_report> unpack_report(const std::string& bytes, time_point now);
[[nodiscard]] std::string pack(const control_news& value);
[[nodiscard]] std::optional<control_news> unpack_news(const std::string& bytes);
[[nodiscard]] std::string pack(const grant_question& value, time_point now);
[[nodiscard]] std::optional<grant_question> unpack_question(const std::string& bytes,
                                                            time_point now);
[[nodiscard]] std::string pack(const dispatch::verdict& value);
[[nodiscard]] std::optional<dispatch::verdict> unpack_verdict(const std::string& bytes);
[[nodiscard]] std::string pack(const dispatch::server_notice& value);
[[nodiscard]] std::optional<dispatch::server_notice> unpack_notice(const std::string& bytes);
[[nodiscard]] std::string pack(const dispatch::grant_news& value);
[[nodiscard]] std::optional<dispatch::grant_news> unpack_grant_news(const std::string& bytes);

/// @brief A list of backend servers, ready to be told to others.
struct server_list {
    std::vector<config::server> servers;
    /// Encoded once for each change: for each of sixty listeners anew, it took most of the leader's
    /// processor time.
    std::string packed;
    std::uint64_t mark{}; ///< differs for lists that differ; 0: no list was ever read
    time_point read{};    ///< when it was read from the platform
};

[[nodiscard]] server_list make_server_list(std::vector<config::server> servers, time_point read);

/// @brief Adds to an answer what the asker's list of servers lacks: nothing if it has the same one
/// or one that was read about as lately.
void tell_servers(const server_list& known, const entry_report& asked, time_point now,
                  control_news& out);

/// @brief The servers that an answer tells, if it tells any.
[[nodiscard]] std::optional<std::vector<config::server>> servers_in(const control_news& news);

} // namespace tarragonspar::gateway
