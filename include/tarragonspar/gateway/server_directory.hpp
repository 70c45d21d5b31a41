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

/// @brief Bounds of reading the platform's list of backend servers.
struct directory_options {
    settings::endpoint list;
    /// Pause between two reads by the one reader of a deployment: a server that leaves is noticed
    /// well within the seconds that it serves on, at a call or two a second.
    std::chrono::milliseconds interval{500};
    /// Pause after a read that failed or was refused.
    std::chrono::milliseconds backoff{1'000};
    std::chrono::milliseconds call_timeout{1'000};
    std::size_t max_pages{200};
    /// Calls a second that the platform takes from all instances together; 0: any number.
    double calls_per_second{0.0};
};

/// @brief Pause between two reads that keeps all readers together within the platform's rate.
/// @param pages    calls that one read takes
/// @param readers  instances that may read at the same time
/// @return the options' interval, or longer
[[nodiscard]] std::chrono::milliseconds paced_interval(const directory_options& options,
                                                       std::size_t pages, std::uint32_t readers);

/// @brief Reads the list of backend servers for as long as it is wanted.
class server_directory : public std::enable_shared_from_this<server_directory> {
public:
    using listener = std::function<void(std::vector<config::server>)>;

    server_directory(boost::asio::io_context& context, directory_options options,
                     const dialect& speaks, listener on_list);

    /// @brief Begins or ceases to read.
    void set_wanted(bool wanted);
    /// @brief Tells how many instances may read at the same time; with more than one, the first
    /// read begins at a random moment, so that one of them can tell the others.
    void set_readers(std::uint32_t readers);
    void stop();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> read_all(std::vector<config::server>& out);
    boost::asio::awaitable<std::optional<std::string>> read_page(std::string target);

    boost::asio::io_context& context_;
    directory_options options_;
    const dialect& speaks_;
    listener on_list_;
    boost::asio::steady_timer pause_;
    std::mt19937_64 random_;
    std::size_t pages_{1}; ///< that the last whole read took
    std::uint32_t readers_{1};
    bool wanted_{false};
    bool running_{false};
    bool failing_{false};
};

} // namespace tarragonspar::gateway
