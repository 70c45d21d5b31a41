#pragma once

#include <string>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/routing/estimates.hpp"
#include "tarragonspar/routing/prefix_index.hpp"
#include "tarragonspar/routing/window.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::routing {

/// @brief A backend server's last load report; always out of date.
struct load_report {
    std::uint32_t running{};
    std::uint32_t waiting{};
    time_point made_at{};
};

/// @brief An owner's state of one of its backend servers.
struct server_model {
    server_id id;
    config::server_kind kind{config::server_kind::engine};
    config::server_state state{config::server_state::active};
    domain_name_id failure_domain{}; ///< 0: not configured
    std::string hardware_class;
    std::vector<model_id> offers;
    speed_estimate speed;
    prefix_index cache;
    window in_flight_window;
    /// The window equals the number of requests that the server admits.
    bool slots_are_exact{false};
    /// Slots in the server's description, of which this owner may be allowed only a part.
    std::uint32_t listed_slots{};
    circuit_breaker breaker;
    bool exempt_from_ejection{false}; ///< since too many others are ejected
    load_report report;
    std::uint32_t in_flight{};
    std::uint64_t pending_prefill{}; ///< prompt tokens of dispatched requests without a first token
    double slowness{1.0};            ///< time per token relative to its hardware class
    time_point last_dispatch{};
    software_id software;          ///< version of its program
    std::uint64_t started_at_ms{}; ///< start time in the server's description; 0: not known
};

/// @brief Predicted times for a request on a server, counted from the dispatch.
struct prediction {
    duration first_token{};
    duration finish{};
    std::size_t cached_blocks{};
    token_count computed; ///< prompt tokens that the server has to compute
};

/// @brief Returns the initial state of a server.
[[nodiscard]] server_model make_server_model(const config::server& description);

/// @brief Predicts the times of a request on a server.
/// @param output  predicted length of the answer
/// @par Complexity  linear in the cached blocks of the prompt
[[nodiscard]] prediction predict(const server_model& server, const work_item& work,
                                 token_count output);

/// @brief Returns the shortest time in which the server could answer if it were idle.
[[nodiscard]] duration best_case(const server_model& server, const work_item& work,
                                 token_count output);

/// @brief Whether enough samples of the server's speed exist to reject a request by a prediction.
[[nodiscard]] bool has_speed_estimate(const server_model& server);

/// @brief Whether the server is idle and has got no request for a second. A request must not be
/// rejected by its estimated speed then: only the answer to another request corrects the estimate.
[[nodiscard]] bool is_estimate_unverified(const server_model& server, time_point now);

/// @brief Whether the server's software version may get a request.
[[nodiscard]] bool may_get(const server_model& server, const work_item& work) noexcept;

/// @brief Whether the server offers a model or service.
[[nodiscard]] bool offers(const server_model& server, model_id model);

/// @brief Whether one more request may be dispatched to the server now.
[[nodiscard]] bool has_free_slot(const server_model& server, time_point now);

/// @brief Returns the number of requests that may be in flight, reduced for a straggler.
[[nodiscard]] std::uint32_t usable_window(const server_model& server);

/// @brief Whether the server is much slower than its hardware class.
///
/// Never true if slots are exact: tokens then slow down with the batch size, and a slow server that
/// is full still serves more than one that is kept nearly empty. Its speed affects predictions
/// only.
[[nodiscard]] bool is_straggler(const server_model& server);

} // namespace tarragonspar::routing
