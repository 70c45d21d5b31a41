#include "load_generator.hpp"

#include <fstream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "tarragonspar/emulator/fake_server.hpp"
#include "tarragonspar/http/completion_api.hpp"

namespace tarragonspar::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
/// How long a caller waits beyond the deadline of a request before it gives up.
constexpr auto deadline_tolerance = std::chrono::seconds{3};

struct generator_state {
    asio::io_context context{1};
    const load_options& options;
    traffic_mix mix;
    std::mt19937_64 random;
    load_report report;
    std::size_t next_target{0};
};

struct received_response {
    unsigned status{};
    std::string id;
    std::string outcome;
    std::string body;
    double first_byte_seconds{};
    bool lost{true}; ///< until the complete response has been read
};

double seconds_since(steady::time_point start) {
    return std::chrono::duration<double>(steady::now() - start).count();
}

asio::awaitable<bool> connect_any(generator_state& state, beast::tcp_stream& stream) {
    for (std::size_t attempt = 0; attempt < state.options.targets.size(); ++attempt) {
        const auto& target =
            state.options.targets[state.next_target++ % state.options.targets.size()];
        const tcp::endpoint endpoint(asio::ip::make_address(target.address), target.port);
        stream.expires_after(std::chrono::seconds{1});
        const auto [error] = co_await stream.async_connect(endpoint, as_result);
        if (!error) {
            co_return true;
        }
        stream.close();
    }
    co_return false;
}

beast_http::request<beast_http::string_body> make_request(const drawn_request& drawn) {
    const auto& kind = *drawn.kind;
    const auto target = kind.service.empty() ? std::string("/v1/completions")
                                             : "/services/" + kind.service + "/book";
    beast_http::request<beast_http::string_body> request{beast_http::verb::post, target, 11};
    request.set(beast_http::field::host, "tarragonspar");
    request.set(beast_http::field::content_type, "application/json");
    request.set(http::profile_header, kind.profile);
    request.set(http::workspace_header, drawn.workspace);
    request.keep_alive(false);
    request.body() = drawn.body;
    request.prepare_payload();
    return request;
}

asio::awaitable<received_response> exchange(generator_state& state, const drawn_request& drawn,
                                            steady::time_point start) {
    received_response response;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    const bool connected = co_await connect_any(state, stream);
    if (!connected) {
        co_return response;
    }
    auto request = make_request(drawn);
    stream.expires_after(drawn.kind->deadline + deadline_tolerance);
    const auto [write_error, written] =
        co_await beast_http::async_write(stream, request, as_result);
    if (write_error) {
        co_return response;
    }
    beast::flat_buffer buffer;
    beast_http::response_parser<beast_http::string_body> parser;
    parser.body_limit(boost::none);
    const auto [head_error, head_size] =
        co_await beast_http::async_read_header(stream, buffer, parser, as_result);
    if (head_error) {
        co_return response;
    }
    response.first_byte_seconds = seconds_since(start);
    const auto [error, size] = co_await beast_http::async_read(stream, buffer, parser, as_result);
    response.lost = static_cast<bool>(error);
    response.status = parser.get().result_int();
    response.id = std::string(parser.get()[http::request_id_header]);
    response.outcome = std::string(parser.get()[http::outcome_header]);
    response.body = std::move(parser.get().body());
    co_return response;
}

/// Whether a streamed body is complete and belongs to its request.
bool is_complete_stream(const received_response& answer, std::uint32_t tokens) {
    if (answer.body.find("data: [DONE]") == std::string::npos) {
        return false;
    }
    std::string text;
    std::size_t begin = 0;
    constexpr std::string_view prefix = "data: ";
    while ((begin = answer.body.find(prefix, begin)) != std::string::npos) {
        const auto end = answer.body.find("\n\n", begin);
        const auto data = answer.body.substr(begin + prefix.size(), end - begin - prefix.size());
        begin = end;
        const auto event = json::parse(data, nullptr, false);
        if (event.is_object() && event.contains("choices")) {
            text += event["choices"][0].value("text", std::string{});
        }
    }
    std::string expected;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        expected += emulator::token_text(answer.id, i);
    }
    return text == expected;
}

/// Whether a service echoed the id and the body of this request.
bool is_matching_echo(const received_response& answer, const std::string& body) {
    const auto parsed = json::parse(answer.body, nullptr, false);
    return parsed.is_object() && parsed.value("id", std::string{}) == answer.id &&
           parsed.value("echo", std::string{}) == body;
}

void record_response(generator_state& state, const drawn_request& drawn,
                     const received_response& answer, double seconds) {
    auto& tier = state.report.tiers[drawn.kind->tier];
    if (answer.lost) {
        ++tier.connection_lost;
        return;
    }
    if (answer.status != 200) {
        if (answer.outcome == "not_executed") {
            ++tier.not_executed;
            state.report.reported_not_executed.insert(answer.id);
        } else {
            ++tier.unknown;
        }
        return;
    }
    const auto is_stream = drawn.kind->service.empty();
    if (is_stream && answer.body.find("\"error\"") != std::string::npos) {
        ++tier.unknown;
        return;
    }
    const auto complete = is_stream ? is_complete_stream(answer, drawn.kind->output_tokens)
                                    : is_matching_echo(answer, drawn.body);
    if (!complete) {
        ++tier.malformed;
        return;
    }
    if (seconds > std::chrono::duration<double>(drawn.kind->deadline).count()) {
        ++tier.late;
        return;
    }
    ++tier.in_time;
    state.report.total_seconds.push_back(seconds);
    if (is_stream) {
        state.report.first_token_seconds.push_back(answer.first_byte_seconds);
    }
}

asio::awaitable<void> send_request(generator_state& state, drawn_request drawn) {
    const auto start = steady::now();
    ++state.report.tiers[drawn.kind->tier].offered;
    const auto answer = co_await exchange(state, drawn, start);
    record_response(state, drawn, answer, seconds_since(start));
}

asio::awaitable<void> generate_load(generator_state& state) {
    asio::steady_timer timer(state.context);
    std::exponential_distribution<double> interval(state.options.rate);
    const auto start = steady::now();
    double send_at_seconds = 0.0;
    while (true) {
        send_at_seconds += interval(state.random);
        if (send_at_seconds > state.options.seconds) {
            co_return;
        }
        timer.expires_at(start + std::chrono::duration_cast<steady::duration>(
                                     std::chrono::duration<double>(send_at_seconds)));
        co_await timer.async_wait(as_result);
        auto drawn = draw(state.mix, state.random);
        asio::co_spawn(state.context, send_request(state, std::move(drawn)), asio::detached);
    }
}

} // namespace

load_report run_load(const load_options& options) {
    generator_state state{
        .options = options, .mix = *find_mix(options.mix), .random = std::mt19937_64(options.seed)};
    asio::co_spawn(state.context, generate_load(state), asio::detached);
    state.context.run();
    return std::move(state.report);
}

void check_journals(const std::vector<std::string>& files, load_report& report) {
    std::map<std::string, int> runs;
    std::map<std::string, std::uint64_t> prompts;
    for (const auto& file : files) {
        std::ifstream in(file);
        for (std::string line; std::getline(in, line);) {
            const auto entry = json::parse(line, nullptr, false);
            if (!entry.is_object()) {
                continue;
            }
            const auto id = entry.value("id", std::string{});
            const auto kind = entry.value("kind", std::string{});
            if (kind == "engine" || kind == "service" || kind == "duplicate") {
                ++runs[id];
            } else if (kind == "finished") {
                report.journal_prompt_tokens += entry.value("prompt", std::uint64_t{0});
                report.journal_cached_tokens += entry.value("cached", std::uint64_t{0});
            } else if (kind == "cancelled") {
                report.journal_wasted_tokens += entry.value("computed", std::uint64_t{0});
            }
        }
    }
    for (const auto& [id, count] : runs) {
        report.double_runs += count > 1 ? 1 : 0;
        report.ran_though_denied += report.reported_not_executed.contains(id) ? 1 : 0;
    }
}

} // namespace tarragonspar::load
