#include "tarragonspar/control/replica_store.hpp"

#include <cstdio>
#include <filesystem>

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include "tarragonspar/types/cbor.hpp"

namespace tarragonspar::control {

namespace leaf = boost::leaf;

namespace {

using nlohmann::json;

std::string term_record(consensus::term_number term,
                        std::optional<consensus::replica_id> voted_for) {
    return cbor::encode(
        json::array({"term", term.value, voted_for ? json(voted_for->value) : json(nullptr)}));
}

std::string entries_record(consensus::log_index from, const std::vector<consensus::entry>& added) {
    json list = json::array();
    for (const auto& item : added) {
        list.push_back(cbor::binary(consensus::encode(item)));
    }
    return cbor::encode(json::array({"entries", from.value, list}));
}

void replay_entries(const json& in, consensus::durable_state& out) {
    const auto from = in.at(1).get<std::uint64_t>();
    while (!out.entries.empty() && out.entries.back().index.value >= from) {
        out.entries.pop_back();
    }
    for (const auto& item : in.at(2)) {
        auto added = consensus::decode_entry(cbor::bytes_of(item));
        if (added.index > out.snapshot.index) {
            out.entries.push_back(std::move(added));
        }
    }
}

void replay(std::string_view record, consensus::durable_state& out) {
    const auto in = json::from_cbor(record);
    if (in.at(0) == "entries") {
        replay_entries(in, out);
        return;
    }
    out.term = {in.at(1).get<std::uint64_t>()};
    out.voted_for = in.at(2).is_null()
                        ? std::nullopt
                        : std::optional{consensus::replica_id{in.at(2).get<std::uint64_t>()}};
}

std::string log_path(const std::string& folder) {
    return folder + "/log";
}

std::string snapshot_path(const std::string& folder) {
    return folder + "/snapshot";
}

leaf::result<void> read_snapshot(const std::string& folder, consensus::durable_state& out) {
    BOOST_LEAF_AUTO(bytes, storage::read_file(snapshot_path(folder)));
    if (bytes.empty()) {
        return {};
    }
    const auto in = json::from_cbor(bytes);
    out.snapshot.index = {in.at(0).get<std::uint64_t>()};
    out.snapshot.term = {in.at(1).get<std::uint64_t>()};
    out.snapshot.members = consensus::decode_group(cbor::bytes_of(in.at(2)));
    out.snapshot_data = cbor::bytes_of(in.at(3));
    return {};
}

} // namespace

leaf::result<std::optional<std::uint32_t>> replica_store::read_identity(const std::string& folder) {
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    BOOST_LEAF_AUTO(text, storage::read_file(folder + "/identity"));
    if (text.empty()) {
        return std::optional<std::uint32_t>{};
    }
    return std::optional{static_cast<std::uint32_t>(std::stoul(text))};
}

leaf::result<void> replica_store::write_identity(const std::string& folder, std::uint32_t disk) {
    return storage::replace_file(folder + "/identity", std::to_string(disk));
}

leaf::result<void> replica_store::set_aside(const std::string& folder, std::uint32_t disk) {
    // A crash between these steps must not leave the former identity with an empty log, nor a log
    // without the snapshot that it continues.
    BOOST_LEAF_CHECK(write_identity(folder, disk));
    for (const auto& path : {log_path(folder), snapshot_path(folder)}) {
        std::error_code ignored;
        if (!std::filesystem::exists(path, ignored)) {
            continue;
        }
        BOOST_LEAF_CHECK(storage::move_file(path, path + ".damaged"));
    }
    return {};
}

leaf::result<replica_store> replica_store::open(const std::string& folder,
                                                consensus::durable_state& out) {
    BOOST_LEAF_CHECK(read_snapshot(folder, out));
    BOOST_LEAF_AUTO(log, storage::log_file::open(log_path(folder), [&](std::string_view record) {
                        replay(record, out);
                    }));
    return replica_store(folder, std::move(log));
}

void replica_store::add(const consensus::store_term& change) {
    pending_.push_back(term_record(change.term, change.voted_for));
}

void replica_store::add(const consensus::store_entries& change) {
    pending_.push_back(entries_record(change.from, change.added));
}

leaf::result<void> replica_store::sync() {
    BOOST_LEAF_CHECK(log_.append(pending_));
    pending_.clear();
    return {};
}

leaf::result<void> replica_store::store_snapshot(const consensus::replica& from) {
    const auto bytes =
        cbor::encode(json::array({from.snapshot.index.value, from.snapshot.term.value,
                                  cbor::binary(consensus::encode(from.snapshot.members)),
                                  cbor::binary(from.snapshot_data)}));
    BOOST_LEAF_CHECK(storage::replace_file(snapshot_path(folder_), bytes));
    const auto new_path = log_path(folder_) + ".new";
    std::remove(new_path.c_str());
    BOOST_LEAF_AUTO(new_log, storage::log_file::open(new_path, [](std::string_view) {}));
    std::vector<std::string> records{term_record(from.term, from.voted_for)};
    const std::vector<consensus::entry> entries(from.entries.begin(), from.entries.end());
    records.push_back(entries_record({from.snapshot.index.value + 1}, entries));
    BOOST_LEAF_CHECK(new_log.append(records));
    BOOST_LEAF_CHECK(storage::move_file(new_path, log_path(folder_)));
    pending_.clear();
    log_ = std::move(new_log);
    return {};
}

} // namespace tarragonspar::control
