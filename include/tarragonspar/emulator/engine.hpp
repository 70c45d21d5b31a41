#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "tarragonspar/routing/prefix_index.hpp"
#include "tarragonspar/types/work.hpp"

/// @brief A stand-in for a model engine, without sockets and clocks.
///
/// The fake engine program and the policy experiments run this same model.
namespace tarragonspar::emulator {

/// @brief Speeds and sizes of an emulated engine.
struct engine_options {
    std::uint32_t slots{8}; ///< requests in one batch
    double prefill_tokens_per_second{8000};
    double decode_base_seconds{0.012}; ///< of an iteration, whatever the batch
    double decode_seconds_per_stream{0.0008};
    std::uint32_t prefill_chunk_tokens{128}; ///< prompt tokens computed in one iteration at most
    std::size_t cache_blocks{2048};          ///< blocks of the prefix cache
    double slowness{1.0};                    ///< factor on the time of every iteration
};

/// @brief A request as an engine sees it.
struct job {
    request_id id;
    token_count prompt;
    token_count output; ///< tokens that it will generate
    std::vector<block_hash> blocks;
};

/// What happened to a job in an iteration.
enum class progress_kind : std::uint8_t { first_token, token, finished };

/// @brief Progress of one job.
struct progress {
    progress_kind kind{progress_kind::token};
    request_id id;
    token_count generated; ///< tokens generated so far
    token_count cached;    ///< prompt tokens found in the cache
};

/// @brief Change of the prefix cache.
struct cache_change {
    std::vector<block_hash> stored;
    std::vector<block_hash> evicted;
};

/// @brief Counters since the start.
struct engine_totals {
    std::uint64_t computed_prefill{}; ///< prompt tokens computed
    std::uint64_t wasted_prefill{};   ///< of jobs that were cancelled before their end
    std::uint64_t cached_prefill{};   ///< prompt tokens found in the cache
    std::uint64_t generated{};
};

/// @brief State of an emulated engine.
///
/// Admits jobs in order of arrival into a batch of fixed size, computes prompts in chunks beside
/// the decoding of the others, and caches prompt blocks, least recently used ones evicted first.
class engine {
public:
    explicit engine(const engine_options& options);

    /// @brief Adds a job.
    void submit(const job& what, time_point now);

    /// @brief Ends a job; its computed prompt tokens count as wasted.
    /// @return false when the job is not here
    bool cancel(const request_id& id);

    /// @brief When the iteration under way ends; nothing while idle.
    [[nodiscard]] std::optional<time_point> next_step() const noexcept {
        return step_ends_;
    }

    /// @brief Ends the iteration under way and begins the next one.
    /// @param now  must not be before `next_step()`
    void run_step(time_point now, std::vector<progress>& out);

    /// @brief Drops all jobs and the cache, as a crash does.
    void crash();

    /// @brief Changes the factor on the time of every iteration.
    void set_slowness(double factor) noexcept {
        options_.slowness = factor;
    }

    [[nodiscard]] std::uint32_t running() const noexcept {
        return static_cast<std::uint32_t>(batch_.size());
    }
    [[nodiscard]] std::uint32_t waiting() const noexcept {
        return static_cast<std::uint32_t>(waiting_.size());
    }
    [[nodiscard]] const engine_totals& totals() const noexcept {
        return totals_;
    }
    [[nodiscard]] const engine_options& options() const noexcept {
        return options_;
    }

    /// @brief Blocks at the start of a prompt that are in the cache.
    [[nodiscard]] std::size_t cached_blocks(std::span<const block_hash> blocks) const {
        return cache_.match(blocks);
    }

    /// @brief Prompt tokens that wait to be computed, for schedules with perfect knowledge.
    [[nodiscard]] std::uint64_t prefill_backlog() const noexcept;

    /// @brief Takes the cache changes since the last call.
    [[nodiscard]] cache_change take_cache_change();

private:
    struct active_job {
        job what;
        std::uint32_t prefill_left{};
        token_count cached;
        token_count generated;
    };

    void admit();
    void begin_step(time_point now);
    std::uint32_t compute_prefill();
    void decode(std::vector<progress>& out);

    engine_options options_;
    std::deque<job> waiting_;
    std::vector<active_job> batch_;
    routing::prefix_index cache_;
    std::optional<time_point> step_ends_;
    engine_totals totals_;
    cache_change changes_;
};

} // namespace tarragonspar::emulator
