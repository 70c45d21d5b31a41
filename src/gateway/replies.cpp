#include "tarragonspar/gateway/detail/replies.hpp"

#include <cmath>

#include "tarragonspar/http/completion_api.hpp"

namespace tarragonspar::gateway::detail {

namespace {

/// Retry delay for a refusal without a better estimate: a few service times.
constexpr duration default_retry_after = std::chrono::milliseconds{500};
/// Largest relative jitter added to the retry delay, so that refused callers don't return together.
constexpr double max_retry_jitter = 0.5;

} // namespace

http::reply make_refusal(unsigned status, const std::string& why, duration retry_after,
                         std::mt19937_64& random) {
    auto out = http::format_error(status, why);
    if (status == status_too_many || status == status_unavailable) {
        std::uniform_real_distribution<double> jitter(1.0, 1.0 + max_retry_jitter);
        const auto delay = retry_after > duration{} ? retry_after : default_retry_after;
        const auto millis = std::ceil(to_seconds(delay) * jitter(random) * 1e3);
        std::string text = std::to_string(millis / 1e3);
        text.resize(text.find('.') + 4);
        out.headers.emplace_back("Retry-After", std::move(text));
    }
    return out;
}

} // namespace tarragonspar::gateway::detail
