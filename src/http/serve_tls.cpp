#include "tarragonspar/http/detail/serve.hpp"
#include "tarragonspar/http/detail/session.hpp"

namespace tarragonspar::http::detail {

namespace {

/// Maximum duration of a TLS handshake.
constexpr auto handshake_timeout = std::chrono::seconds{5};

} // namespace

asio::awaitable<void> serve_tls(asio::ip::tcp::socket socket,
                                std::shared_ptr<asio::ssl::context> tls, session_context context) {
    beast::ssl_stream<beast::tcp_stream> stream(std::move(socket), *tls);
    beast::get_lowest_layer(stream).expires_after(handshake_timeout);
    const auto [error] = co_await stream.async_handshake(asio::ssl::stream_base::server, as_result);
    if (error) {
        co_return;
    }
    session<beast::ssl_stream<beast::tcp_stream>> secure(std::move(stream), context);
    co_await secure.run(context.handle);
}

} // namespace tarragonspar::http::detail
