#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "tarragonspar/routing/prefix_index.hpp"
#include "tarragonspar/types/work.hpp"

/// @brief Simulation of a model engine, without sockets and clocks.
///
/// Shared by the fake engine program and the policy experiments.
namespace tarragonspar::emulator {

/// @brief Parameters of an emulated engine.
struct engine_options {
    std::uint32_t slots{8}; ///< maximum number of requests in a batch
    double prefill_tokens_per_second{8000};
    /// Part of an iteration's time that does not depend on the batch.
    double decode_base_seconds{0.012};
    double decode_seconds_per_stream{0.0008}; ///< time per iteration for each decoding request
    /// Maximum number of prompt tokens computed in one iteration.
    std::uint32_t prefill_chunk_tokens{128};
    std::size_t cache_blocks{2048}; ///< capacity of the prefix cache in blocks
    double slowness{1.0};           ///< factor on the time of every iteration
};

/// @brief A request as submitted to an engine.
struct job {
    request_id id;
    token_count prompt;
    token_count output; ///< number of tokens to generate
    std::vector<block_hash> blocks;
};

/// @brief Kind of progress of a job in an iteration.
enum class progress_kind : std::uint8_t { first_token, token, finished };

/// @brief Progress of one job.
struct progress {
    progress_kind kind{progress_kind::token};
    request_id id;
    token_count generated; ///< tokens generated so far
    token_count cached;    ///< prompt tokens found in the cache
};

/// @brief Blocks added to and evicted from the prefix cache.
struct cache_change {
    std::vector<block_hash> stored;
    std::vector<block_hash> evicted;
};

/// @brief Counters since the start.
struct engine_totals {
    std::uint64_t computed_prefill{}; ///< prompt tokens computed
    /// Computed prompt tokens of jobs that were cancelled or lost in a crash.
    std::uint64_t wasted_prefill{};
    std::uint64_t cached_prefill{}; ///< prompt tokens found in the cache
    std::uint64_t generated{};      ///< tokens generated
};

/// @brief An emulated engine.
///
/// Admits jobs in order of arrival into a batch of fixed maximum size, computes prompts in chunks
/// while other jobs decode, and caches prompt blocks, evicting the least recently used ones first.
class engine {
public:
    explicit engine(const engine_options& options);

    /// @brief Adds a job.
    void submit(const job& request, time_point now);

    /// @brief Cancels a job; its computed prompt tokens count as wasted.
    /// @return false if the job is neither waiting nor running
    bool cancel(const request_id& id);

    /// @brief Returns when the current iteration ends, or nothing while idle.
    [[nodiscard]] std::optional<time_point> next_step() const noexcept {
        return step_ends_;
    }

    /// @brief Completes the current iteration and starts the next one.
    /// @param now  must not be before `next_step()`
    void run_step(time_point now, std::vector<progress>& out);

    /// @brief Drops all jobs and the cache, as in a crash.
    void crash();

    /// @brief Sets the factor on the time of every iteration.
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

    /// @brief Returns the number of blocks at the start of a prompt that are in the cache.
    [[nodiscard]] std::size_t cached_blocks(std::span<const block_hash> blocks) const {
        return cache_.match(blocks);
    }

    /// @brief Returns the number of prompt tokens that wait to be computed, for schedulers with
    /// perfect knowledge.
    [[nodiscard]] std::uint64_t prefill_backlog() const noexcept;

    /// @brief Returns and clears the cache changes since the last call.
    [[nodiscard]] cache_change drain_cache_changes();

private:
    struct active_job {
        job request;
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
