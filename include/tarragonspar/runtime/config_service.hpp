#pragma once

#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "tarragonspar/config/state.hpp"

namespace tarragonspar::runtime {

/// @brief Source of the accepted configuration.
class config_service {
public:
    config_service() = default;
    config_service(const config_service&) = delete;
    config_service& operator=(const config_service&) = delete;
    config_service(config_service&&) = delete;
    config_service& operator=(config_service&&) = delete;
    virtual ~config_service() = default;

    /// @brief Proposes a change.
    /// @return the answer, or nothing when it is unknown whether the change was accepted; the same
    /// change may then be resent under its id
    virtual boost::asio::awaitable<std::optional<config::change_answer>>
    propose(config::change change) = 0;

    /// @brief Returns the newest accepted state known to this instance.
    [[nodiscard]] virtual std::shared_ptr<const config::state> current() const = 0;
};

} // namespace tarragonspar::runtime
