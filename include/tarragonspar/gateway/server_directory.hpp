#pragma once

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "tarragonspar/gateway/dialect.hpp"

namespace tarragonspar::gateway {

/// @brief Options for reading the platform's list of backend servers.
struct directory_options {
    settings::endpoint list;
    /// Interval between two reads by the only reader of a deployment. It detects a draining server
    /// well within the seconds for which that server still serves, and takes one or two calls a
    /// second.
    std::chrono::milliseconds interval{500};
    /// Delay after a read that failed or was refused.
    std::chrono::milliseconds backoff{1'000};
    std::chrono::milliseconds call_timeout{1'000};
    std::size_t max_pages{200};
    /// Calls a second that the platform accepts from all instances together; 0: unlimited.
    double calls_per_second{0.0};
};

/// @brief Returns the interval between two reads that keeps all readers together within the
/// platform's rate.
/// @param pages    number of calls for one read
/// @param readers  number of instances that may read at the same time
/// @return the interval of the options, or longer
[[nodiscard]] std::chrono::milliseconds paced_interval(const directory_options& options,
                                                       std::size_t pages, std::uint32_t readers);

/// @brief Reads the list of backend servers for as long as it is wanted.
class server_directory : public std::enable_shared_from_this<server_directory> {
public:
    using listener = std::function<void(std::vector<config::server>)>;

    server_directory(boost::asio::io_context& context, directory_options options,
                     const dialect& protocol, listener on_list);

    /// @brief Starts or stops reading.
    void set_wanted(bool wanted);
    /// @brief Sets how many instances may read at the same time. With more than one, the first read
    /// begins after a random delay, so that one of them can send its list to the others.
    void set_readers(std::uint32_t readers);
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> read_all(std::vector<config::server>& servers);
    boost::asio::awaitable<std::optional<std::string>> read_page(std::string target);

    boost::asio::io_context& context_;
    directory_options options_;
    const dialect& protocol_;
    listener on_list_;
    boost::asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::size_t pages_{1}; ///< number of pages of the last complete read
    std::uint32_t readers_{1};
    bool wanted_{false};
    bool running_{false};
    bool failing_{false};
};

} // namespace tarragonspar::gateway
