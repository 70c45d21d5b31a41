#pragma once

#include <array>
#include <memory>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "tarragonspar/settings/instance_settings.hpp"

/// @brief A relay on the loopback interface that passes on a bounded number of bytes a second.
namespace tarragonspar::testing {

class slow_link {
public:
    /// @param bytes_per_second  in each direction, all connections together
    slow_link(settings::endpoint target, std::size_t bytes_per_second)
        : target_(boost::asio::ip::make_address(target.address), target.port),
          bytes_per_step_(bytes_per_second / steps_per_second),
          acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }
    slow_link(const slow_link&) = delete;
    slow_link& operator=(const slow_link&) = delete;
    ~slow_link() {
        context_.stop();
        thread_.join();
    }

    [[nodiscard]] settings::endpoint address() const {
        return {.address = "127.0.0.1", .port = acceptor_.local_endpoint().port()};
    }

private:
    using socket = boost::asio::ip::tcp::socket;
    static constexpr std::size_t steps_per_second = 50;

    /// The bytes of one direction that may pass in the current step.
    struct direction {
        explicit direction(boost::asio::io_context& context) : timer(context) {}
        boost::asio::steady_timer timer;
        std::chrono::steady_clock::time_point next{};
    };

    void accept() {
        acceptor_.async_accept([this](boost::system::error_code error, socket from) {
            if (error) {
                return;
            }
            const auto caller = std::make_shared<socket>(std::move(from));
            const auto server = std::make_shared<socket>(context_);
            server->async_connect(target_, [=, this](boost::system::error_code failed) {
                if (!failed) {
                    relay(caller, server, std::make_shared<direction>(context_), to_server_);
                    relay(server, caller, std::make_shared<direction>(context_), to_caller_);
                }
            });
            accept();
        });
    }

    void relay(const std::shared_ptr<socket>& from, const std::shared_ptr<socket>& to,
               const std::shared_ptr<direction>& way, std::chrono::steady_clock::time_point& free) {
        const auto buffer = std::make_shared<std::vector<char>>(bytes_per_step_);
        from->async_read_some(boost::asio::buffer(*buffer), [=, this,
                                                             &free](boost::system::error_code error,
                                                                    std::size_t count) {
            if (error) {
                boost::system::error_code ignored;
                to->close(ignored);
                return;
            }
            const auto share = static_cast<double>(count) / static_cast<double>(bytes_per_step_);
            const std::chrono::duration<double> taken(share / steps_per_second);
            free = std::max(free, std::chrono::steady_clock::now()) +
                   std::chrono::duration_cast<std::chrono::steady_clock::duration>(taken);
            way->timer.expires_at(free);
            way->timer.async_wait([=, this, &free](boost::system::error_code) {
                boost::asio::async_write(
                    *to, boost::asio::buffer(*buffer, count),
                    [=, this, &free](boost::system::error_code failed, std::size_t) {
                        static_cast<void>(buffer);
                        if (failed) {
                            boost::system::error_code ignored;
                            from->close(ignored);
                            return;
                        }
                        relay(from, to, way, free);
                    });
            });
        });
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::endpoint target_;
    std::size_t bytes_per_step_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::chrono::steady_clock::time_point to_server_{};
    std::chrono::steady_clock::time_point to_caller_{};
    std::thread thread_;
};

} // namespace tarragonspar::testing
