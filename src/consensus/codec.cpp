#include "tarragonspar/consensus/types.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "tarragonspar/types/cbor.hpp"

namespace tarragonspar::consensus {

namespace {

using nlohmann::json;

json ids_to_json(const std::vector<replica_id>& ids) {
    json list = json::array();
    for (const auto id : ids) {
        list.push_back(id.value);
    }
    return list;
}

std::vector<replica_id> ids_from_json(const json& list) {
    std::vector<replica_id> ids;
    for (const auto& item : list) {
        ids.push_back({item.get<std::uint64_t>()});
    }
    return ids;
}

json group_to_json(const group& value) {
    return json::array({ids_to_json(value.voters), ids_to_json(value.learners)});
}

group group_from_json(const json& in) {
    return {.voters = ids_from_json(in.at(0)), .learners = ids_from_json(in.at(1))};
}

json entry_to_json(const entry& value) {
    return json::array({value.term.value, value.index.value, static_cast<int>(value.kind),
                        cbor::binary(value.data)});
}

entry entry_from_json(const json& in) {
    return {.term = {in.at(0).get<std::uint64_t>()},
            .index = {in.at(1).get<std::uint64_t>()},
            .kind = static_cast<entry_kind>(in.at(2).get<int>()),
            .data = cbor::bytes_of(in.at(3))};
}

json metadata_to_json(const snapshot_metadata& value) {
    return json::array({value.index.value, value.term.value, group_to_json(value.members)});
}

snapshot_metadata metadata_from_json(const json& in) {
    return {.index = {in.at(0).get<std::uint64_t>()},
            .term = {in.at(1).get<std::uint64_t>()},
            .members = group_from_json(in.at(2))};
}

/// Position of the absent members in the array of an append request.
constexpr std::size_t absences_position = 5;
/// Longest absence that is accepted, so that a malformed one can't overflow a time.
constexpr duration max_absence = std::chrono::hours{24};

std::vector<member_absence> absences_from_json(const json& list) {
    std::vector<member_absence> out;
    for (const auto& item : list) {
        const duration age{item.at(1).get<std::int64_t>()};
        out.push_back({.member = {item.at(0).get<std::uint64_t>()},
                       .age = std::clamp(age, duration::zero(), max_absence)});
    }
    return out;
}

/// Converts a message body to the array of its fields; its kind is written separately.
struct body_writer {
    json operator()(const vote_request& value) const {
        return json::array({value.last_index.value, value.last_term.value, value.pre_vote});
    }
    json operator()(const vote_reply& value) const {
        return json::array({value.granted, value.pre_vote});
    }
    json operator()(const append_request& value) const {
        json entries = json::array();
        for (const auto& item : value.entries) {
            entries.push_back(entry_to_json(item));
        }
        json absent = json::array();
        for (const auto& item : value.absent) {
            absent.push_back(json::array({item.member.value, item.age.count()}));
        }
        return json::array({value.previous_index.value, value.previous_term.value, entries,
                            value.commit.value, value.round, absent});
    }
    json operator()(const append_reply& value) const {
        return json::array({value.success, value.match.value, value.round});
    }
    json operator()(const snapshot_chunk& value) const {
        return json::array({metadata_to_json(value.metadata), value.offset, value.total,
                            cbor::binary(value.data), value.round});
    }
    json operator()(const snapshot_reply& value) const {
        return json::array({value.index.value, value.next_offset, value.round});
    }
};

message_body read_body(std::size_t kind, const json& in) {
    switch (kind) {
    case 0:
        return vote_request{.last_index = {in.at(0).get<std::uint64_t>()},
                            .last_term = {in.at(1).get<std::uint64_t>()},
                            .pre_vote = in.at(2).get<bool>()};
    case 1:
        return vote_reply{.granted = in.at(0).get<bool>(), .pre_vote = in.at(1).get<bool>()};
    case 2: {
        append_request value{.previous_index = {in.at(0).get<std::uint64_t>()},
                             .previous_term = {in.at(1).get<std::uint64_t>()},
                             .entries = {},
                             .commit = {in.at(3).get<std::uint64_t>()},
                             .round = in.at(4).get<std::uint64_t>(),
                             .absent = {}};
        for (const auto& item : in.at(2)) {
            value.entries.push_back(entry_from_json(item));
        }
        // Earlier versions don't send absences.
        if (in.size() > absences_position) {
            value.absent = absences_from_json(in.at(absences_position));
        }
        return value;
    }
    case 3:
        return append_reply{.success = in.at(0).get<bool>(),
                            .match = {in.at(1).get<std::uint64_t>()},
                            .round = in.at(2).get<std::uint64_t>()};
    case 4:
        return snapshot_chunk{.metadata = metadata_from_json(in.at(0)),
                              .offset = in.at(1).get<std::uint64_t>(),
                              .total = in.at(2).get<std::uint64_t>(),
                              .data = cbor::bytes_of(in.at(3)),
                              .round = in.at(4).get<std::uint64_t>()};
    default:
        return snapshot_reply{.index = {in.at(0).get<std::uint64_t>()},
                              .next_offset = in.at(1).get<std::uint64_t>(),
                              .round = in.at(2).get<std::uint64_t>()};
    }
}

} // namespace

std::string encode(const std::vector<message>& messages) {
    json list = json::array();
    for (const auto& item : messages) {
        list.push_back(json::array({item.from.value, item.to.value, item.term.value,
                                    item.body.index(), std::visit(body_writer{}, item.body)}));
    }
    return cbor::encode(list);
}

std::vector<message> decode(const std::string& bytes) {
    std::vector<message> messages;
    try {
        // from_cbor() throws some errors even with allow_exceptions = false.
        const auto list = json::from_cbor(bytes);
        for (const auto& item : list) {
            messages.push_back({.from = {item.at(0).get<std::uint64_t>()},
                                .to = {item.at(1).get<std::uint64_t>()},
                                .term = {item.at(2).get<std::uint64_t>()},
                                .body = read_body(item.at(3).get<std::size_t>(), item.at(4))});
        }
    } catch (const json::exception&) {
        return {};
    }
    return messages;
}

std::string encode(const entry& value) {
    return cbor::encode(entry_to_json(value));
}

entry decode_entry(const std::string& bytes) {
    return entry_from_json(json::from_cbor(bytes));
}

std::string encode(const group& value) {
    return cbor::encode(group_to_json(value));
}

group decode_group(const std::string& bytes) {
    return group_from_json(json::from_cbor(bytes));
}

} // namespace tarragonspar::consensus
