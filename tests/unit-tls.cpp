// TLS for callers and between instances.

#include <gtest/gtest.h>

#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "certificate.hpp"
#include "system_fixture.hpp"

namespace {

using namespace tarragonspar;
using namespace tarragonspar::testing;

/// Two instances that use TLS for all connections, and an engine that only the second one owns.
class secure_pair {
public:
    secure_pair() {
        auto pattern = (std::filesystem::temp_directory_path() / "tarragon-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        write_certificate(file("cert"), file("key"));
        write_certificate(file("other-cert"), file("other-key"));
        engine_ =
            std::make_unique<running_fake>(free_port(), emulator::fake_options{}, file("journal"));
        for (int i = 0; i < 2; ++i) {
            http_[i] = free_port();
            wire_[i] = free_port();
        }
    }
    secure_pair(const secure_pair&) = delete;
    secure_pair& operator=(const secure_pair&) = delete;
    ~secure_pair() {
        instances_[0].reset();
        instances_[1].reset();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    [[nodiscard]] std::string file(const std::string& name) const {
        return folder_ + "/" + name;
    }

    void start(int index, const std::string& certificate) {
        settings::instance_settings own_settings;
        own_settings.id = {static_cast<std::uint32_t>(index + 1)};
        own_settings.failure_domain = index == 0 ? "a" : "b";
        own_settings.http = {.address = "127.0.0.1", .port = http_[index]};
        own_settings.wire = {.address = "127.0.0.1", .port = wire_[index]};
        own_settings.caller_tls = {.certificate = file("cert"), .private_key = file("key")};
        const auto prefix = certificate.empty() ? std::string{} : certificate + "-";
        own_settings.wire_tls = {.certificate = file(prefix + "cert"),
                                 .private_key = file(prefix + "key"),
                                 .authorities = file("cert")};
        settings::peer other;
        other.id = {static_cast<std::uint32_t>(2 - index)};
        other.failure_domain = index == 0 ? "b" : "a";
        other.wire = {.address = "127.0.0.1", .port = wire_[1 - index]};
        own_settings.peers = {other};
        own_settings.configuration.profiles["fast"] = {
            .name = "fast", .deadline = std::chrono::seconds{20}, .max_output_tokens = 100};
        own_settings.configuration.servers[{1}] = {.id = {1},
                                                   .name = "s",
                                                   .failure_domain = "b",
                                                   .address = "127.0.0.1:" +
                                                              std::to_string(engine_->port()),
                                                   .offers = {"m"}};
        instances_[index] = std::make_unique<runtime::instance>(std::move(own_settings));
        ASSERT_EQ(instances_[index]->start(), "");
    }

    /// Sends one request over TLS; returns status and body, with status 0 if the connection failed.
    [[nodiscard]] std::pair<unsigned, std::string>
    call_securely(int index, const std::string& target, const std::string& body) const {
        try {
            asio::io_context context;
            asio::ssl::context tls(asio::ssl::context::tls_client);
            tls.load_verify_file(file("cert"));
            tls.set_verify_mode(asio::ssl::verify_peer);
            boost::beast::ssl_stream<boost::beast::tcp_stream> stream(context, tls);
            boost::beast::get_lowest_layer(stream).connect(
                {asio::ip::make_address("127.0.0.1"), http_[index]});
            stream.handshake(asio::ssl::stream_base::client);
            beast_http::request<beast_http::string_body> request{
                body.empty() ? beast_http::verb::get : beast_http::verb::post, target, 11};
            request.set("Tarragon-Profile", "fast");
            request.keep_alive(false);
            request.body() = body;
            request.prepare_payload();
            beast_http::write(stream, request);
            boost::beast::flat_buffer buffer;
            beast_http::response<beast_http::string_body> response;
            beast_http::read(stream, buffer, response);
            return {response.result_int(), response.body()};
        } catch (const boost::system::system_error&) {
            return {0, {}};
        }
    }

    [[nodiscard]] std::uint16_t http_port(int index) const {
        return http_[index];
    }

private:
    std::string folder_;
    std::unique_ptr<running_fake> engine_;
    std::uint16_t http_[2]{};
    std::uint16_t wire_[2]{};
    std::unique_ptr<runtime::instance> instances_[2];
};

bool is_peer_alive(const std::pair<unsigned, std::string>& answer) {
    const auto status = nlohmann::json::parse(answer.second, nullptr, false);
    return status.is_object() && status["members"][0]["status"] == "alive";
}

} // namespace

TEST(Tls, CallersAndInstancesUseTls) {
    secure_pair pair;
    pair.start(0, "");
    pair.start(1, "");
    ASSERT_TRUE(
        wait_until([&] { return is_peer_alive(pair.call_securely(0, "/admin/status", "")); }));
    ASSERT_TRUE(wait_until([&] { return pair.call_securely(0, "/health", "").first == 200; }));
    const auto answer = pair.call_securely(0, "/v1/completions", completion_body(5));
    EXPECT_EQ(answer.first, 200U) << answer.second;
    EXPECT_EQ(call(pair.http_port(0), "GET", "/health").status, 0U) << "plain HTTP is refused";
}

TEST(Tls, RejectsAnInstanceWithAnUntrustedCertificate) {
    secure_pair pair;
    pair.start(0, "");
    pair.start(1, "other");
    ASSERT_TRUE(wait_until([&] { return pair.call_securely(0, "/health", "").first == 200; }));
    std::this_thread::sleep_for(std::chrono::milliseconds{1500});
    EXPECT_FALSE(is_peer_alive(pair.call_securely(0, "/admin/status", "")));
}
