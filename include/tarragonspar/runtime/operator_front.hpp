#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/runtime/config_service.hpp"

namespace tarragonspar::runtime {

/// @brief Serves operators: reading and changing the configuration, status.
class operator_front {
public:
    /// What the front asks of the rest of the instance.
    struct hooks {
        std::function<boost::asio::awaitable<std::string>()> status; ///< a JSON document
        std::function<void(std::set<instance_id>)> cut_off;          ///< null unless for tests
    };

    operator_front(config_service& configuration, std::vector<std::string> tokens, hooks uses);

    /// @brief Handles a request if its path belongs to operators.
    /// @return false when it does not
    boost::asio::awaitable<bool> handle(http::exchange& with);

private:
    [[nodiscard]] bool is_allowed(const http::exchange& with) const;
    boost::asio::awaitable<void> take_change(http::exchange& with);
    boost::asio::awaitable<void> show(http::exchange& with, const std::string& target);
    boost::asio::awaitable<void> take_cut(http::exchange& with);

    config_service& configuration_;
    std::vector<std::string> tokens_;
    hooks uses_;
};

} // namespace tarragonspar::runtime
