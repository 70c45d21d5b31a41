#include <unistd.h>

#include <array>
#include <atomic>
#include <fstream>
#include <set>

#include <gtest/gtest.h>

#include "deployment_parts.hpp"

// Servers that send bytes without end to many requests at once. An instance kept all of them and
// ran out of memory, which ended the requests of its other callers.

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

constexpr std::size_t caller_count = 300;
/// Memory of a small entry instance of the users' deployments.
constexpr std::size_t machine_memory = 260'000'000;
/// Freed memory that the address sanitizer keeps.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kept_by_sanitizer = 256UL * 1024 * 1024;
#else
constexpr std::size_t kept_by_sanitizer = 0;
#endif
/// Below every bound on a single answer or event, so that only all of them together are too many.
constexpr std::size_t bytes_before_pause = 1'000'000;

std::size_t resident_bytes() {
    std::ifstream in("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// How far the requests have got.
class progress {
public:
    /// A request got its answer, or its server has sent `bytes_before_pause`.
    void settle(const std::string& id) {
        const std::lock_guard lock(mutex_);
        settled_.insert(id);
    }
    [[nodiscard]] std::size_t settled() const {
        const std::lock_guard lock(mutex_);
        return settled_.size();
    }

    std::atomic<std::size_t> opened{0}; ///< connections of the server
    std::atomic<std::size_t> ended{0};  ///< those that the instance closed

private:
    mutable std::mutex mutex_;
    std::set<std::string> settled_;
};

/// Sends a head, many bytes at once, and then a byte now and then until the caller closes.
void send_without_end(asio::ip::tcp::socket& socket, const std::string& id, const std::string& head,
                      progress& reached) {
    ++reached.opened;
    boost::system::error_code error;
    asio::write(socket, asio::buffer(head), error);
    const std::string block(10'000, 'x');
    for (std::size_t sent = 0; !error && sent < bytes_before_pause; sent += block.size()) {
        asio::write(socket, asio::buffer(block), error);
    }
    if (!error) {
        reached.settle(id);
    }
    while (!error) {
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        asio::write(socket, asio::buffer("x", 1), error);
    }
    ++reached.ended;
}

/// Callers that read what they get and keep none of it.
class reading_callers {
public:
    reading_callers(const asio::ip::tcp::endpoint& to, const std::string& path, progress& reached)
        : reached_(reached) {
        for (std::size_t i = 0; i < caller_count; ++i) {
            auto& socket = sockets_.emplace_back(std::make_unique<asio::ip::tcp::socket>(context_));
            socket->connect(to);
            asio::write(
                *socket,
                asio::buffer("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " +
                             std::to_string(i) + "\r\nDeadline-Ms: 30000\r\nKey: k\r\n\r\n"));
            read(*socket, std::to_string(i));
        }
        thread_ = std::thread([this] { context_.run(); });
    }
    reading_callers(const reading_callers&) = delete;
    reading_callers& operator=(const reading_callers&) = delete;
    ~reading_callers() {
        context_.stop();
        thread_.join();
    }

private:
    void read(asio::ip::tcp::socket& socket, const std::string& id) {
        socket.async_read_some(asio::buffer(space_),
                               [this, &socket, id](boost::system::error_code error, std::size_t) {
                                   reached_.settle(id);
                                   if (!error) {
                                       read(socket, id);
                                   }
                               });
    }

    progress& reached_;
    asio::io_context context_;
    std::array<char, 16'384> space_{}; // what is read is not looked at
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> sockets_;
    std::thread thread_;
};

void expect_bounded_memory(const std::string& path, const std::string& headers) {
    progress reached;
    const scripted_server endless(
        "i-1", [&](const received_request& request, asio::ip::tcp::socket& socket) {
            const auto& id = request.headers.at("Attempt-Id");
            send_without_end(socket, id,
                             "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                                 "\r\nResponse-Signature: s\r\n" + headers + "\r\n",
                             reached);
        });
    platform_deployment d;
    d.add_server(endless, "s", "ready", {}, caller_count);
    auto manifest = nlohmann::json::parse(make_manifest(1));
    manifest["services"][0]["max_connections"] = caller_count;
    for (auto& route : manifest["routes"]) {
        route["timeout_ms"] = 30'000;
    }
    d.start_with(manifest.dump());
    const auto before = resident_bytes();
    std::size_t most = before;
    {
        const reading_callers callers(d.api_endpoint(), path, reached);
        EXPECT_TRUE(wait_until([&] {
            most = std::max(most, resident_bytes());
            return reached.settled() >= caller_count;
        })) << reached.settled();
        // What was sent last may still be on its way to the instance.
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
        most = std::max(most, resident_bytes());
    }
    EXPECT_LT(most - before, machine_memory + kept_by_sanitizer);
    EXPECT_TRUE(wait_until([&] { return reached.ended >= reached.opened; }))
        << "the connections to the server are closed";
}

} // namespace

TEST(EndlessAnswers, ManyBodiesWithoutEndStayWithinAnInstancesMemory) {
    expect_bounded_memory("/safe/x", "");
}

TEST(EndlessAnswers, ManyBodiesOfAHugeLengthStayWithinAnInstancesMemory) {
    expect_bounded_memory("/safe/x", "Content-Length: 60000000\r\n");
}

TEST(EndlessAnswers, ManyEventsWithoutEndStayWithinAnInstancesMemory) {
    expect_bounded_memory("/once/x", "Content-Type: text/event-stream\r\n");
}
