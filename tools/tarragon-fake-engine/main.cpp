#include <cstdio>

#include <boost/asio/signal_set.hpp>

#include "options.hpp"
#include "tarragonspar/http/server.hpp"

int main(int argc, char** argv) {
    using namespace tarragonspar;
    emulator::fake_options options;
    if (const auto code = fake::read_options(argc, argv, options); code >= 0) {
        return code;
    }
    boost::asio::io_context context(1);
    emulator::fake_server fake(context, options);
    http::server_options server_options;
    server_options.listen = options.listen;
    const auto server = std::make_shared<http::server>(
        context, server_options, [&fake](http::exchange& with) { return fake.handle(with); });
    server->start();
    std::printf("listening on %s:%u\n", options.listen.address.c_str(), server->port());
    std::fflush(stdout);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto, auto) { context.stop(); });
    context.run();
    return 0;
}
