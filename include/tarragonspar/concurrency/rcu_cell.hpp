#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include <urcu-bp.h>

/// @brief Read-copy-update for values that are read on every request and replaced rarely.
namespace tarragonspar::concurrency {

/// @brief A value that many threads read without locks while one thread replaces it.
///
/// A reader copies the shared pointer inside a read-side critical section, so it may use a snapshot
/// for as long as a request runs. A writer waits until no reader can still be in a critical section
/// with the old value.
template <class T>
class rcu_cell {
public:
    explicit rcu_cell(std::shared_ptr<const T> first) : current_(new holder{std::move(first)}) {}
    rcu_cell(const rcu_cell&) = delete;
    rcu_cell& operator=(const rcu_cell&) = delete;
    rcu_cell(rcu_cell&&) = delete;
    rcu_cell& operator=(rcu_cell&&) = delete;
    ~rcu_cell() {
        delete current_.load();
    }

    /// @brief Returns the current value.
    /// @par Complexity  constant; no lock
    [[nodiscard]] std::shared_ptr<const T> load() const {
        urcu_bp_read_lock();
        auto value = current_.load(std::memory_order_acquire)->value;
        urcu_bp_read_unlock();
        return value;
    }

    /// @brief Replaces the value; returns when no reader can access the old holder.
    void store(std::shared_ptr<const T> next) {
        auto replacement = std::make_unique<holder>(holder{std::move(next)});
        const std::lock_guard lock(writers_);
        const std::unique_ptr<holder> old(
            current_.exchange(replacement.release(), std::memory_order_acq_rel));
        urcu_bp_synchronize_rcu();
    }

private:
    struct holder {
        std::shared_ptr<const T> value;
    };

    std::atomic<holder*> current_;
    std::mutex writers_;
};

} // namespace tarragonspar::concurrency
