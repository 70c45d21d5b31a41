#include "policies.hpp"

namespace tarragonspar::bench {

const std::vector<std::string>& policy_names() {
    static const std::vector<std::string> names{"round_robin",  "least_reported", "least_inflight",
                                                "power_of_two", "tarragon",       "oracle"};
    return names;
}

std::unique_ptr<policy> make_policy(const std::string& name, std::uint64_t seed) {
    constexpr std::string_view tarragon_prefix = "tarragon";
    if (name.starts_with(tarragon_prefix)) {
        const auto variant =
            name.size() > tarragon_prefix.size() ? name.substr(tarragon_prefix.size() + 1) : "";
        return make_tarragon(variant, seed);
    }
    if (name == "oracle") {
        return make_oracle();
    }
    return make_baseline(name, seed);
}

} // namespace tarragonspar::bench
