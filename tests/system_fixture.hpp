#pragma once

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "tarragonspar/emulator/fake_server.hpp"
#include "tarragonspar/http/completion_api.hpp"
#include "tarragonspar/http/server.hpp"
#include "tarragonspar/runtime/instance.hpp"

/// @brief Runs instances and fake servers in one process, on the loopback interface.
namespace tarragonspar::testing {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

/// @brief Returns an unused port outside the range of ephemeral ports.
inline std::uint16_t free_port() {
    constexpr std::uint16_t first = 20'000;
    constexpr std::uint16_t count = 12'000;
    static std::uint16_t next = static_cast<std::uint16_t>(::getpid() * 97 % count);
    asio::io_context context;
    while (true) {
        next = static_cast<std::uint16_t>((next + 1) % count);
        const auto port = static_cast<std::uint16_t>(first + next);
        asio::ip::tcp::acceptor probe(context);
        boost::system::error_code error;
        probe.open(asio::ip::tcp::v4(), error);
        probe.bind({asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            return port;
        }
    }
}

/// @brief The response that a caller received.
struct caller_result {
    unsigned status{0}; ///< 0: the connection was lost
    std::string outcome;
    std::string id;
    std::string body;
};

/// @brief Sends one request over a new connection; blocks until the answer is complete.
inline caller_result call(std::uint16_t port, const std::string& method, const std::string& target,
                          const std::string& body = "",
                          const std::map<std::string, std::string>& headers = {}) {
    asio::io_context context;
    caller_result out;
    try {
        boost::beast::tcp_stream stream(context);
        stream.connect({asio::ip::make_address("127.0.0.1"), port});
        // Ends a test whose answer never arrives.
        const timeval limit{.tv_sec = 40, .tv_usec = 0};
        ::setsockopt(stream.socket().native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                     sizeof limit);
        beast_http::request<beast_http::string_body> request{beast_http::string_to_verb(method),
                                                             target, 11};
        request.set(beast_http::field::host, "test");
        for (const auto& [name, value] : headers) {
            request.set(name, value);
        }
        request.keep_alive(false);
        request.body() = body;
        request.prepare_payload();
        beast_http::write(stream, request);
        boost::beast::flat_buffer buffer;
        beast_http::response_parser<beast_http::string_body> parser;
        parser.body_limit(boost::none);
        beast_http::read(stream, buffer, parser);
        out.status = parser.get().result_int();
        out.outcome = std::string(parser.get()[http::outcome_header]);
        out.id = std::string(parser.get()[http::request_id_header]);
        out.body = parser.get().body();
    } catch (const boost::system::system_error&) {
        out.status = 0;
    }
    return out;
}

/// @brief Waits until a condition holds; the limit of 30 s only bounds a failing test.
inline bool wait_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds{30};
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return false;
}

/// @brief A fake backend server on its own thread.
class running_fake {
public:
    running_fake(std::uint16_t port, emulator::fake_options options, const std::string& journal)
        : port_(port), journal_(journal) {
        options.listen = {.address = "127.0.0.1", .port = port};
        options.journal = journal;
        fake_ = std::make_unique<emulator::fake_server>(*context_, options);
        http::server_options listen;
        listen.listen = options.listen;
        server_ = std::make_shared<http::server>(
            *context_, listen, [this](http::exchange& with) { return fake_->handle(with); });
        server_->start();
        thread_ = std::thread([this] { context_->run(); });
    }
    running_fake(const running_fake&) = delete;
    running_fake& operator=(const running_fake&) = delete;
    ~running_fake() {
        stop();
    }

    /// @brief Simulates a crash: all connections are closed.
    void stop() {
        if (thread_.joinable()) {
            context_->stop();
            thread_.join();
            server_.reset();
            fake_.reset();
            context_.reset(); // closes the sockets that its coroutines own
        }
    }

    [[nodiscard]] std::uint16_t port() const {
        return port_;
    }

    /// @brief Number of runs on this server by request id.
    [[nodiscard]] std::map<std::string, int> runs() const {
        std::map<std::string, int> counts;
        std::ifstream in(journal_);
        for (std::string line; std::getline(in, line);) {
            const auto entry = nlohmann::json::parse(line, nullptr, false);
            const auto kind = entry.is_object() ? entry.value("kind", "") : "";
            if (kind == "engine" || kind == "service" || kind == "duplicate") {
                ++counts[entry.value("id", "")];
            }
        }
        return counts;
    }

private:
    std::uint16_t port_;
    std::string journal_;
    std::unique_ptr<asio::io_context> context_{std::make_unique<asio::io_context>(1)};
    std::unique_ptr<emulator::fake_server> fake_;
    std::shared_ptr<http::server> server_;
    std::thread thread_;
};

/// @brief A small deployment of instances and fake servers.
class deployment {
public:
    /// @param domains  failure domain of each instance
    explicit deployment(std::vector<std::string> domains, std::size_t replicas = 1)
        : domains_(std::move(domains)), replicas_(replicas) {
        auto pattern = (std::filesystem::temp_directory_path() / "tarragon-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        for (std::size_t i = 0; i < domains_.size(); ++i) {
            http_ports_.push_back(free_port());
            wire_ports_.push_back(free_port());
        }
        instances_.resize(domains_.size());
        add_profile("fast", 0, 20'000, true);
        add_profile("booking", 0, 20'000, false);
        add_profile("low", 3, 20'000, true);
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment() {
        instances_.clear();
        fakes_.clear();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    void add_profile(const std::string& name, int urgency, int deadline_ms, bool idempotent) {
        configuration_.profiles[name] = {.name = name,
                                         .urgency = {static_cast<std::uint8_t>(urgency)},
                                         .deadline = std::chrono::milliseconds{deadline_ms},
                                         .idempotent = idempotent,
                                         .max_output_tokens = 4096};
    }

    /// @brief Starts a fake server; call before `start`.
    running_fake& add_server(const std::string& domain, const std::string& offers, bool service,
                             emulator::fake_options options = {}) {
        const auto port = free_port();
        const auto number = static_cast<std::uint32_t>(fakes_.size() + 1);
        options.plain_service = service;
        fakes_.push_back(std::make_unique<running_fake>(
            port, options, folder_ + "/journal-" + std::to_string(number)));
        config::server item;
        item.id = {number};
        item.name = "s" + std::to_string(number);
        item.failure_domain = domain;
        item.address = "127.0.0.1:" + std::to_string(port);
        item.kind = service ? config::server_kind::service : config::server_kind::engine;
        item.offers = {offers};
        configuration_.servers[item.id] = item;
        return *fakes_.back();
    }

    void start() {
        for (std::size_t i = 0; i < domains_.size(); ++i) {
            start(i);
        }
        for (std::size_t i = 0; i < domains_.size(); ++i) {
            wait_until([&] { return call(port(i), "GET", "/health").status == 200; });
        }
        wait_until([&] { return has_converged(); });
    }

    void start(std::size_t index) {
        settings::instance_settings own;
        own.id = {static_cast<std::uint32_t>(index + 1)};
        own.failure_domain = domains_[index];
        own.http = {.address = "127.0.0.1", .port = http_ports_[index]};
        own.wire = {.address = "127.0.0.1", .port = wire_ports_[index]};
        own.control = index < replicas_;
        own.test_hooks = true;
        own.shutdown_notice = std::chrono::milliseconds{50};
        if (own.control && replicas_ > 1) {
            own.data_folder = data_folder(index);
        }
        own.configuration = configuration_;
        for (std::size_t i = 0; i < domains_.size(); ++i) {
            if (i == index) {
                continue;
            }
            settings::peer peer;
            peer.id = {static_cast<std::uint32_t>(i + 1)};
            peer.failure_domain = domains_[i];
            peer.wire = {.address = "127.0.0.1", .port = wire_ports_[i]};
            peer.control = i < replicas_;
            own.peers.push_back(peer);
        }
        instances_[index] = std::make_unique<runtime::instance>(std::move(own));
        const auto error = instances_[index]->start();
        if (!error.empty()) {
            throw std::runtime_error(error);
        }
    }

    /// @brief Simulates the crash of an instance: nothing is handed over.
    void kill(std::size_t index) {
        instances_[index].reset();
    }

    void shut_down(std::size_t index) {
        instances_[index]->shut_down();
        instances_[index].reset();
    }

    void wipe_disk(std::size_t index) {
        std::filesystem::remove_all(data_folder(index));
    }

    [[nodiscard]] std::string data_folder(std::size_t index) const {
        return folder_ + "/data-" + std::to_string(index);
    }

    [[nodiscard]] std::uint16_t port(std::size_t index) const {
        return http_ports_[index];
    }

    [[nodiscard]] nlohmann::json status(std::size_t index) const {
        return nlohmann::json::parse(call(port(index), "GET", "/admin/status").body, nullptr,
                                     false);
    }

    [[nodiscard]] std::uint64_t revision_at(std::size_t index) const {
        const auto body = call(port(index), "GET", "/admin/config").body;
        const auto config = nlohmann::json::parse(body, nullptr, false);
        return config.is_object() ? config.value("revision", std::uint64_t{0}) : 0;
    }

    /// @brief Partitions the instances; each list is one side of the partition.
    void partition(const std::vector<std::vector<std::size_t>>& sides) const {
        for (const auto& side : sides) {
            nlohmann::json others = nlohmann::json::array();
            for (const auto& other : sides) {
                for (const auto index : other) {
                    if (&other != &side) {
                        others.push_back(index + 1);
                    }
                }
            }
            for (const auto index : side) {
                call(port(index), "POST", "/admin/test/cut",
                     nlohmann::json{{"peers", others}}.dump());
            }
        }
    }

    [[nodiscard]] const config::configuration& configuration() const {
        return configuration_;
    }

private:
    bool has_converged() const {
        for (std::size_t i = 0; i < domains_.size(); ++i) {
            const auto state = status(i);
            if (!state.is_object()) {
                return false;
            }
            const auto& control = state["control"];
            if (control["replica"] && control.value("leader", 0) == 0) {
                return false;
            }
            for (const auto& member : state["members"]) {
                if (member["status"] != "alive") {
                    return false;
                }
            }
        }
        return true;
    }

    std::vector<std::string> domains_;
    std::size_t replicas_;
    std::string folder_;
    std::vector<std::uint16_t> http_ports_;
    std::vector<std::uint16_t> wire_ports_;
    config::configuration configuration_;
    std::vector<std::unique_ptr<running_fake>> fakes_;
    std::vector<std::unique_ptr<runtime::instance>> instances_;
};

/// @brief Returns the body of a completion request.
inline std::string completion_body(std::uint32_t tokens, bool stream = false) {
    return nlohmann::json{{"model", "m"},
                          {"prompt", "za'atar, twelve sacks"},
                          {"max_tokens", tokens},
                          {"stream", stream}}
        .dump();
}

/// @brief Returns the text that a fake engine generates for a request.
inline std::string expected_text(const std::string& id, std::uint32_t tokens) {
    std::string text;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        text += emulator::token_text(id, i);
    }
    return text;
}

/// @brief Returns the text in the body of a complete completion response.
inline std::string text_of(const caller_result& result) {
    const auto body = nlohmann::json::parse(result.body, nullptr, false);
    return body.is_object() && body.contains("choices")
               ? body["choices"][0].value("text", std::string{})
               : std::string{};
}

/// @brief Runs calls concurrently and returns their results in order.
inline std::vector<caller_result>
call_together(const std::vector<std::function<caller_result()>>& calls) {
    std::vector<caller_result> results(calls.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        threads.emplace_back([&, i] { results[i] = calls[i](); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    return results;
}

} // namespace tarragonspar::testing
