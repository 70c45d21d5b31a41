// Encodes evidence about prompt parts.

#include <nlohmann/json.hpp>

#include "tarragonspar/gateway/detail/message_codec.hpp"
#include "tarragonspar/gateway/reports.hpp"
#include "tarragonspar/types/cbor.hpp"

namespace tarragonspar::gateway {

using nlohmann::json;
using namespace detail;

namespace {

json suspect_to_json(const dispatch::suspected_part& value, time_point now) {
    auto crashes = json::array();
    for (const auto& crash : value.crashes) {
        crashes.push_back(json::array(
            {crash.server.value, (now - crash.at).count(), crash.follows, crash.confirmed}));
    }
    auto ends = json::array();
    for (const auto server : value.unrelated_ends) {
        ends.push_back(server.value);
    }
    const auto age = [&](time_point at) {
        return at == time_point{} ? json() : json((now - at).count());
    };
    return json::array({value.part, std::move(crashes), value.companions, value.quarantines,
                        (now - value.quarantined_until).count(), age(value.quarantined_since),
                        age(value.lifted_at), value.answered_before, value.others_answered,
                        std::move(ends), value.refusals, value.service.value, value.known_crashes,
                        value.is_own});
}

/// Number of fields of a suspect that instances of an earlier version don't send.
constexpr std::size_t earlier_suspect_size = 5;

void read_suspect_context(const json& in, time_point now, dispatch::suspected_part& out) {
    const auto time = [&](const json& age) {
        return age.is_null() ? time_point{} : read_age(age, now);
    };
    out.quarantined_since = time(in.at(5));
    out.lifted_at = time(in.at(6));
    out.answered_before = in.at(7).get<bool>();
    out.others_answered = in.at(8).get<bool>();
    for (const auto& server : in.at(9)) {
        out.unrelated_ends.push_back({server.get<std::uint32_t>()});
    }
    out.refusals = in.at(10).get<std::uint32_t>();
    out.service = {in.at(11).get<std::uint64_t>()};
    out.known_crashes = in.at(12).get<std::size_t>();
    out.is_own = in.at(13).get<bool>();
}

dispatch::suspected_part read_suspect(const json& in, time_point now) {
    dispatch::suspected_part value;
    value.part = in.at(0).get<std::uint64_t>();
    for (const auto& crash : in.at(1)) {
        value.crashes.push_back({.server = {crash.at(0).get<std::uint32_t>()},
                                 .at = read_age(crash.at(1), now),
                                 // Earlier versions don't send these, and count lost connections
                                 // as crashes.
                                 .follows = crash.size() > 2 && crash.at(2).get<bool>(),
                                 .confirmed = crash.size() > 3 && crash.at(3).get<bool>()});
    }
    value.companions = in.at(2).get<std::vector<std::uint64_t>>();
    value.quarantines = in.at(3).get<std::uint32_t>();
    if (value.quarantines > 0) {
        value.quarantined_until = read_age(in.at(4), now);
    }
    if (in.size() > earlier_suspect_size) {
        read_suspect_context(in, now, value);
    }
    return value;
}

} // namespace

std::string pack(const dispatch::suspicion_report& value, time_point now) {
    if (value.suspects.empty() && value.cleared.empty()) {
        return {};
    }
    auto suspects = json::array();
    for (const auto& suspect : value.suspects) {
        suspects.push_back(suspect_to_json(suspect, now));
    }
    auto cleared = json::array();
    auto ages = json::array();
    for (const auto& item : value.cleared) {
        cleared.push_back(item.part);
        ages.push_back((now - item.at).count());
    }
    return cbor::encode(json::array({std::move(suspects), std::move(cleared), std::move(ages)}));
}

std::optional<dispatch::suspicion_report> unpack_suspicions(const std::string& bytes,
                                                            time_point now) {
    if (bytes.empty()) {
        return std::nullopt;
    }
    return read_cbor(bytes, [&](const json& in) {
        dispatch::suspicion_report value;
        for (const auto& suspect : in.at(0)) {
            value.suspects.push_back(read_suspect(suspect, now));
        }
        constexpr std::size_t ages_index = 2; // instances of an earlier version don't send them
        for (std::size_t i = 0; i < in.at(1).size(); ++i) {
            value.cleared.push_back(
                {.part = in.at(1).at(i).get<std::uint64_t>(),
                 .at = in.size() > ages_index ? read_age(in.at(ages_index).at(i), now) : now});
        }
        return value;
    });
}

} // namespace tarragonspar::gateway
