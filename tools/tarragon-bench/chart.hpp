#pragma once

#include <string>
#include <vector>

namespace tarragonspar::bench {

/// @brief Collects results and writes them as grouped bar charts.
class chart_data {
public:
    /// @brief Adds the result of one policy in one scenario, in percent.
    void add(const std::string& scenario, const std::string& policy, double top_goodput,
             double total_goodput, double waste);

    /// @brief Writes `top-goodput.svg`, `total-goodput.svg` and `wasted-prefill.svg`.
    void write(const std::string& folder) const;

private:
    struct row {
        std::string scenario;
        std::string policy;
        double values[3]; ///< top-tier goodput, total goodput, wasted prefill
    };
    std::vector<row> rows_;
};

} // namespace tarragonspar::bench
