#pragma once

#include <optional>
#include <string>
#include <vector>

#include "tarragonspar/config/document_tracker.hpp"
#include "tarragonspar/config/document_transfer.hpp"
#include "tarragonspar/dispatch/grant_scheduler.hpp"

namespace tarragonspar::gateway {

/// @brief What an entry instance sends to a control instance several times a second and, without
/// its requests, to other entry instances while it has no leader.
struct entry_report {
    dispatch::dispatcher_report open;
    config::document_number document;    ///< newest one that the entry instance holds
    std::uint64_t servers_fingerprint{}; ///< fingerprint of the list of servers that it knows
    duration servers_age{};              ///< time since that list was read from the platform
    std::uint32_t entry_instances{1}; ///< number in the deployment, as the last leader reported it
    std::string packed_suspicions;    ///< evidence about prompt parts; empty: none
    std::string packed_limits;        ///< request limits that servers named here; empty: none
    std::string packed_streams;       ///< origins of streams that began here; empty: none
    /// Whether it asks for documents part by part. Instances of an earlier version expect them
    /// whole in the answer.
    bool reads_document_parts{true};
};

/// @brief The answer to an `entry_report`.
struct control_update {
    bool schedules{false}; ///< the sender leads the group and grants requests
    std::optional<instance_id> leader;
    std::vector<instance_id> members;
    std::uint32_t entry_instances{};
    /// Set if newer than the reported one, for instances of an earlier version.
    std::optional<config::document> document;
    config::document_number held_document; ///< newest one that the sender can send; 0: none
    std::uint64_t servers_fingerprint{};
    std::string packed_servers; ///< set if the fingerprint differs and the sender's list is newer
    duration servers_age{};     ///< time since the sender's list was read
    std::vector<instance_id> peers; ///< some entry instances to query while there is no leader
    /// What the sender knows of the newest document; nothing if it can't know.
    std::optional<config::newest_document> newest;
    std::string packed_suspicions; ///< evidence about prompt parts; empty: none
    std::string packed_limits;     ///< request limits of servers; empty: none
};

/// @brief A request for a grant.
struct grant_request {
    work_item work;
    dispatch::previous_grant previous{dispatch::previous_grant::none};
    /// Why the previous grant was not used, if it was not. The scheduler may not know the notice
    /// yet.
    std::optional<dispatch::server_notice> notice;
    /// If the server of the previous grant was lost: what became of it.
    dispatch::server_fate fate{dispatch::server_fate::unknown};
};

/// @brief Encodes messages between instances as bytes. The `unpack` functions return nothing for
/// bytes that they can't decode.
[[nodiscard]] std::string pack(const entry_report& value, time_point now);
[[nodiscard]] std::optional<entry_report> unpack_report(const std::string& bytes, time_point now);
[[nodiscard]] std::string pack(const control_update& value);
/// @param reported  document that was stated in the report to which this is the answer
[[nodiscard]] std::optional<control_update>
unpack_control_update(const std::string& bytes, config::document_number reported = {});
/// @return an empty string if there are no statements
[[nodiscard]] std::string pack(const std::vector<dispatch::limit_statement>& value, time_point now);
[[nodiscard]] std::optional<std::vector<dispatch::limit_statement>>
unpack_limits(const std::string& bytes, time_point now);
/// @return an empty string if there are no origins
[[nodiscard]] std::string pack(const std::vector<dispatch::stream_origin>& value, time_point now);
[[nodiscard]] std::optional<std::vector<dispatch::stream_origin>>
unpack_streams(const std::string& bytes, time_point now);
/// @return an empty string if there is no evidence
[[nodiscard]] std::string pack(const dispatch::suspicion_report& value, time_point now);
[[nodiscard]] std::optional<dispatch::suspicion_report> unpack_suspicions(const std::string& bytes,
                                                                          time_point now);
[[nodiscard]] std::string pack(const config::document_part_request& value);
[[nodiscard]] std::optional<config::document_part_request>
unpack_document_part_request(const std::string& bytes);
[[nodiscard]] std::string pack(const config::document_part& value);
[[nodiscard]] std::optional<config::document_part> unpack_document_part(const std::string& bytes);
[[nodiscard]] std::string pack(const grant_request& value, time_point now);
[[nodiscard]] std::optional<grant_request> unpack_grant_request(const std::string& bytes,
                                                                time_point now);
[[nodiscard]] std::string pack(const dispatch::grant_result& value);
[[nodiscard]] std::optional<dispatch::grant_result> unpack_grant_result(const std::string& bytes);
[[nodiscard]] std::string pack(const dispatch::server_notice& value);
[[nodiscard]] std::optional<dispatch::server_notice> unpack_notice(const std::string& bytes);
[[nodiscard]] std::string pack(const dispatch::grant_update& value);
[[nodiscard]] std::optional<dispatch::grant_update> unpack_grant_update(const std::string& bytes);

/// @brief A list of backend servers with its encoded form.
struct server_list {
    std::vector<config::server> servers;
    /// Encoded once for each change. Encoding it anew for each of sixty instances took most of the
    /// leader's processor time.
    std::string packed;
    std::uint64_t fingerprint{}; ///< differs between different lists; 0: no list has been read
    time_point read{};           ///< when it was read from the platform
};

[[nodiscard]] server_list make_server_list(std::vector<config::server> servers, time_point read);

/// @brief Adds the list of servers to an answer, unless the reporting instance has the same list or
/// one that was read at about the same time or later.
void add_server_list(const server_list& known, const entry_report& report, time_point now,
                     control_update& out);

/// @brief Returns the servers in an answer, if it has any.
[[nodiscard]] std::optional<std::vector<config::server>> servers_in(const control_update& update);

} // namespace tarragonspar::gateway
