#pragma once

#include <atomic>
#include <mutex>

#include "platform_dialect.hpp"
#include "system_fixture.hpp"
#include "tarragonspar/gateway/control_instance.hpp"
#include "tarragonspar/gateway/entry_instance.hpp"

/// @brief A deployment on the users' platform in one process: control and entry instances, the
/// platform's list and scripted backend servers.
namespace tarragonspar::testing {

/// @brief A request as a backend server received it.
struct received_request {
    std::string start; ///< method and target
    std::map<std::string, std::string> headers;
    std::string body;
};

/// @brief A backend server that answers each connection with a script.
class scripted_server {
public:
    /// Called with the request and the socket for the answer; the connection closes when it
    /// returns.
    using script = std::function<void(const received_request&, asio::ip::tcp::socket&)>;

    /// @param reads_body      whether it reads the whole request before it answers
    /// @param receive_buffer  size of the sockets' receive buffers; 0: the system's default
    scripted_server(std::string name, script answer, bool reads_body = true, int receive_buffer = 0)
        : name_(std::move(name)), answer_(std::move(answer)), reads_body_(reads_body),
          acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
          endpoint_(acceptor_.local_endpoint()) {
        if (receive_buffer > 0) {
            acceptor_.set_option(asio::socket_base::receive_buffer_size(receive_buffer));
        }
        thread_ = std::thread([this] { run(); });
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    ~scripted_server() {
        stopping_ = true;
        boost::system::error_code ignored;
        asio::ip::tcp::socket last(context_);
        last.connect(endpoint_, ignored); // ends a blocking accept
        thread_.join();
        for (auto& thread : connections_) {
            thread.join();
        }
    }

    [[nodiscard]] std::vector<received_request> seen() const {
        const std::lock_guard lock(mutex_);
        return seen_;
    }
    [[nodiscard]] const std::string& name() const {
        return name_;
    }
    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(endpoint_.port());
    }

    /// Refuses connections from now on, as after a crash, and starts again after a time. Called
    /// from the script, before it breaks its own connection.
    void crash(std::chrono::milliseconds down = std::chrono::milliseconds{100}) {
        down_for_ = down;
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    }

private:
    void start_again() {
        std::this_thread::sleep_for(down_for_.load());
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        acceptor_.open(endpoint_.protocol(), ignored);
        acceptor_.set_option(asio::socket_base::reuse_address(true), ignored);
        acceptor_.bind(endpoint_, ignored);
        acceptor_.listen(asio::socket_base::max_listen_connections, ignored);
    }

    void run() {
        while (!stopping_) {
            asio::ip::tcp::socket socket(context_);
            boost::system::error_code error;
            acceptor_.accept(socket, error);
            if (error && !stopping_) {
                start_again();
            }
            if (error || stopping_) {
                continue;
            }
            connections_.emplace_back([this, held = std::make_shared<asio::ip::tcp::socket>(
                                                 std::move(socket))] { serve(*held); });
        }
    }

    void serve(asio::ip::tcp::socket& socket) {
        boost::beast::flat_buffer buffer;
        beast_http::request_parser<beast_http::string_body> parser;
        parser.body_limit(boost::none);
        boost::system::error_code error;
        if (reads_body_) {
            beast_http::read(socket, buffer, parser, error);
        } else {
            beast_http::read_header(socket, buffer, parser, error);
        }
        if (error) {
            return;
        }
        const auto& request = parser.get();
        received_request received;
        received.start = std::string(request.method_string()) + " " + std::string(request.target());
        for (const auto& field : request) {
            received.headers.emplace(field.name_string(), field.value());
        }
        received.body = request.body();
        {
            const std::lock_guard lock(mutex_);
            seen_.push_back(received);
        }
        answer_(received, socket);
    }

    std::string name_;
    script answer_;
    bool reads_body_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    const asio::ip::tcp::endpoint endpoint_;
    std::atomic<std::chrono::milliseconds> down_for_{std::chrono::milliseconds{0}};
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::vector<received_request> seen_;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

/// @brief Writes bytes unchanged.
inline void write_raw(asio::ip::tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
}

/// @brief Returns a complete answer with a length, as a healthy server sends it.
inline std::string complete_answer(const received_request& to, const std::string& body,
                                   const std::string& status = "200 OK") {
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + to.headers.at("Attempt-Id") +
           "\r\nResponse-Signature: sig\r\nX-Server: kept\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief Returns the head of an event stream in chunked encoding.
inline std::string stream_head(const received_request& to, const std::string& signature) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + to.headers.at("Attempt-Id") +
           "\r\nResponse-Signature: " + signature +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string& bytes) {
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

inline std::string event_text(int id) {
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

/// @brief Runs control instances on 127.N.1.x and entry instances on 127.N.2.x. Each test process
/// uses another N, since several run at once and all instances of a deployment use the same port.
class platform_deployment {
public:
    explicit platform_deployment(int controls = 1, int entries = 1)
        : wire_port_(free_port()), control_port_(free_port()), api_port_(free_port()),
          ready_port_(free_port()), metrics_port_(free_port()),
          folder_(std::filesystem::temp_directory_path() /
                  ("tarragon-platform-" + std::to_string(::getpid()) + "-" +
                   std::to_string(wire_port_))) {
        std::filesystem::create_directories(folder_);
        http::server_options listen;
        listen.listen = {.address = "127.0.0.1", .port = 0};
        list_ = std::make_shared<http::server>(
            list_context_, listen, [this](http::exchange& with) -> asio::awaitable<void> {
                http::reply out;
                out.body = list_body();
                co_await with.respond(std::move(out));
            });
        list_->start();
        list_thread_ = std::thread([this] { list_context_.run(); });
        controls_.resize(controls);
        entries_.resize(entries);
    }
    platform_deployment(const platform_deployment&) = delete;
    platform_deployment& operator=(const platform_deployment&) = delete;
    ~platform_deployment() {
        entries_.clear();
        controls_.clear();
        list_context_.stop();
        list_thread_.join();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    /// @param name  listed instead of the server's own name, so that one may stand for several
    void add_server(const scripted_server& server, const std::string& service,
                    const std::string& state = "ready", const std::string& name = {},
                    std::size_t slots = 4, const std::string& version = "v1") {
        const std::lock_guard lock(mutex_);
        listed_.push_back({{"id", name.empty() ? server.name() : name},
                           {"service", service},
                           {"address", server.address()},
                           {"zone", "a"},
                           {"version", version},
                           {"slots", slots},
                           {"state", state}});
    }
    /// Takes a server off the list.
    void remove_server(const scripted_server& server) {
        const std::lock_guard lock(mutex_);
        for (auto at = listed_.begin(); at != listed_.end();) {
            at = (*at)["id"] == server.name() ? listed_.erase(at) : at + 1;
        }
    }

    void start() {
        for (std::size_t i = 0; i < controls_.size(); ++i) {
            start_control(i, true);
        }
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            start_entry(i);
        }
    }

    /// @param contacts  control instances that its settings name; empty: all
    void start_control(std::size_t index, bool first_start,
                       const std::vector<std::size_t>& contacts = {}) {
        auto own = common_settings(control_address(index), first_start);
        if (!contacts.empty()) {
            own.deployment.founders.clear();
            for (const auto contact : contacts) {
                own.deployment.founders.push_back(control_address(contact));
            }
        }
        own.role = settings::instance_role::control;
        own.http = {.address = control_address(index), .port = control_port_};
        own.deployment.metrics = {.address = control_address(index), .port = metrics_port_};
        own.data_folder = data_folder(index).string();
        controls_[index] = std::make_unique<gateway::control_instance>(
            std::move(own), std::make_unique<platform::platform_dialect>());
        ASSERT_EQ(controls_[index]->start(), "");
    }

    void start_entry(std::size_t index) {
        auto own = common_settings(entry_address(index), true);
        own.role = settings::instance_role::entry;
        own.http = {.address = entry_address(index), .port = api_port_};
        own.deployment.readiness = {.address = entry_address(index), .port = ready_port_};
        own.deployment.retry_slack = 50.0;
        own.deployment.grace = grace;
        entries_[index] = std::make_unique<gateway::entry_instance>(
            std::move(own), std::make_unique<platform::platform_dialect>());
        ASSERT_EQ(entries_[index]->start(), "");
    }

    std::chrono::milliseconds grace{
        6'000}; ///< grace period of the entry instances that are started later

    void stop_entry(std::size_t index) {
        entries_[index].reset();
    }
    void wipe_control(std::size_t index) {
        controls_[index].reset();
        std::filesystem::remove_all(data_folder(index));
    }
    void stop_control(std::size_t index) {
        controls_[index].reset();
    }

    [[nodiscard]] std::filesystem::path data_folder(std::size_t index) const {
        return folder_ / std::to_string(index);
    }
    /// @brief Whether a metric of a control instance has the value 1.
    [[nodiscard]] bool is_set(const std::string& series, std::size_t control) const {
        const auto text =
            send(control_address(control), metrics_port_, "GET", "/metrics", "", {}).body;
        return text.find("\n" + series + " 1\n") != std::string::npos;
    }
    /// @brief Waits until a control instance leads and returns its index.
    [[nodiscard]] std::size_t find_leader() const {
        std::size_t found = 0;
        EXPECT_TRUE(wait_until([&] {
            for (std::size_t i = 0; i < controls_.size(); ++i) {
                if (controls_[i] && is_set("tarragonspar_control_replica_leads", i)) {
                    found = i;
                    return true;
                }
            }
            return false;
        }));
        return found;
    }

    [[nodiscard]] caller_result publish(const std::string& manifest,
                                        std::size_t control = 0) const {
        return send(control_address(control), control_port_, "POST", "/Config.Put", manifest, {});
    }
    [[nodiscard]] caller_result read_back(std::size_t control = 0) const {
        return send(control_address(control), control_port_, "GET", "/Config.Get", "", {});
    }
    [[nodiscard]] caller_result ready(std::size_t entry = 0) const {
        return send(entry_address(entry), ready_port_, "GET", "/ready", "", {});
    }
    [[nodiscard]] caller_result call(const std::string& method, const std::string& target,
                                     const std::string& body,
                                     std::map<std::string, std::string> headers,
                                     std::size_t entry = 0) const {
        headers.emplace("Host", "h.example");
        headers.emplace("Attempt-Id", "a1");
        headers.emplace("Deadline-Ms", "5000");
        headers.emplace("Key", "k");
        return send(entry_address(entry), api_port_, method, target, body, headers);
    }
    [[nodiscard]] asio::ip::tcp::endpoint api_endpoint(std::size_t entry = 0) const {
        return {asio::ip::make_address(entry_address(entry)), api_port_};
    }
    /// The address at which the first control instance accepts other instances.
    [[nodiscard]] settings::endpoint control_wire() const {
        return {.address = control_address(0), .port = wire_port_};
    }
    gateway::entry_instance& entry(std::size_t index) {
        return *entries_[index];
    }

    /// @brief Starts all instances, publishes a manifest and waits until the first entry instance
    /// is ready.
    void start_with(const std::string& manifest) {
        start();
        ASSERT_TRUE(wait_until([&] { return publish(manifest).status == 200; }));
        ASSERT_TRUE(wait_until([&] { return ready().status == 200; }));
    }

    /// @brief The answer to a caller, with headers.
    struct answer : caller_result {
        std::map<std::string, std::string> headers;
        bool complete{false};
    };

    [[nodiscard]] answer call_with_headers(const std::string& method, const std::string& target,
                                           const std::string& body,
                                           std::map<std::string, std::string> headers = {}) const {
        headers.emplace("Host", "h.example");
        headers.emplace("Attempt-Id", "a1");
        headers.emplace("Deadline-Ms", "5000");
        headers.emplace("Key", "k");
        return send(entry_address(0), api_port_, method, target, body, headers);
    }

private:
    [[nodiscard]] static std::string network() {
        return "127." + std::to_string(64 + ::getpid() % 128) + ".";
    }
    static std::string control_address(std::size_t index) {
        return network() + "1." + std::to_string(index + 1);
    }
    static std::string entry_address(std::size_t index) {
        return network() + "2." + std::to_string(index + 1);
    }

    [[nodiscard]] settings::instance_settings common_settings(const std::string& address,
                                                              bool first_start) const {
        settings::instance_settings own;
        own.id = *settings::parse_instance_address(address);
        own.failure_domain = "a";
        own.wire = {.address = address, .port = wire_port_};
        for (std::size_t i = 0; i < std::min<std::size_t>(3, controls_.size()); ++i) {
            own.deployment.founders.push_back(control_address(i));
        }
        own.deployment.first_start = first_start;
        own.deployment.server_list = {.address = "127.0.0.1", .port = list_->port()};
        return own;
    }

    std::string list_body() {
        const std::lock_guard lock(mutex_);
        return nlohmann::json{{"instances", listed_}, {"next", nullptr}}.dump();
    }

    static answer send(const std::string& address, std::uint16_t port, const std::string& method,
                       const std::string& target, const std::string& body,
                       const std::map<std::string, std::string>& headers) {
        answer out;
        asio::io_context context;
        boost::beast::flat_buffer buffer;
        beast_http::response_parser<beast_http::string_body> parser;
        try {
            asio::ip::tcp::socket socket(context);
            socket.connect({asio::ip::make_address(address), port});
            const timeval limit{.tv_sec = 30, .tv_usec = 0};
            ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            beast_http::request<beast_http::string_body> request{beast_http::string_to_verb(method),
                                                                 target, 11};
            for (const auto& [name, value] : headers) {
                request.set(name, value);
            }
            request.body() = body;
            request.prepare_payload();
            beast_http::write(socket, request);
            boost::system::error_code error;
            beast_http::read(socket, buffer, parser, error);
            out.complete = !error;
        } catch (const boost::system::system_error&) {
            out.complete = false;
        }
        if (parser.is_header_done()) {
            out.status = parser.get().result_int();
            out.body = parser.get().body();
            for (const auto& field : parser.get()) {
                out.headers.emplace(field.name_string(), field.value());
            }
        }
        return out;
    }

    std::uint16_t wire_port_;
    std::uint16_t control_port_;
    std::uint16_t api_port_;
    std::uint16_t ready_port_;
    std::uint16_t metrics_port_;
    std::filesystem::path folder_;
    std::mutex mutex_;
    nlohmann::json listed_ = nlohmann::json::array();
    asio::io_context list_context_;
    std::shared_ptr<http::server> list_;
    std::thread list_thread_;
    std::vector<std::unique_ptr<gateway::control_instance>> controls_;
    std::vector<std::unique_ptr<gateway::entry_instance>> entries_;
};

/// @brief A manifest with a safe, an unsafe, a resumable and a plain streaming route.
inline std::string make_manifest(int version) {
    using nlohmann::json;
    const auto route = [](const std::string& name, const std::string& kind, int attempts,
                          bool resumable) {
        return json{
            {"name", name},          {"host", "h.example"}, {"path_prefix", "/" + name + "/"},
            {"kind", kind},          {"timeout_ms", 4000},  {"target_latency_ms", 500},
            {"priority", 0},         {"service", "s"},      {"max_attempts", attempts},
            {"resumable", resumable}};
    };
    return json{{"version", version},
                {"routes",
                 {route("safe", "safe", 2, false), route("unsafe", "unsafe", 2, false),
                  route("resumable", "streaming", 3, true), route("once", "streaming", 2, false)}},
                {"services", {{{"name", "s"}, {"max_connections", 50}}}},
                {"tenants", {{{"name", "w"}, {"api_keys", {"k"}}}}}}
        .dump();
}

} // namespace tarragonspar::testing
