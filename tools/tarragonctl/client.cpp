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
response exchange(Stream& stream, const connection_options& connection, const std::string& method,
                  const std::string& target, const std::string& body) {
    beast_http::request<beast_http::string_body> request{beast_http::string_to_verb(method), target,
                                                         11};
    request.set(beast_http::field::host, connection.address);
    if (!connection.token.empty()) {
        request.set(beast_http::field::authorization, "Bearer " + connection.token);
    }
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();
    beast_http::write(stream, request);
    beast::flat_buffer buffer;
    beast_http::response_parser<beast_http::string_body> parser;
    parser.body_limit(boost::none);
    beast_http::read(stream, buffer, parser);
    return {.status = parser.get().result_int(), .body = parser.get().body(), .error_message = {}};
}

} // namespace

response send(const connection_options& connection, const std::string& method,
              const std::string& target, const std::string& body) {
    const auto endpoint = settings::parse_endpoint(connection.address);
    if (!endpoint) {
        return {.status = 0,
                .body = {},
                .error_message = connection.address + " is not of the form IP:port"};
    }
    try {
        asio::io_context context;
        beast::tcp_stream plain(context);
        plain.expires_after(connection.timeout);
        plain.connect({asio::ip::make_address(endpoint->address), endpoint->port});
        if (connection.authorities.empty()) {
            return exchange(plain, connection, method, target, body);
        }
        asio::ssl::context tls(asio::ssl::context::tls_client);
        tls.load_verify_file(connection.authorities);
        tls.set_verify_mode(asio::ssl::verify_peer);
        if (!connection.certificate.empty()) {
            tls.use_certificate_chain_file(connection.certificate);
            tls.use_private_key_file(connection.private_key, asio::ssl::context::pem);
        }
        beast::ssl_stream<beast::tcp_stream> secure(std::move(plain), tls);
        secure.handshake(asio::ssl::stream_base::client);
        return exchange(secure, connection, method, target, body);
    } catch (const boost::system::system_error& error) {
        return {.status = 0, .body = {}, .error_message = error.code().message()};
    }
}

} // namespace tarragonspar::ctl
