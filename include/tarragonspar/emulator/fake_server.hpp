#pragma once

#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/emulator/engine.hpp"
#include "tarragonspar/http/completion_api.hpp"
#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::emulator {

/// @brief Behaviour of a fake backend server, as set by command-line flags.
struct fake_options {
    settings::endpoint listen{.address = "127.0.0.1", .port = 0};
    std::string journal; ///< file that executed requests are recorded in; empty: none
    engine_options engine;
    bool plain_service{false};
    std::chrono::milliseconds service_time{5}; ///< service time of a plain service
    std::chrono::milliseconds report_lag{300}; ///< age of load reports
    std::uint32_t drop_cache_event_every{0};   ///< omits every n-th event; 0: none
    /// First connection of each stream stalls after n tokens; 0: never.
    std::uint32_t stall_after_tokens{0};
    std::uint32_t repeat_every{0};    ///< sends every n-th piece twice; 0: never
    bool foreign_events{false};       ///< inserts events of another request
    bool checks_fencing{false};       ///< rejects orders with an older fencing number
    std::uint32_t default_output{64}; ///< tokens if the request has no limit
};

/// @brief State of one answer of the fake engine.
struct fake_stream {
    std::string id;
    std::uint32_t generated{};
    std::uint32_t prompt{};
    std::uint32_t cached{};
    bool done{false};
    bool cancelled{false};
    bool stalled{false}; ///< a connection of this stream has already stalled
    /// Cancelled at every change to wake up waiting connections.
    std::unique_ptr<boost::asio::steady_timer> changed;
};

/// @brief The fake engine with its HTTP interface; runs on a single thread.
class fake_server {
public:
    fake_server(boost::asio::io_context& context, const fake_options& options);

    /// @brief Handles one request.
    boost::asio::awaitable<void> handle(http::exchange& with);

private:
    struct past_report {
        time_point made_at;
        std::uint32_t running{};
        std::uint32_t waiting{};
    };
    struct cache_event {
        std::uint64_t sequence{};
        cache_change change;
    };

    boost::asio::awaitable<void> run_completion(http::exchange& with, bool chat);
    boost::asio::awaitable<void>
    send_stream(http::exchange& with, std::shared_ptr<fake_stream> stream, std::uint32_t offset);
    boost::asio::awaitable<void> resume(http::exchange& with, const std::string& target);
    boost::asio::awaitable<void> cancel(http::exchange& with, const std::string& target);
    boost::asio::awaitable<void> send_load_report(http::exchange& with, const std::string& target);
    boost::asio::awaitable<void> run_service(http::exchange& with);
    boost::asio::awaitable<void> handle_order(http::exchange& with);
    boost::asio::awaitable<void> wait_for_change(fake_stream& stream);
    void start_job(const std::shared_ptr<fake_stream>& stream,
                   const http::completion_request& request);
    void schedule_step();
    void run_step();
    void record_report();
    void write_journal(const std::string& line);
    void evict_old_streams();

    fake_options options_;
    engine engine_;
    boost::asio::steady_timer step_timer_;
    std::unordered_map<std::string, std::shared_ptr<fake_stream>> streams_;
    std::deque<std::string> stream_order_;
    std::map<request_id, std::shared_ptr<fake_stream>> jobs_;
    std::deque<past_report> reports_;
    std::deque<cache_event> cache_events_;
    std::uint64_t cache_sequence_{0};
    std::uint64_t next_job_{0};
    std::uint64_t newest_fence_{0};
    std::ofstream journal_;
};

/// @brief Returns the text of one token of an answer. It is the same for every engine, so that
/// tests can check that an answer is complete and belongs to its request.
[[nodiscard]] std::string token_text(const std::string& id, std::uint32_t index);

} // namespace tarragonspar::emulator
