#pragma once

#include <string>
#include <vector>

#include "tarragonspar/config/configuration.hpp"
#include "tarragonspar/routing/estimates.hpp"
#include "tarragonspar/routing/prefix_index.hpp"
#include "tarragonspar/routing/window.hpp"
#include "tarragonspar/types/work.hpp"

namespace tarragonspar::routing {

/// @brief What a backend server said about itself; always out of date.
struct load_report {
    std::uint32_t running{};
    std::uint32_t waiting{};
    time_point made_at{};
};

/// @brief All that the owner of a backend server knows about it.
struct server_model {
    server_id id;
    config::server_kind kind{config::server_kind::engine};
    config::server_state state{config::server_state::active};
    domain_name_id failure_domain{}; ///< 0: not described
    std::string hardware_class;
    std::vector<model_id> offers;
    speed_estimate speed;
    prefix_index cache;
    window in_flight_window;
    bool slots_are_exact{false};  ///< the window is what the server admits
    std::uint32_t listed_slots{}; ///< as described, whatever part of them may be used from here
    circuit_breaker breaker;
    bool keep_in_use{false}; ///< too many others are ejected for this one to be left out
    load_report report;
    std::uint32_t in_flight{};
    std::uint64_t pending_prefill{}; ///< prompt tokens dispatched and not yet answered by a token
    double slowness{1.0};            ///< time per token relative to its hardware class
    time_point last_dispatch{};
};

/// @brief Predicted times for a request on a server, counted from the dispatch.
struct prediction {
    duration first_token{};
    duration finish{};
    std::size_t cached_blocks{};
    token_count computed; ///< prompt tokens that the server has to compute
};

/// @brief A model of a server that nothing has been sent to yet.
[[nodiscard]] server_model make_server_model(const config::server& description);

/// @brief Predicts a request's course on a server.
/// @param output  predicted length of the answer
/// @par Complexity  linear in the cached blocks of the prompt
[[nodiscard]] prediction predict(const server_model& server, const work_item& work,
                                 token_count output);

/// @brief The shortest time in which the server could answer if it had nothing else to do.
[[nodiscard]] duration best_case(const server_model& server, const work_item& work,
                                 token_count output);

/// @brief Whether the server's speed was seen, so that a prediction may turn a request away.
[[nodiscard]] bool is_learned(const server_model& server);

/// @brief Whether the server offers a model or service.
[[nodiscard]] bool offers(const server_model& server, model_id model);

/// @brief Whether the server may be given one more request now.
[[nodiscard]] bool has_room(const server_model& server, time_point now);

/// @brief Requests that may be in flight, less for a server slower than its class.
[[nodiscard]] std::uint32_t usable_window(const server_model& server);

/// @brief Whether the server is much slower than its hardware class. Where slots are exact, tokens
/// slow down with the batch, and a slow server that is full still serves more than one that is kept
/// nearly empty; its speed counts in predictions alone.
[[nodiscard]] bool is_straggler(const server_model& server);

} // namespace tarragonspar::routing
