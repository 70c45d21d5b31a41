#include "tarragonspar/dispatch/loss_history.hpp"

#include <algorithm>

#include "tarragonspar/dispatch/crash_suspects.hpp"

namespace tarragonspar::dispatch {

namespace {

/// Time for which losses and ends are kept: the server list shows the end of a server some seconds
/// later, and a part's crashes may be as far apart.
constexpr duration history_length = std::chrono::seconds{30};
/// Time within which a loss is due to the end of its server that the list shows.
constexpr duration loss_before_end = std::chrono::seconds{10};
/// Time between the ends of two servers that may have the same cause.
constexpr duration related_ends = std::chrono::seconds{3};
/// Age of requests that tell how common a part is, and how many of a service are kept and needed.
constexpr duration request_age = std::chrono::minutes{1};
constexpr std::size_t max_requests = 64;
constexpr std::size_t min_requests = 20;
/// Bounds on what is kept: the requests of some dozen servers. There are more losses than ends, so
/// that the losses which explain an end are forgotten after it.
constexpr std::size_t max_losses = 256;
constexpr std::size_t max_ends = 128;
constexpr std::size_t max_services = 64;

bool contains(const std::vector<std::uint64_t>& parts, std::uint64_t part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

void loss_history::record_request(model_id service, const std::vector<std::uint64_t>& parts,
                                  time_point now) {
    if (!requests_.contains(service) && requests_.size() >= max_services) {
        requests_.clear(); // services come and go with published documents
    }
    auto& recent = requests_[service];
    recent.push_back({.parts = parts, .at = now});
    if (recent.size() > max_requests) {
        recent.erase(recent.begin());
    }
}

void loss_history::record_loss(const server_loss& loss, time_point now) {
    forget_old(now);
    losses_.push_back(loss);
    if (loss.fate == server_fate::ended) {
        record_end({.server = loss.server, .offers = {loss.service}, .at = loss.at}, now);
    }
}

std::vector<server_loss> loss_history::record_end(const server_end& end, time_point now) {
    forget_old(now);
    const auto known = std::any_of(ends_.begin(), ends_.end(), [&](const server_end& other) {
        return other.server == end.server && end.at - other.at < loss_before_end;
    });
    if (!known) {
        ends_.push_back(end);
    }
    std::vector<server_loss> due;
    for (auto& loss : losses_) {
        if (loss.server != end.server || loss.fate == server_fate::ended ||
            end.at - loss.at > loss_before_end) {
            continue;
        }
        loss.fate = server_fate::ended;
        due.push_back(loss);
    }
    return due;
}

bool loss_history::record_answer(server_id server, time_point started) {
    bool found = false;
    for (auto& loss : losses_) {
        if (loss.server == server && loss.fate == server_fate::unknown && loss.at <= started) {
            loss.fate = server_fate::alive;
            found = true;
        }
    }
    return found;
}

bool loss_history::has_earlier_loss(const server_loss& loss) const {
    return std::any_of(losses_.begin(), losses_.end(), [&](const server_loss& other) {
        return other.request == loss.request && other.at < loss.at;
    });
}

bool loss_history::is_common(model_id service, std::uint64_t part, time_point now) const {
    const auto found = requests_.find(service);
    if (found == requests_.end()) {
        return false;
    }
    std::size_t all = 0;
    std::size_t with_part = 0;
    for (const auto& request : found->second) {
        if (now - request.at > request_age) {
            continue;
        }
        ++all;
        with_part += contains(request.parts, part) ? 1 : 0;
    }
    return all >= min_requests && with_part * 2 > all;
}

std::vector<server_id>
loss_history::ends_without(const suspected_part& suspect, time_point crash, time_point since,
                           const std::function<bool(const server_loss&)>& is_suspected) const {
    std::vector<server_id> out;
    for (const auto& end : ends_) {
        const auto latest = end.from_list ? loss_before_end : related_ends;
        const auto offers = std::find(end.offers.begin(), end.offers.end(), suspect.service);
        // The list shows ends late, so the losses of the first ones may not be known.
        const auto may_lack_losses = end.from_list && end.at < since + loss_before_end;
        if (offers == end.offers.end() || may_lack_losses || end.at < crash - related_ends ||
            end.at > crash + latest) {
            continue;
        }
        const auto is_explained =
            std::any_of(losses_.begin(), losses_.end(), [&](const server_loss& loss) {
                return loss.server == end.server && !loss.parts.empty() &&
                       (contains(loss.parts, suspect.part) || is_suspected(loss));
            });
        if (!is_explained) {
            out.push_back(end.server);
        }
    }
    return out;
}

void loss_history::forget_old(time_point now) {
    const auto erase_oldest = [&](auto& items, std::size_t bound) {
        const auto is_kept = [&](const auto& item) { return now - item.at <= history_length; };
        const auto surplus = items.size() - std::min(items.size(), bound - 1);
        const auto first = std::find_if(items.begin() + static_cast<std::ptrdiff_t>(surplus),
                                        items.end(), is_kept);
        items.erase(items.begin(), first);
    };
    erase_oldest(losses_, max_losses);
    erase_oldest(ends_, max_ends);
}

} // namespace tarragonspar::dispatch
