#pragma once

// Servers and a stub of a control instance for tests, in addition to the fixture.

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "deployment_fixture.hpp"
#include "tarragonspar/gateway/query_handler.hpp"

namespace tarragonspar::testing {

inline void reset(asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

inline scripted_server make_healthy_server(const std::string& name) {
    return scripted_server(
        name, [](const received_request& request, asio::ip::tcp::socket& socket) {
            write_raw(socket, complete_answer(request, "body of " + request.start));
        });
}

/// Stub of a control instance that sends every entry instance the same document and a list of one
/// server.
class stub_control_instance : public gateway::query_handler {
public:
    explicit stub_control_instance(const scripted_server& server) {
        config::server one{.id = grant_of(server).server,
                           .name = server.name(),
                           .address = server.address(),
                           .offers = {"s"},
                           .slots = 4};
        one.kind = config::server_kind::service;
        list_ = gateway::make_server_list({one}, runtime::now());
    }
    ~stub_control_instance() override {
        if (node_) {
            node_->stop();
        }
    }
    void start(const settings::endpoint& at) {
        node_ = std::make_unique<wire::node>(
            wire::node_options{.self = *settings::parse_instance_address(at.address), .listen = at},
            *this);
        ASSERT_EQ(node_->start(), "");
    }
    void set_document(std::uint64_t number, std::string content) {
        const std::lock_guard lock(mutex_);
        document_ = {.number = {number}, .content = std::move(content)};
    }
    /// Whether it says that its document is the newest, as only the leader does.
    void set_knows_newest(bool knows) {
        const std::lock_guard lock(mutex_);
        knows_newest_ = knows;
    }
    int updates_sent() {
        const std::lock_guard lock(mutex_);
        return updates_sent_;
    }
    /// Acts as the leader: grants the first server, and the second one to instances that return a
    /// grant unused.
    void grant_first(const scripted_server& first, const scripted_server& second) {
        granted_ = {grant_of(first), grant_of(second)};
    }
    int grants_returned() {
        const std::lock_guard lock(mutex_);
        return grants_returned_;
    }

    void on_query(instance_id, wire::topic about, std::string payload,
                  std::function<void(wire::answer)> reply) override {
        if (about == wire::topic::grant) {
            const auto request = gateway::unpack_grant_request(payload, runtime::now());
            const std::lock_guard lock(mutex_);
            const auto unused = request->previous == dispatch::previous_grant::unused;
            grants_returned_ += unused && request->notice ? 1 : 0;
            reply({.known = true,
                   .payload = gateway::pack(dispatch::grant_result{granted_[unused ? 1 : 0]})});
            return;
        }
        if (about != wire::topic::entry_report) {
            return;
        }
        const auto report = gateway::unpack_report(payload, runtime::now());
        const std::lock_guard lock(mutex_);
        if (!report || document_.number.value == 0) {
            reply({});
            return;
        }
        gateway::control_update update;
        update.entry_instances = 1;
        update.schedules = !granted_.empty();
        update.document = document_;
        if (knows_newest_) {
            update.newest = config::newest_document{.number = document_.number};
        }
        gateway::add_server_list(list_, *report, runtime::now(), update);
        ++updates_sent_;
        reply({.known = true, .payload = gateway::pack(update)});
    }

private:
    static dispatch::grant grant_of(const scripted_server& server) {
        return {.server = {static_cast<std::uint32_t>(hash_name(server.name()) & 0xffffffffU)},
                .server_name = server.name(),
                .address = server.address()};
    }

    std::vector<dispatch::grant> granted_;
    int grants_returned_{0};
    gateway::server_list list_;
    std::unique_ptr<wire::node> node_;
    std::mutex mutex_;
    config::document document_;
    bool knows_newest_{true};
    int updates_sent_{0};
};

inline std::string answer_with(const received_request& to, const std::string& status,
                               const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + to.headers.at("Attempt-Id") + "\r\n" +
           headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace tarragonspar::testing
