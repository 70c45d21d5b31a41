#include "tarragonspar/emulator/engine.hpp"

#include <algorithm>

namespace tarragonspar::emulator {

engine::engine(const engine_options& options) : options_(options), cache_(options.cache_blocks) {}

void engine::submit(const job& request, time_point now) {
    waiting_.push_back(request);
    if (!step_ends_) {
        begin_step(now);
    }
}

bool engine::cancel(const request_id& id) {
    const auto queued = std::find_if(waiting_.begin(), waiting_.end(),
                                     [&](const job& item) { return item.id == id; });
    if (queued != waiting_.end()) {
        waiting_.erase(queued);
        return true;
    }
    const auto active = std::find_if(batch_.begin(), batch_.end(),
                                     [&](const active_job& item) { return item.request.id == id; });
    if (active == batch_.end()) {
        return false;
    }
    const auto computed =
        active->request.prompt.value - active->cached.value - active->prefill_left;
    totals_.wasted_prefill += computed;
    batch_.erase(active);
    return true;
}

void engine::crash() {
    for (const auto& item : batch_) {
        totals_.wasted_prefill += item.request.prompt.value - item.cached.value - item.prefill_left;
    }
    waiting_.clear();
    batch_.clear();
    cache_.clear();
    step_ends_.reset();
}

void engine::admit() {
    while (!waiting_.empty() && batch_.size() < options_.slots) {
        active_job item{.request = std::move(waiting_.front())};
        waiting_.pop_front();
        const auto found = cache_.match(item.request.blocks) * block_tokens;
        // At least one prompt token is computed even if all are cached, since the first token is
        // sampled from its logits.
        const auto limit = item.request.prompt.value == 0 ? 0 : item.request.prompt.value - 1;
        item.cached = {std::min(static_cast<std::uint32_t>(found), limit)};
        item.prefill_left = item.request.prompt.value - item.cached.value;
        totals_.cached_prefill += item.cached.value;
        batch_.push_back(std::move(item));
    }
}

void engine::begin_step(time_point now) {
    admit();
    if (batch_.empty()) {
        step_ends_.reset();
        return;
    }
    std::uint32_t decoding = 0;
    std::uint32_t prefill = 0;
    for (const auto& item : batch_) {
        prefill += item.prefill_left;
        decoding += item.prefill_left == 0 ? 1 : 0;
    }
    prefill = std::min(prefill, options_.prefill_chunk_tokens);
    const auto seconds = options_.decode_base_seconds +
                         decoding * options_.decode_seconds_per_stream +
                         prefill / options_.prefill_tokens_per_second;
    step_ends_ = now + from_seconds(seconds * options_.slowness);
}

std::uint32_t engine::compute_prefill() {
    auto budget = options_.prefill_chunk_tokens;
    for (auto& item : batch_) {
        if (item.prefill_left == 0 || budget == 0) {
            continue;
        }
        const auto chunk = std::min(budget, item.prefill_left);
        item.prefill_left -= chunk;
        budget -= chunk;
        if (item.prefill_left == 0) {
            cache_.insert(item.request.blocks, &changes_.evicted);
            changes_.stored.insert(changes_.stored.end(), item.request.blocks.begin(),
                                   item.request.blocks.end());
        }
    }
    return options_.prefill_chunk_tokens - budget;
}

void engine::decode(std::vector<progress>& out) {
    for (auto& item : batch_) {
        if (item.prefill_left > 0) {
            continue;
        }
        ++item.generated.value;
        ++totals_.generated;
        const auto kind =
            item.generated.value == 1 ? progress_kind::first_token : progress_kind::token;
        out.push_back({.kind = kind,
                       .id = item.request.id,
                       .generated = item.generated,
                       .cached = item.cached});
        if (item.generated.value < item.request.output.value) {
            continue;
        }
        out.push_back({.kind = progress_kind::finished,
                       .id = item.request.id,
                       .generated = item.generated,
                       .cached = item.cached});
    }
    std::erase_if(batch_, [](const active_job& item) {
        return item.generated.value >= std::max(1U, item.request.output.value);
    });
}

void engine::run_step(time_point now, std::vector<progress>& out) {
    totals_.computed_prefill += compute_prefill();
    decode(out);
    begin_step(now);
}

std::uint64_t engine::prefill_backlog() const noexcept {
    std::uint64_t backlog = 0;
    for (const auto& item : batch_) {
        backlog += item.prefill_left;
    }
    for (const auto& item : waiting_) {
        backlog += item.prompt.value;
    }
    return backlog;
}

cache_change engine::drain_cache_changes() {
    auto result = std::move(changes_);
    changes_ = {};
    return result;
}

} // namespace tarragonspar::emulator
