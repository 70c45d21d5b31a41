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
};

/// @brief What it is told in return.
struct control_news {
    bool schedules{false}; ///< the teller leads the group and grants requests
    std::optional<instance_id> leader;
    std::vector<instance_id> members;
    std::uint32_t entry_instances{};
    std::optional<config::document> document; ///< if newer than the reported one
    std::uint64_t servers_mark{};
    std::optional<std::vector<config::server>> servers; ///< if the mark differs
    duration servers_age{};                             ///< since the list was read
    std::vector<instance_id> peers; ///< some entry instances, to be asked without a leader
};

/// @brief A wish for a grant.
struct grant_question {
    work_item work;
    dispatch::earlier_grant earlier{dispatch::earlier_grant::none};
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
[[nodiscard]] std::string pack(const dispatch::grant_news& value);
[[nodiscard]] std::optional<dispatch::grant_news> unpack_grant_news(const std::string& bytes);

/// @brief A number that differs for lists of servers that differ.
[[nodiscard]] std::uint64_t mark_of(const std::vector<config::server>& servers);

} // namespace tarragonspar::gateway
