#include "tarragonspar/gateway/server_directory.hpp"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "tarragonspar/http/detail/serve.hpp"
#include "tarragonspar/telemetry/log.hpp"

namespace tarragonspar::gateway {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
/// Largest accepted page; a page of a thousand entries takes some 300 kilobytes. A page of many
/// tiny values takes thirty times its size in memory.
constexpr std::size_t max_page_bytes = 1024 * 1024;
/// Used share of the platform's rate: calls come in bursts, and in a network partition two groups
/// of readers don't know of each other.
constexpr double rate_share = 0.5;

} // namespace

std::chrono::milliseconds paced_interval(const directory_options& options, std::size_t pages,
                                         std::uint32_t readers) {
    if (options.calls_per_second <= 0.0) {
        return options.interval;
    }
    const auto calls = static_cast<double>(pages) * static_cast<double>(readers);
    const std::chrono::duration<double> paced(calls / (options.calls_per_second * rate_share));
    return std::max(options.interval, std::chrono::duration_cast<std::chrono::milliseconds>(paced));
}

server_directory::server_directory(asio::io_context& context, directory_options options,
                                   const dialect& protocol, listener on_list)
    : context_(context), options_(std::move(options)), protocol_(protocol),
      on_list_(std::move(on_list)), timer_(context), random_(std::random_device{}()) {}

void server_directory::set_wanted(bool wanted) {
    if (wanted == wanted_ || options_.list.port == 0) {
        return;
    }
    wanted_ = wanted;
    telemetry::write(telemetry::log_line("server_list_reader").add("reads", wanted ? 1 : 0));
    if (wanted && !running_) {
        running_ = true;
        asio::co_spawn(
            context_, [self = shared_from_this()] { return self->run(); }, asio::detached);
    }
    if (!wanted) {
        timer_.cancel();
    }
}

void server_directory::set_readers(std::uint32_t readers) {
    readers_ = std::max(1U, readers);
}

void server_directory::stop() {
    wanted_ = false;
    timer_.cancel();
}

asio::awaitable<void> server_directory::run() {
    if (readers_ > 1) {
        std::uniform_int_distribution<std::int64_t> moment(
            0, paced_interval(options_, pages_, readers_).count());
        timer_.expires_after(std::chrono::milliseconds{moment(random_)});
        co_await timer_.async_wait(http::detail::as_result);
    }
    while (wanted_) {
        std::vector<config::server> servers;
        const bool read = co_await read_all(servers);
        if (read == failing_) {
            failing_ = !read;
            telemetry::write(
                telemetry::log_line(read ? "server_list_regained" : "server_list_lost"));
        }
        if (read && wanted_) {
            on_list_(std::move(servers));
        }
        const auto interval = paced_interval(options_, pages_, readers_);
        timer_.expires_after(read ? interval : std::max(interval, options_.backoff));
        co_await timer_.async_wait(http::detail::as_result);
    }
    running_ = false;
}

asio::awaitable<bool> server_directory::read_all(std::vector<config::server>& servers) {
    std::optional<std::string> page;
    for (std::size_t count = 0; count < options_.max_pages; ++count) {
        auto target = protocol_.server_list_target(page);
        const auto content = co_await read_page(std::move(target));
        if (!content) {
            co_return false;
        }
        auto read = protocol_.read_server_page(*content);
        if (!read.readable) {
            co_return false;
        }
        servers.insert(servers.end(), read.servers.begin(), read.servers.end());
        if (!read.next) {
            pages_ = count + 1;
            co_return true;
        }
        page = std::move(read.next);
    }
    co_return false;
}

asio::awaitable<std::optional<std::string>> server_directory::read_page(std::string target) {
    const auto call = std::make_shared<http::backend_call>(context_.get_executor());
    asio::steady_timer limit(context_, options_.call_timeout);
    limit.async_wait([call](boost::system::error_code error) {
        if (!error) {
            call->close();
        }
    });
    const bool connected = co_await call->connect(options_.list);
    if (!connected) {
        co_return std::nullopt;
    }
    http::header_list headers;
    headers.emplace_back("Host", settings::to_string(options_.list));
    headers.emplace_back("Connection", "close");
    call->send("GET", std::move(target), std::move(headers), {});
    const auto head = co_await call->read_head();
    if (!head || head->status != status_ok) {
        co_return std::nullopt;
    }
    std::string content;
    while (content.size() < max_page_bytes) {
        const auto part = co_await call->read_body();
        content += part.bytes;
        if (part.broken) {
            co_return std::nullopt;
        }
        if (part.complete) {
            co_return content;
        }
    }
    co_return std::nullopt;
}

} // namespace tarragonspar::gateway
