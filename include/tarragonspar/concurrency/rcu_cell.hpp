#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include <urcu-bp.h>

/// @brief Read-copy-update for values that are read on every request and replaced rarely.
namespace tarragonspar::concurrency {

/// @brief A value that many threads read without locks while one replaces it.
///
/// A reader takes a shared reference inside a read-side critical section, so a snapshot may be
/// kept for as long as a request needs it. A writer waits until no reader can still be inside the
/// section with the old reference.
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

    /// @brief The value in force.
    /// @par Complexity  constant; no lock
    [[nodiscard]] std::shared_ptr<const T> load() const {
        urcu_bp_read_lock();
        auto value = current_.load(std::memory_order_acquire)->value;
        urcu_bp_read_unlock();
        return value;
    }

    /// @brief Replaces the value; returns when no reader can see the old one's holder.
    void store(std::shared_ptr<const T> next) {
        auto fresh = std::make_unique<holder>(holder{std::move(next)});
        const std::lock_guard lock(writers_);
        const std::unique_ptr<holder> old(
            current_.exchange(fresh.release(), std::memory_order_acq_rel));
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
