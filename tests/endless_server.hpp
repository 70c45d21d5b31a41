#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace tarragonspar::testing {

/// @brief A server that sends endless bytes on its first connection until the peer closes it.
class endless_server {
public:
    /// @param first     written once
    /// @param repeated  written repeatedly
    endless_server(std::string first, std::string repeated)
        : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          thread_([this, first = std::move(first), repeated = std::move(repeated)] {
              run(first, repeated);
          }) {}
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    ~endless_server() {
        thread_.join();
    }

    [[nodiscard]] std::uint16_t port() const {
        return acceptor_.local_endpoint().port();
    }
    /// @brief Returns the number of repeated bytes written before the peer closed; final once
    /// `closed`.
    [[nodiscard]] std::size_t written() const {
        return written_;
    }
    [[nodiscard]] bool closed() const {
        return closed_;
    }

private:
    /// Well above what sockets buffer, so that a reader without a limit is detected.
    static constexpr std::size_t max_bytes = 512UL * 1024 * 1024;

    void run(const std::string& first, const std::string& repeated) {
        boost::asio::ip::tcp::socket socket(context_);
        boost::system::error_code error;
        acceptor_.accept(socket, error);
        boost::asio::write(socket, boost::asio::buffer(first), error);
        while (!error && written_ < max_bytes) {
            written_ += boost::asio::write(socket, boost::asio::buffer(repeated), error);
        }
        closed_ = static_cast<bool>(error);
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<std::size_t> written_{0};
    std::atomic<bool> closed_{false};
    std::thread thread_;
};

} // namespace tarragonspar::testing
