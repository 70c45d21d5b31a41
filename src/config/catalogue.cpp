#include "tarragonspar/config/catalogue.hpp"

#include <numeric>
#include <set>

namespace tarragonspar::config {

namespace {

std::uint64_t total_weight(const route& from) {
    return std::accumulate(from.services.begin(), from.services.end(), std::uint64_t{0},
                           [](auto sum, const auto& item) { return sum + item.weight; });
}

/// Host without an optional port.
std::string_view host_without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

void validate_route(const route& item, const std::set<std::string>& services,
                    std::vector<std::string>& errors) {
    const auto prefix = "route " + item.name + ": ";
    if (item.path_prefix.empty() || item.path_prefix.front() != '/' ||
        item.path_prefix.back() != '/') {
        errors.push_back(prefix + "the path prefix must begin and end with a slash");
    }
    if (item.timeout.count() <= 0) {
        errors.push_back(prefix + "the timeout must be above 0");
    }
    if (total_weight(item) == 0) {
        errors.push_back(prefix + "the weights of its services add up to 0");
    }
    for (const auto& target : item.services) {
        if (!services.contains(target.name)) {
            errors.push_back(prefix + "no service is named " + target.name);
        }
    }
}

} // namespace

std::vector<std::string> validate(const catalogue& value) {
    std::vector<std::string> errors;
    std::set<std::string> services;
    for (const auto& item : value.services) {
        if (!services.insert(item.name).second) {
            errors.push_back("two services are named " + item.name);
        }
    }
    std::set<std::pair<std::string, std::string>> addresses;
    for (const auto& item : value.routes) {
        validate_route(item, services, errors);
        if (!addresses.emplace(item.host, item.path_prefix).second) {
            errors.push_back("route " + item.name + ": another route has its host and prefix");
        }
    }
    std::set<std::string> keys;
    for (const auto& item : value.workspaces) {
        for (const auto& key : item.keys) {
            if (!keys.insert(key).second) {
                errors.push_back("workspace " + item.name + ": one of its keys is held twice");
            }
        }
    }
    return errors;
}

catalogue_index::catalogue_index(catalogue value) : value_(std::move(value)) {
    for (const auto& item : value_.routes) {
        by_host_[item.host].emplace(item.path_prefix, &item);
    }
    for (const auto& item : value_.workspaces) {
        for (const auto& key : item.keys) {
            by_key_.emplace(key, &item);
        }
    }
    for (const auto& item : value_.services) {
        by_service_.emplace(item.name, &item);
    }
}

const route* catalogue_index::find_route(std::string_view host, std::string_view target) const {
    const auto found = by_host_.find(host_without_port(host));
    if (found == by_host_.end()) {
        return nullptr;
    }
    auto path = target.substr(0, target.find('?'));
    while (!path.empty()) {
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto item = found->second.find(std::string(path.substr(0, slash + 1)));
        if (item != found->second.end()) {
            return item->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const workspace* catalogue_index::find_workspace(const std::string& key) const {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

const service* catalogue_index::find_service(const std::string& name) const {
    const auto found = by_service_.find(name);
    return found == by_service_.end() ? nullptr : found->second;
}

const std::string& choose_service(const route& from, std::uint64_t random_value) {
    auto rest = random_value % total_weight(from);
    for (const auto& item : from.services) {
        if (rest < item.weight) {
            return item.name;
        }
        rest -= item.weight;
    }
    return from.services.back().name;
}

std::chrono::milliseconds caller_stall_timeout(const route& value) noexcept {
    constexpr std::chrono::milliseconds minimum{2'000};
    constexpr int objective_multiplier = 4;
    constexpr int gap_multiplier = 8;
    return std::max({minimum, objective_multiplier * value.latency_objective,
                     gap_multiplier * value.gap_objective});
}

bool is_resumable(const route& value) noexcept {
    return value.kind == request_kind::streaming && value.resumable;
}

bool is_idempotent(const route& value) noexcept {
    return value.kind == request_kind::safe ||
           (value.kind == request_kind::streaming && value.resumable);
}

} // namespace tarragonspar::config
