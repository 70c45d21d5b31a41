#pragma once

#include <functional>
#include <memory>

#include "tarragonspar/http/completion_api.hpp"
#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/runtime/control_service.hpp"
#include "tarragonspar/runtime/coordinator.hpp"
#include "tarragonspar/runtime/keyed_requests.hpp"
#include "tarragonspar/runtime/snapshot.hpp"

namespace tarragonspar::runtime {

/// @brief API server of callers: completions, plain services, status of requests.
class caller_api {
public:
    caller_api(std::shared_ptr<coordinator> requests, std::shared_ptr<keyed_requests> keyed,
               std::shared_ptr<control_service> control, const snapshot_cell& snapshots);

    /// @brief Handles a request if its path belongs to the callers' API.
    /// @return false when it does not
    boost::asio::awaitable<bool> handle(http::exchange& with);

    /// @brief Refuses new requests from now on, because the instance is shutting down.
    void stop() {
        stopping_ = true;
    }

private:
    struct caller_choice {
        std::shared_ptr<const snapshot> current; ///< owns `profile`
        const config::profile* profile{};
        std::string workspace;
        std::string error;
        /// The request names a profile that the configuration in force lacks.
        bool unknown_profile{false};
        bool unconfirmed{false}; ///< a newer configuration may have this profile
    };

    [[nodiscard]] caller_choice read_choice(const http::exchange& with) const;
    /// @brief Reads the choice; finds an unknown profile unknown only by a confirmed configuration.
    boost::asio::awaitable<caller_choice> confirm_choice(http::exchange& with);
    [[nodiscard]] work_item make_work(const caller_choice& choice) const;
    boost::asio::awaitable<void> handle_completion(http::exchange& with, bool chat);
    boost::asio::awaitable<void> stream_answer(http::exchange& with,
                                               const http::completion_request& request,
                                               std::shared_ptr<request_record> record,
                                               std::uint64_t position);
    boost::asio::awaitable<void> collect_answer(http::exchange& with,
                                                const http::completion_request& request,
                                                std::shared_ptr<request_record> record);
    boost::asio::awaitable<void> call_service(http::exchange& with, std::string target);
    boost::asio::awaitable<void> relay_service(http::exchange& with,
                                               std::shared_ptr<request_record> record);
    boost::asio::awaitable<void> send_request_status(http::exchange& with, std::string target);
    void watch_connection(http::exchange& with, const std::shared_ptr<request_record>& record,
                          std::uint64_t reader);

    boost::asio::awaitable<void> run_keyed(http::exchange& with, keyed_request request,
                                           std::optional<http::completion_request> completion);

    std::shared_ptr<coordinator> requests_;
    std::shared_ptr<keyed_requests> keyed_;
    std::shared_ptr<control_service> control_;
    const snapshot_cell& snapshots_;
    std::atomic<bool> stopping_{false};
};

} // namespace tarragonspar::runtime
