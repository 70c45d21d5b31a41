#include "client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

#include "tarragonspar/settings/instance_settings.hpp"

namespace tarragonspar::ctl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

namespace {

template <class Stream>
response exchange(Stream& stream, const connection& to, const std::string& method,
                  const std::string& target, const std::string& body) {
    beast_http::request<beast_http::string_body> request{beast_http::string_to_verb(method), target,
                                                         11};
    request.set(beast_http::field::host, to.address);
    if (!to.token.empty()) {
        request.set(beast_http::field::authorization, "Bearer " + to.token);
    }
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();
    beast_http::write(stream, request);
    beast::flat_buffer buffer;
    beast_http::response_parser<beast_http::string_body> parser;
    parser.body_limit(boost::none);
    beast_http::read(stream, buffer, parser);
    return {.status = parser.get().result_int(), .body = parser.get().body(), .fault = {}};
}

} // namespace

response send(const connection& to, const std::string& method, const std::string& target,
              const std::string& body) {
    const auto endpoint = settings::parse_endpoint(to.address);
    if (!endpoint) {
        return {.status = 0, .body = {}, .fault = to.address + " is not IP:port"};
    }
    try {
        asio::io_context context;
        beast::tcp_stream plain(context);
        plain.expires_after(to.timeout);
        plain.connect({asio::ip::make_address(endpoint->address), endpoint->port});
        if (to.authorities.empty()) {
            return exchange(plain, to, method, target, body);
        }
        asio::ssl::context tls(asio::ssl::context::tls_client);
        tls.load_verify_file(to.authorities);
        tls.set_verify_mode(asio::ssl::verify_peer);
        if (!to.certificate.empty()) {
            tls.use_certificate_chain_file(to.certificate);
            tls.use_private_key_file(to.private_key, asio::ssl::context::pem);
        }
        beast::ssl_stream<beast::tcp_stream> secure(std::move(plain), tls);
        secure.handshake(asio::ssl::stream_base::client);
        return exchange(secure, to, method, target, body);
    } catch (const boost::system::system_error& error) {
        return {.status = 0, .body = {}, .fault = error.code().message()};
    }
}

} // namespace tarragonspar::ctl
