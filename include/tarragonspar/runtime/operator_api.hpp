#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/runtime/config_service.hpp"

namespace tarragonspar::runtime {

/// @brief API server of operators: reads and changes the configuration, returns the status.
class operator_api {
public:
    /// Functions of the instance that the API uses.
    struct callbacks {
        std::function<boost::asio::awaitable<std::string>()> status; ///< returns a JSON document
        std::function<void(std::set<instance_id>)> cut_off;          ///< set only in tests
    };

    operator_api(config_service& configuration, std::vector<std::string> tokens,
                 callbacks callbacks_in);

    /// @brief Handles a request if its path belongs to the operators' API.
    /// @return false when it does not
    boost::asio::awaitable<bool> handle(http::exchange& with);

private:
    boost::asio::awaitable<void> handle_change(http::exchange& with);
    boost::asio::awaitable<void> send_resource(http::exchange& with, const std::string& target);
    boost::asio::awaitable<void> handle_cut(http::exchange& with);

    config_service& configuration_;
    std::vector<std::string> tokens_;
    callbacks callbacks_;
};

} // namespace tarragonspar::runtime
