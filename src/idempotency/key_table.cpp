#include "tarragonspar/idempotency/key_table.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace tarragonspar::idempotency {

namespace {

using nlohmann::json;

void evict_expired(key_table& target) {
    const auto oldest_retained = target.newest_ms - target.options.retention_ms;
    while (!target.by_age.empty() && target.by_age.front().first < oldest_retained) {
        const auto& [claimed_at_ms, key] = target.by_age.front();
        const auto found = target.records.find(key);
        if (found != target.records.end() && found->second.at_ms == claimed_at_ms) {
            target.records.erase(found);
        }
        target.by_age.pop_front();
    }
}

json id_to_json(const request_id& id) {
    return to_string(id);
}

request_id id_from_json(const json& in) {
    return parse_request_id(in.get<std::string>()).value_or(request_id{});
}

json answer_to_json(const stored_answer& value) {
    return json::array({value.status, value.content_type,
                        json::binary({value.body.begin(), value.body.end()}), value.complete});
}

stored_answer answer_from_json(const json& in) {
    const auto& body = in.at(2).get_binary();
    return {.status = in.at(0).get<unsigned>(),
            .content_type = in.at(1).get<std::string>(),
            .body = {body.begin(), body.end()},
            .complete = in.at(3).get<bool>()};
}

} // namespace

claim_answer apply(key_table& target, const claim& new_claim) {
    target.newest_ms = std::max(target.newest_ms, new_claim.at_ms);
    evict_expired(target);
    const auto found = target.records.find(new_claim.key);
    if (found != target.records.end()) {
        const auto digests_match = found->second.digest == new_claim.digest;
        return {.result = digests_match ? claim_result::held : claim_result::differs,
                .record = found->second};
    }
    if (target.records.size() >= target.options.max_keys) {
        return {.result = claim_result::full, .record = {}};
    }
    const key_record record{
        .digest = new_claim.digest, .request = new_claim.request, .at_ms = new_claim.at_ms};
    target.records.emplace(new_claim.key, record);
    target.by_age.emplace_back(new_claim.at_ms, new_claim.key);
    return {.result = claim_result::granted, .record = record};
}

void apply(key_table& target, const settlement& new_settlement) {
    const auto found = target.records.find(new_settlement.key);
    if (found == target.records.end() || found->second.request != new_settlement.request ||
        found->second.result) {
        return;
    }
    if (new_settlement.result == outcome::not_executed) {
        target.records.erase(found);
        return;
    }
    auto& record = found->second;
    record.result = new_settlement.result;
    record.answer = new_settlement.answer;
    if (record.answer.body.size() > target.options.max_answer_bytes) {
        record.answer.body.clear();
        record.answer.complete = false;
    }
}

void to_json(json& out, const claim& value) {
    out = {{"key", value.key},
           {"digest", value.digest},
           {"request", id_to_json(value.request)},
           {"at_ms", value.at_ms}};
}

void from_json(const json& in, claim& value) {
    value.key = in.at("key").get<std::string>();
    value.digest = in.at("digest").get<std::uint64_t>();
    value.request = id_from_json(in.at("request"));
    value.at_ms = in.at("at_ms").get<std::int64_t>();
}

void to_json(json& out, const settlement& value) {
    out = {{"key", value.key},
           {"request", id_to_json(value.request)},
           {"result", static_cast<int>(value.result)},
           {"answer", answer_to_json(value.answer)}};
}

void from_json(const json& in, settlement& value) {
    value.key = in.at("key").get<std::string>();
    value.request = id_from_json(in.at("request"));
    value.result = static_cast<outcome>(in.at("result").get<int>());
    value.answer = answer_from_json(in.at("answer"));
}

void to_json(json& out, const key_record& value) {
    out = {
        {"digest", value.digest}, {"request", id_to_json(value.request)}, {"at_ms", value.at_ms}};
    if (value.result) {
        out["result"] = static_cast<int>(*value.result);
        out["answer"] = answer_to_json(value.answer);
    }
}

void from_json(const json& in, key_record& value) {
    value.digest = in.at("digest").get<std::uint64_t>();
    value.request = id_from_json(in.at("request"));
    value.at_ms = in.at("at_ms").get<std::int64_t>();
    if (in.contains("result")) {
        value.result = static_cast<outcome>(in.at("result").get<int>());
        value.answer = answer_from_json(in.at("answer"));
    }
}

void to_json(json& out, const claim_answer& value) {
    out = {{"result", static_cast<int>(value.result)}, {"record", value.record}};
}

void from_json(const json& in, claim_answer& value) {
    value.result = static_cast<claim_result>(in.at("result").get<int>());
    value.record = in.at("record").get<key_record>();
}

void to_json(json& out, const key_table& value) {
    out = {{"newest_ms", value.newest_ms}, {"records", json::array()}};
    for (const auto& [claimed_at_ms, key] : value.by_age) {
        const auto found = value.records.find(key);
        if (found != value.records.end() && found->second.at_ms == claimed_at_ms) {
            out["records"].push_back(json::array({key, found->second}));
        }
    }
}

void from_json(const json& in, key_table& value) {
    value.newest_ms = in.at("newest_ms").get<std::int64_t>();
    for (const auto& item : in.at("records")) {
        auto key = item.at(0).get<std::string>();
        auto record = item.at(1).get<key_record>();
        value.by_age.emplace_back(record.at_ms, key);
        value.records.emplace(std::move(key), std::move(record));
    }
}

} // namespace tarragonspar::idempotency
