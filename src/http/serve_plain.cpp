#include "tarragonspar/http/detail/serve.hpp"
#include "tarragonspar/http/detail/session.hpp"

namespace tarragonspar::http::detail {

asio::awaitable<void> serve_plain(asio::ip::tcp::socket socket, session_context context) {
    session<beast::tcp_stream> plain(beast::tcp_stream(std::move(socket)), context);
    co_await plain.run(context.handle);
}

} // namespace tarragonspar::http::detail
