#include "tarragonspar/settings/detail/configuration_reader.hpp"

namespace tarragonspar::settings::detail {

namespace {

void read_profile(map_reader& in, config::configuration& out) {
    config::profile item;
    std::uint32_t urgency = tier_count - 1;
    in.required("name", item.name, "a name");
    in.required("tier", urgency, "a tier from 0 (most urgent) to 3");
    if (urgency >= tier_count) {
        in.reject("tier", "a tier from 0 (most urgent) to 3");
        urgency = tier_count - 1;
    }
    item.urgency = {static_cast<std::uint8_t>(urgency)};
    item.deadline = std::chrono::seconds{10};
    read_milliseconds(in, "deadline_ms", item.deadline);
    in.optional("idempotent", item.idempotent, "true or false");
    in.optional("max_output_tokens", item.max_output_tokens, "a number of tokens");
    out.profiles.insert_or_assign(item.name, item);
}

void read_server(map_reader& in, config::configuration& out) {
    config::server item;
    std::string kind = "engine";
    in.required("id", item.id.value, "a number from 1");
    in.required("name", item.name, "a name");
    in.required("failure_domain", item.failure_domain, "the name of a failure domain");
    in.required("address", item.address, "IP:port");
    in.optional("kind", kind, "engine or service");
    if (kind != "engine" && kind != "service") {
        in.reject("kind", "engine or service");
    }
    item.kind = kind == "service" ? config::server_kind::service : config::server_kind::engine;
    in.required("offers", item.offers, "a list of model or service names");
    in.optional("hardware_class", item.hardware_class, "a name");
    in.optional("slots", item.slots, "a number from 1");
    in.optional("checks_fencing", item.checks_fencing, "true or false");
    if (!out.servers.emplace(item.id, item).second) {
        in.reject("id", "an id that no other server has");
    }
}

void read_limit(map_reader& in, config::configuration& out) {
    config::workspace_limit item;
    in.required("workspace", item.workspace, "a name");
    in.required("max_in_system", item.max_in_system, "a number from 1");
    out.limits.insert_or_assign(item.workspace, item);
}

} // namespace

void read_milliseconds(map_reader& in, const std::string& key, std::chrono::milliseconds& out) {
    auto count = static_cast<std::int64_t>(out.count());
    in.optional(key, count, "a number of milliseconds");
    if (count <= 0) {
        in.reject(key, "a number of milliseconds above 0");
        return;
    }
    out = std::chrono::milliseconds{count};
}

void read_configuration(map_reader& in, config::configuration& out) {
    in.each("profiles", [&](map_reader& item) { read_profile(item, out); });
    in.each("servers", [&](map_reader& item) { read_server(item, out); });
    in.each("limits", [&](map_reader& item) { read_limit(item, out); });
}

} // namespace tarragonspar::settings::detail
