// Replicas of open groups whose files are damaged.

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>

#include "tarragonspar/runtime/control_service.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::runtime {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

/// Interval between two searches for the group's leader.
constexpr auto leader_search_interval = std::chrono::milliseconds{500};

/// Instances of all members named by the part of the files that could be read.
std::vector<instance_id> named_members(const consensus::durable_state& readable) {
    std::vector<instance_id> out;
    const auto add = [&](const consensus::group& members) {
        for (const auto* ids : {&members.voters, &members.learners}) {
            std::transform(ids->begin(), ids->end(), std::back_inserter(out),
                           consensus::instance_of);
        }
    };
    add(readable.snapshot.members);
    for (const auto& item : readable.entries) {
        if (item.kind == consensus::entry_kind::members) {
            add(consensus::decode_group(item.data));
        }
    }
    return out;
}

} // namespace

std::optional<storage::file_error> control_service::open_store(consensus::durable_state& stored) {
    std::optional<storage::file_error> out;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(opened, control::replica_store::open(options_.data_folder, stored));
            store_.emplace(std::move(opened));
            return {};
        },
        [&](const storage::file_error& failure) { out = failure; },
        [&] { out = storage::file_error{.file = options_.data_folder}; });
    return out;
}

void control_service::handle_damage(const storage::file_error& damage,
                                    const consensus::durable_state& readable) {
    failed_ = true;
    is_damaged_ = true;
    contacts_ = named_members(readable);
    contacts_.insert(contacts_.end(), founders_.begin(), founders_.end());
    contacts_.insert(contacts_.end(), options_.replicas.begin(), options_.replicas.end());
    std::sort(contacts_.begin(), contacts_.end());
    contacts_.erase(std::unique(contacts_.begin(), contacts_.end()), contacts_.end());
    std::erase(contacts_, options_.self);
    telemetry::write(telemetry::log_line("control_files_damaged")
                         .add("file", damage.file)
                         .add("offset", static_cast<std::int64_t>(damage.offset))
                         .add("why", damage.detail));
    asio::post(pool_, [self = weak_from_this()] {
        if (const auto service = self.lock()) {
            service->find_leader();
        }
    });
}

void control_service::find_leader() {
    if (stopped_ || !is_damaged_) {
        return;
    }
    for (const auto peer : contacts_) {
        node_.ask(peer, wire::topic::control_status, "",
                  [self = shared_from_this()](std::optional<wire::answer> status) {
                      asio::post(self->pool_, [self, status] {
                          if (status && status->known) {
                              self->confirm_leader(*status);
                          }
                      });
                  });
    }
    leader_search_timer_.expires_after(leader_search_interval);
    leader_search_timer_.async_wait([self = weak_from_this()](boost::system::error_code error) {
        const auto service = self.lock();
        if (!error && service) {
            service->find_leader();
        }
    });
}

void control_service::confirm_leader(const wire::answer& status) {
    const auto in = json::parse(status.payload, nullptr, false);
    if (!in.is_object() || !in.contains("leader") || !in.at("leader").is_number_unsigned()) {
        return;
    }
    const instance_id leader{in.at("leader").get<std::uint32_t>()};
    if (!is_damaged_ || leader == options_.self) {
        return;
    }
    // Only a leader that a majority confirms now answers this read. That majority does not include
    // this replica, so everything acknowledged is held without its files.
    node_.ask(leader, wire::topic::published, "",
              [self = shared_from_this()](std::optional<wire::answer> newest) {
                  asio::post(self->pool_, [self, newest] {
                      if (newest && newest->known) {
                          self->replace_identity();
                      }
                  });
              });
}

void control_service::replace_identity() {
    if (stopped_ || !is_damaged_) {
        return;
    }
    is_damaged_ = false;
    leader_search_timer_.cancel();
    const auto former = *disk_;
    // Set first: an attempt after a failure must not open a new log under the former identity.
    disk_ = draw_disk_number();
    std::string error;
    leaf::try_handle_all(
        [&] { return control::replica_store::set_aside(options_.data_folder, *disk_); },
        [&](const storage::file_error& failure) { error = describe(failure); },
        [&] { error = "the disk can't be used"; });
    if (!error.empty()) {
        fail(error);
        return;
    }
    telemetry::write(telemetry::log_line("control_files_set_aside")
                         .add("former_disk", former)
                         .add("disk", *disk_));
    failed_ = false;
    start_replica(*disk_, false);
}

} // namespace tarragonspar::runtime
