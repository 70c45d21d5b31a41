#pragma once

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "tarragonspar/admission/retry_allowance.hpp"
#include "tarragonspar/gateway/caller_log.hpp"
#include "tarragonspar/gateway/control_link.hpp"
#include "tarragonspar/gateway/dialect.hpp"
#include "tarragonspar/gateway/query_handler.hpp"
#include "tarragonspar/gateway/relayed_request.hpp"
#include "tarragonspar/gateway/server_check.hpp"
#include "tarragonspar/gateway/server_directory.hpp"
#include "tarragonspar/http/buffer_budget.hpp"
#include "tarragonspar/http/server.hpp"
#include "tarragonspar/settings/instance_settings.hpp"
#include "tarragonspar/telemetry/metrics.hpp"
#include "tarragonspar/wire/node.hpp"

namespace tarragonspar::gateway {

/// @brief An entry instance: accepts callers' requests and sends each to a backend server itself.
class entry_instance final : private query_handler {
public:
    entry_instance(settings::instance_settings settings, std::unique_ptr<const dialect> protocol);
    ~entry_instance() override;
    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;
    entry_instance(entry_instance&&) = delete;
    entry_instance& operator=(entry_instance&&) = delete;

    /// @brief Binds all addresses and starts serving.
    /// @return an empty string, or the reason why the instance can't start
    [[nodiscard]] std::string start();

    /// @brief Shuts down gracefully: reports that it is not ready, finishes the running requests
    /// and returns.
    void shut_down();
    void reload(const settings::instance_settings& fresh);

private:
    using request_ptr = std::shared_ptr<relayed_request>;

    void on_query(instance_id from, wire::topic about, std::string payload,
                  std::function<void(wire::answer)> reply) override;

    void make_link();
    void on_document(const config::document& newest, const control_link::document_origin& origin);
    /// @brief Whether a catalogue and a list of servers are known.
    [[nodiscard]] bool has_initial_state() const;
    [[nodiscard]] bool is_ready() const;
    void notify_if_initialized();
    [[nodiscard]] dispatch::dispatcher_report open_requests();

    boost::asio::awaitable<void> handle(http::exchange& with);
    boost::asio::awaitable<void> handle_readiness(http::exchange& with);
    /// A request that is refused before it is queued.
    struct rejection {
        http::reply reply;
        std::string id; ///< the caller's
    };
    [[nodiscard]] request_ptr admit(http::exchange& with, time_point arrival, rejection& refused);
    /// @brief Finds the route and the workspace of a request; null if it is refused.
    [[nodiscard]] const config::route* find_route(const caller_request& caller,
                                                  const std::string& target,
                                                  const config::workspace*& workspace,
                                                  rejection& refused);
    /// @brief Refuses a request on its head that `admit` would refuse.
    [[nodiscard]] std::optional<http::reply> check_head(const http::request_message& head);
    [[nodiscard]] bool accepts_requests() const;
    [[nodiscard]] http::reply refuse_while_stopping();
    void log_rejection(const rejection& refused) const;
    /// @brief Refuses a request that the catalogue does not allow: with `status` if the catalogue
    /// is confirmed to be the newest, else so that the caller returns.
    [[nodiscard]] http::reply refuse_by_catalogue(unsigned status, const std::string& why);
    void fill_work(relayed_request& request);
    /// @brief Identifies the stream that a request begins, or that its caller takes up.
    void fill_stream(relayed_request& request);
    /// @brief Records the answer to a request that takes up a stream.
    void record_take_up(relayed_request& request);
    /// @brief Records the first event of an answer. Only servers of the same software version may
    /// continue it from now on.
    void record_first_event(relayed_request& request);
    void watch_caller(const request_ptr& request, http::exchange& with);
    /// @brief Ends the request at its deadline, or before this instance exits.
    void arm_deadline_timer(const request_ptr& request);
    void watch_progress(const request_ptr& request);
    void await_progress(const request_ptr& request);
    void check_progress(const request_ptr& request);
    /// @brief Asks for another server while the quiet one keeps the request: it may still answer,
    /// and there may be no place at another one.
    void request_failover(const request_ptr& request);
    void on_failover_result(const request_ptr& request, const dispatch::grant_result& result);
    /// @brief Moves a request whose server was quiet to the server that was granted instead.
    /// @return whether the request has a new grant
    [[nodiscard]] bool fail_over(const request_ptr& request, attempt_end last);
    void withdraw_failover(relayed_request& request);
    /// @brief Returns the software version of a granted server; 0: the list gives none.
    [[nodiscard]] software_id version_of(const dispatch::grant& given) const;
    static void log_quiet(const relayed_request& request, std::string_view event);
    static void log_request_again(const relayed_request& request, std::string_view cause);
    /// @brief Records what the granted server says of itself in its answer to a request.
    void record_notices(relayed_request& request, unsigned status, const answer_metadata& metadata);
    boost::asio::awaitable<void> relay(request_ptr request, http::exchange& with);
    /// @brief Finds out what became of the server that a request lost.
    boost::asio::awaitable<void> check_lost_server(request_ptr request);
    boost::asio::awaitable<bool> wait_for_grant(request_ptr request,
                                                dispatch::previous_grant previous);
    boost::asio::awaitable<attempt_end> attempt(request_ptr request, http::exchange& with);
    /// @brief Records an answer whose connection failed before its end and returns how the attempt
    /// ended.
    /// @param status  of the answer; 0: its head did not arrive
    [[nodiscard]] attempt_end end_of_broken_answer(const relayed_request& request, unsigned status);
    boost::asio::awaitable<attempt_end> forward_answer(request_ptr request, http::exchange& with,
                                                       http::answer_head head);
    boost::asio::awaitable<attempt_end>
    forward_event_stream(request_ptr request, http::exchange& with, http::answer_head head);
    boost::asio::awaitable<bool> forward_events(request_ptr request, http::exchange& with,
                                                const http::answer_head& head,
                                                const std::vector<http::stream_event>& events);
    boost::asio::awaitable<void> conclude(request_ptr request, http::exchange& with,
                                          attempt_end last);
    /// @brief Whether another server may get the request, apart from the retry allowance.
    [[nodiscard]] static bool is_repeatable(const relayed_request& request, attempt_end last);
    /// @brief Whether another server may get the request; takes from the retry allowance.
    [[nodiscard]] bool may_retry(relayed_request& request, attempt_end last);
    void report_outcome(relayed_request& request, attempt_end end, bool server_fault);
    void record_finished(const relayed_request& request);

    settings::instance_settings settings_;
    std::unique_ptr<const dialect> protocol_;
    incarnation started_as_;
    time_point started_at_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_;
    boost::asio::steady_timer initial_state_timer_; ///< early requests wait for it
    std::thread thread_;
    telemetry::metrics metrics_;
    caller_log caller_log_{metrics_};
    std::shared_ptr<http::caller_guard> guard_;
    std::unique_ptr<wire::node> node_;
    std::shared_ptr<control_link> link_;
    std::shared_ptr<server_directory> directory_;
    server_check server_check_{context_};
    std::shared_ptr<http::server> api_server_;
    std::shared_ptr<http::server> readiness_;
    std::shared_ptr<http::server> metrics_server_;
    std::atomic<bool> shutting_down_{false};
    std::atomic<std::size_t> open_count_{0};
    // The members below are used on the context's thread only.
    std::shared_ptr<const config::catalogue_index> catalogue_;
    config::document document_; ///< the document that `catalogue_` was read from
    std::unordered_map<std::uint64_t, request_ptr> open_requests_;
    time_point shutdown_deadline_{time_point::max()}; ///< a shutdown ends open requests by then
    time_point accept_until_{time_point::max()};      ///< a shutdown accepts no request after it
    std::uint64_t next_sequence_{0};
    admission::retry_allowance retries_;
    admission::usage_window usage_;
    http::buffer_budget answer_buffers_; ///< of all answers that are not forwarded yet
    std::mt19937_64 random_;
};

} // namespace tarragonspar::gateway
