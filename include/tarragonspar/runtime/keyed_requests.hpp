#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "tarragonspar/http/exchange.hpp"
#include "tarragonspar/runtime/control_service.hpp"
#include "tarragonspar/runtime/coordinator.hpp"
#include "tarragonspar/runtime/snapshot.hpp"

namespace tarragonspar::runtime {

/// @brief A request that must run at most once under its key, however often it is resent.
struct keyed_request {
    std::string key;
    std::string profile;
    std::string workspace;
    std::string model; ///< name of the model or service
    dispatch::call_body call;
    token_count prompt;
    token_count max_output;
    std::string prompt_text; ///< for the prefix cache; empty for plain services
};

/// @brief The final result of a keyed request.
struct keyed_answer {
    outcome result{outcome::unknown};
    reason why{reason::none};
    duration retry_after{};
    std::string request_id;
    unsigned status{200};
    std::string content_type;
    std::string body;
    bool complete{true};     ///< false: the answer was too long to be kept
    bool key_differs{false}; ///< the key was used with another body
    dispatch::answer_finished finished;
};

/// @brief Runs requests under issued keys and under keys chosen by callers.
///
/// An issued key names the instance and incarnation that issued it; only that incarnation
/// dispatches under it. A key chosen by a caller is claimed in the replicated log before its
/// request is dispatched.
class keyed_requests : public std::enable_shared_from_this<keyed_requests> {
public:
    keyed_requests(std::shared_ptr<coordinator> requests, std::shared_ptr<control_service> control,
                   wire::node& node, const snapshot_cell& snapshots, instance_id self,
                   incarnation started_as);

    /// @brief Issues a new key; it needs no consensus.
    [[nodiscard]] std::string issue();

    /// @brief Runs a request under its key, or returns the result of the request that holds the
    /// key.
    boost::asio::awaitable<keyed_answer> run(keyed_request request);

    /// @brief Answers a query of another instance about a key issued here or about a request.
    void on_query(wire::topic about, const std::string& payload,
                  std::function<void(wire::answer)> reply);

private:
    struct issued_key {
        std::uint64_t digest{};
        bool used{false};
    };

    boost::asio::awaitable<keyed_answer> run_issued(keyed_request request, request_id id);
    boost::asio::awaitable<keyed_answer> run_claimed(keyed_request request);
    boost::asio::awaitable<keyed_answer> query_result(idempotency::key_record record,
                                                      std::string key);
    boost::asio::awaitable<keyed_answer> query_issuer(wire::topic about, request_id id,
                                                      std::string payload);
    boost::asio::awaitable<keyed_answer> await_record(std::shared_ptr<request_record> record);
    void use_issued(const keyed_request& request, request_id id,
                    std::function<void(keyed_answer)> done);
    std::shared_ptr<request_record> start(const keyed_request& request, request_id id);
    void settle(const std::string& key, const keyed_answer& answer, request_id id);
    void abandon(request_id id);
    void finish_claim(request_id id);
    void report_result(request_id id, const std::string& key,
                       std::function<void(const keyed_answer&)> send);

    std::shared_ptr<coordinator> requests_;
    std::shared_ptr<control_service> control_;
    wire::node& node_;
    const snapshot_cell& snapshots_;
    instance_id self_;
    incarnation started_as_;
    std::mutex mutex_;
    std::unordered_map<request_id, issued_key> issued_;
    std::deque<request_id> issued_order_;
    /// Claims in flight, with the queries that wait for their result.
    std::unordered_map<request_id, std::vector<std::function<void()>>> claiming_;
    std::set<request_id> abandoned_; ///< possibly claimed, but never dispatched
};

} // namespace tarragonspar::runtime
