#include "tarragonspar/gateway/reports.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "tarragonspar/gateway/detail/message_codec.hpp"
#include "tarragonspar/types/cbor.hpp"
#include "tarragonspar/wire/codec.hpp"

namespace tarragonspar::gateway {

using nlohmann::json;
using namespace detail;

namespace {

/// Smallest age difference for which a newer list of servers is worth sending; well below the
/// interval between two reads of it.
constexpr duration min_age_gain = std::chrono::milliseconds{200};

json ids(const std::vector<instance_id>& list) {
    auto out = json::array();
    for (const auto id : list) {
        out.push_back(id.value);
    }
    return out;
}

json notice_to_json(const dispatch::server_notice& value) {
    return json::array({value.server.value, value.dispatcher.value,
                        value.backoff ? json(value.backoff->count()) : json()});
}

dispatch::server_notice read_notice(const json& in) {
    dispatch::server_notice value{.server = {in.at(0).get<std::uint32_t>()},
                                  .dispatcher = {in.at(1).get<std::uint32_t>()},
                                  .backoff = std::nullopt};
    if (!in.at(2).is_null()) {
        value.backoff = duration{in.at(2).get<duration::rep>()};
    }
    return value;
}

/// Position of the evidence about prompt parts in reports and updates; instances of an earlier
/// version send none.
constexpr std::size_t suspicions_index = 10;
/// The same for the request limits of servers.
constexpr std::size_t limits_index = 11;
/// The same for whether a report's sender asks for parts of documents, and for the document that an
/// update's sender holds.
constexpr std::size_t document_parts_index = 12;
/// The same for the origins of streams in reports.
constexpr std::size_t streams_index = 13;

dispatch::server_fate read_fate(const json& in) {
    const auto value = in.get<std::uint8_t>();
    return value <= static_cast<std::uint8_t>(dispatch::server_fate::alive)
               ? static_cast<dispatch::server_fate>(value)
               : dispatch::server_fate::unknown;
}

/// Longest time for which callers may take up a stream; bounds what another instance states.
constexpr duration max_take_up_time = std::chrono::minutes{10};

duration read_take_up_time(const json& in) {
    return std::clamp(duration{in.get<duration::rep>()}, duration{}, max_take_up_time);
}

json id_of(const request_id& id) {
    return json::array({id.issuer.value, id.issued_in.value, id.sequence});
}

request_id read_id(const json& in) {
    return {.issuer = {in.at(0).get<std::uint32_t>()},
            .issued_in = {in.at(1).get<std::uint64_t>()},
            .sequence = in.at(2).get<std::uint64_t>()};
}

} // namespace

std::string pack(const entry_report& value, time_point) {
    auto running = json::array();
    for (const auto& item : value.open.running) {
        running.push_back(json::array({item.work.id.sequence, item.server.value,
                                       item.work.urgency.value, item.work.workspace.value,
                                       item.work.model.value, item.work.prompt_parts}));
    }
    auto used = json::array();
    for (const auto& [workspace, spans] : value.open.used) {
        used.push_back(json::array({workspace.value, spans}));
    }
    return cbor::encode(json::array(
        {value.open.dispatcher.value, value.open.started_as.value, std::move(running),
         value.open.waiting, value.document.value, value.servers_fingerprint, std::move(used),
         value.servers_age.count(), value.entry_instances, value.open.uptime.count(),
         cbor::binary(value.packed_suspicions), cbor::binary(value.packed_limits),
         value.reads_document_parts, cbor::binary(value.packed_streams)}));
}

std::optional<entry_report> unpack_report(const std::string& bytes, time_point) {
    return read_cbor(bytes, [](const json& in) {
        entry_report value;
        value.open.dispatcher = {in.at(0).get<std::uint32_t>()};
        value.open.started_as = {in.at(1).get<std::uint64_t>()};
        for (const auto& item : in.at(2)) {
            dispatch::running_request running;
            running.work.id = {.issuer = value.open.dispatcher,
                               .issued_in = value.open.started_as,
                               .sequence = item.at(0).get<std::uint64_t>()};
            running.server = {item.at(1).get<std::uint32_t>()};
            running.work.urgency = {item.at(2).get<std::uint8_t>()};
            running.work.workspace = {item.at(3).get<std::uint64_t>()};
            running.work.model = {item.at(4).get<std::uint64_t>()};
            constexpr std::size_t parts_index = 5; // instances of an earlier version send no parts
            if (item.size() > parts_index) {
                running.work.prompt_parts = item.at(parts_index).get<std::vector<std::uint64_t>>();
            }
            value.open.running.push_back(std::move(running));
        }
        value.open.waiting = in.at(3).get<std::vector<std::uint64_t>>();
        value.document = {in.at(4).get<std::uint64_t>()};
        value.servers_fingerprint = in.at(5).get<std::uint64_t>();
        for (const auto& item : in.at(6)) {
            value.open.used.emplace(workspace_id{item.at(0).get<std::uint64_t>()},
                                    item.at(1).get<admission::usage_slices>());
        }
        value.servers_age = duration{in.at(7).get<duration::rep>()};
        value.entry_instances = in.at(8).get<std::uint32_t>();
        value.open.uptime = duration{in.at(9).get<duration::rep>()};
        if (in.size() > suspicions_index) {
            value.packed_suspicions = cbor::bytes_of(in.at(suspicions_index));
        }
        if (in.size() > limits_index) {
            value.packed_limits = cbor::bytes_of(in.at(limits_index));
        }
        value.reads_document_parts =
            in.size() > document_parts_index && in.at(document_parts_index).get<bool>();
        if (in.size() > streams_index) {
            value.packed_streams = cbor::bytes_of(in.at(streams_index));
        }
        return value;
    });
}

std::string pack(const control_update& value) {
    return cbor::encode(json::array(
        {value.schedules, value.leader ? json(value.leader->value) : json(), ids(value.members),
         value.entry_instances, value.document ? json(*value.document) : json(),
         value.servers_fingerprint, cbor::binary(value.packed_servers), value.servers_age.count(),
         ids(value.peers),
         value.newest ? json::array({value.newest->number.value, value.newest->age.count()})
                      : json(),
         cbor::binary(value.packed_suspicions), cbor::binary(value.packed_limits),
         value.held_document.value}));
}

std::optional<control_update> unpack_control_update(const std::string& bytes,
                                                    config::document_number reported) {
    return read_cbor(bytes, [&](const json& in) {
        control_update value;
        value.schedules = in.at(0).get<bool>();
        if (!in.at(1).is_null()) {
            value.leader = instance_id{in.at(1).get<std::uint32_t>()};
        }
        for (const auto& id : in.at(2)) {
            value.members.push_back({id.get<std::uint32_t>()});
        }
        value.entry_instances = in.at(3).get<std::uint32_t>();
        if (!in.at(4).is_null()) {
            value.document = in.at(4).get<config::document>();
        }
        value.servers_fingerprint = in.at(5).get<std::uint64_t>();
        value.packed_servers = cbor::bytes_of(in.at(6));
        value.servers_age = duration{in.at(7).get<duration::rep>()};
        for (const auto& id : in.at(8)) {
            value.peers.push_back({id.get<std::uint32_t>()});
        }
        constexpr std::size_t newest_index = 9;
        if (in.size() <= newest_index) {
            // A leader of an earlier version does not say what is newest, but sends it unless it
            // was reported.
            if (value.schedules) {
                value.newest = config::newest_document{
                    .number = value.document ? value.document->number : reported};
            }
        } else if (const auto& newest = in.at(newest_index); !newest.is_null()) {
            value.newest = config::newest_document{
                .number = {newest.at(0).get<std::uint64_t>()},
                .age = std::clamp(duration{newest.at(1).get<duration::rep>()}, duration{},
                                  max_stated_age)};
        }
        if (in.size() > suspicions_index) {
            value.packed_suspicions = cbor::bytes_of(in.at(suspicions_index));
        }
        if (in.size() > limits_index) {
            value.packed_limits = cbor::bytes_of(in.at(limits_index));
        }
        if (in.size() > document_parts_index) {
            value.held_document = {in.at(document_parts_index).get<std::uint64_t>()};
        }
        return value;
    });
}

std::string pack(const config::document_part_request& value) {
    return cbor::encode(json::array({value.number.value, value.checksum, value.offset}));
}

std::optional<config::document_part_request>
unpack_document_part_request(const std::string& bytes) {
    return read_cbor(bytes, [](const json& in) {
        return config::document_part_request{.number = {in.at(0).get<std::uint64_t>()},
                                             .checksum = in.at(1).get<std::uint64_t>(),
                                             .offset = in.at(2).get<std::uint64_t>()};
    });
}

std::string pack(const config::document_part& value) {
    return cbor::encode(json::array({value.number.value, value.content_bytes, value.checksum,
                                     value.total, value.offset, cbor::binary(value.bytes)}));
}

std::optional<config::document_part> unpack_document_part(const std::string& bytes) {
    return read_cbor(bytes, [](const json& in) {
        config::document_part value;
        value.number = {in.at(0).get<std::uint64_t>()};
        value.content_bytes = in.at(1).get<std::uint64_t>();
        value.checksum = in.at(2).get<std::uint64_t>();
        value.total = in.at(3).get<std::uint64_t>();
        value.offset = in.at(4).get<std::uint64_t>();
        value.bytes = cbor::bytes_of(in.at(5));
        return value;
    });
}

std::string pack(const std::vector<dispatch::limit_statement>& value, time_point now) {
    if (value.empty()) {
        return {};
    }
    auto statements = json::array();
    for (const auto& item : value) {
        statements.push_back(
            json::array({item.server.value, item.per_second ? json(*item.per_second) : json(),
                         (now - item.at).count()}));
    }
    return cbor::encode(statements);
}

std::optional<std::vector<dispatch::limit_statement>> unpack_limits(const std::string& bytes,
                                                                    time_point now) {
    if (bytes.empty()) {
        return std::nullopt;
    }
    return read_cbor(bytes, [&](const json& in) {
        std::vector<dispatch::limit_statement> value;
        for (const auto& item : in) {
            dispatch::limit_statement told{.server = {item.at(0).get<std::uint32_t>()},
                                           .per_second = std::nullopt,
                                           .at = std::min(now, read_age(item.at(2), now))};
            if (!item.at(1).is_null()) {
                told.per_second = std::max(0.0, item.at(1).get<double>());
            }
            value.push_back(told);
        }
        return value;
    });
}

std::string pack(const std::vector<dispatch::stream_origin>& value, time_point now) {
    if (value.empty()) {
        return {};
    }
    auto origins = json::array();
    for (const auto& item : value) {
        origins.push_back(
            json::array({item.stream, item.software.value, (item.until - now).count()}));
    }
    return cbor::encode(origins);
}

std::optional<std::vector<dispatch::stream_origin>> unpack_streams(const std::string& bytes,
                                                                   time_point now) {
    if (bytes.empty()) {
        return std::nullopt;
    }
    return read_cbor(bytes, [&](const json& in) {
        std::vector<dispatch::stream_origin> value;
        for (const auto& item : in) {
            value.push_back({.stream = item.at(0).get<std::uint64_t>(),
                             .software = {item.at(1).get<std::uint64_t>()},
                             .until = now + read_take_up_time(item.at(2))});
        }
        return value;
    });
}

std::string pack(const grant_request& value, time_point now) {
    return cbor::encode(json::array({static_cast<std::uint8_t>(value.previous),
                                     cbor::binary(wire::pack(value.work, now)),
                                     value.notice ? notice_to_json(*value.notice) : json(),
                                     static_cast<std::uint8_t>(value.fate)}));
}

std::optional<grant_request> unpack_grant_request(const std::string& bytes, time_point now) {
    // Built in separate statements: the compiler destroys an unfinished aggregate within a
    // conditional expression twice when initialising a member throws.
    const auto read = read_cbor(bytes, [&](const json& in) -> std::optional<grant_request> {
        auto work = wire::unpack_work(cbor::bytes_of(in.at(1)), now);
        if (!work) {
            return std::nullopt;
        }
        grant_request value;
        value.work = std::move(*work);
        value.previous = static_cast<dispatch::previous_grant>(in.at(0).get<std::uint8_t>());
        if (!in.at(2).is_null()) {
            value.notice = read_notice(in.at(2));
        }
        constexpr std::size_t fate_index = 3; // instances of an earlier version don't send it
        if (in.size() > fate_index) {
            value.fate = read_fate(in.at(fate_index));
        }
        return value;
    });
    return read ? *read : std::nullopt;
}

std::string pack(const dispatch::server_notice& value) {
    return cbor::encode(notice_to_json(value));
}

std::optional<dispatch::server_notice> unpack_notice(const std::string& bytes) {
    return read_cbor(bytes, read_notice);
}

std::string pack(const dispatch::grant_result& value) {
    if (const auto* given = std::get_if<dispatch::grant>(&value)) {
        return cbor::encode(json::array({true, given->server.value, given->server_name,
                                         given->address, given->software.value}));
    }
    const auto& refused = std::get<dispatch::refusal>(value);
    return cbor::encode(
        json::array({false, static_cast<std::uint8_t>(refused.why), refused.retry_after.count()}));
}

std::optional<dispatch::grant_result> unpack_grant_result(const std::string& bytes) {
    return read_cbor(bytes, [](const json& in) -> dispatch::grant_result {
        if (in.at(0).get<bool>()) {
            constexpr std::size_t software_index =
                4; // instances of an earlier version don't send it
            dispatch::grant given;
            given.server = {in.at(1).get<std::uint32_t>()};
            given.server_name = in.at(2).get<std::string>();
            given.address = in.at(3).get<std::string>();
            if (in.size() > software_index) {
                given.software = {in.at(software_index).get<std::uint64_t>()};
            }
            return given;
        }
        return dispatch::refusal{.why = static_cast<reason>(in.at(1).get<std::uint8_t>()),
                                 .retry_after = duration{in.at(2).get<std::int64_t>()}};
    });
}

std::string pack(const dispatch::grant_update& value) {
    return cbor::encode(
        json::array({id_of(value.id), static_cast<std::uint8_t>(value.kind), value.generated.value,
                     value.server_fault, value.server_lost, static_cast<std::uint8_t>(value.fate),
                     value.stream, value.software.value, value.take_up_time.count()}));
}

std::optional<dispatch::grant_update> unpack_grant_update(const std::string& bytes) {
    return read_cbor(bytes, [](const json& in) {
        dispatch::grant_update value;
        value.id = read_id(in.at(0));
        value.kind = static_cast<dispatch::grant_update::stage>(in.at(1).get<std::uint8_t>());
        value.generated = {in.at(2).get<std::uint32_t>()};
        value.server_fault = in.at(3).get<bool>();
        constexpr std::size_t lost_index = 4; // instances of an earlier version don't send it
        value.server_lost = in.size() > lost_index && in.at(lost_index).get<bool>();
        constexpr std::size_t fate_index = 5;
        if (in.size() > fate_index) {
            value.fate = read_fate(in.at(fate_index));
        }
        constexpr std::size_t stream_index = 6;
        if (in.size() > stream_index) {
            value.stream = in.at(stream_index).get<std::uint64_t>();
            value.software = {in.at(stream_index + 1).get<std::uint64_t>()};
            value.take_up_time = read_take_up_time(in.at(stream_index + 2));
        }
        return value;
    });
}

server_list make_server_list(std::vector<config::server> servers, time_point read) {
    auto packed = cbor::encode(json(servers));
    const auto fingerprint = hash_name(packed);
    return {.servers = std::move(servers),
            .packed = std::move(packed),
            .fingerprint = fingerprint,
            .read = read};
}

void add_server_list(const server_list& known, const entry_report& report, time_point now,
                     control_update& out) {
    out.servers_fingerprint = known.fingerprint;
    out.servers_age = now - known.read;
    const auto newer = out.servers_age + min_age_gain < report.servers_age;
    if (known.fingerprint != 0 && known.fingerprint != report.servers_fingerprint &&
        (newer || report.servers_fingerprint == 0)) {
        out.packed_servers = known.packed;
    }
}

std::optional<std::vector<config::server>> servers_in(const control_update& update) {
    if (update.packed_servers.empty()) {
        return std::nullopt;
    }
    return read_cbor(update.packed_servers,
                     [](const json& in) { return in.get<std::vector<config::server>>(); });
}

} // namespace tarragonspar::gateway
