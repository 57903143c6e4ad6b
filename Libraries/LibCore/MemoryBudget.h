#pragma once

#include <LibCore/BootClock.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Core {

/// Bounds the bytes that a process holds for requests, over all of its threads. Requests beyond the limit are refused; those that are
/// still arriving, and do so slowly, make room for others. A part of the limit is left to small requests. Thread-safe.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
public:
    using Time = BootClock::time_point;
    using Clock = std::function<Time()>;

    struct Settings {
        std::uint64_t limitBytes { 0 }; ///< 0: no limit.
        std::uint64_t smallBytes { 64 * 1024 }; ///< Most bytes of a request that is small.
        std::uint64_t smallShareDivisor { 4 }; ///< This part of the limit is never used by requests that are not small.
        /// How long a request may arrive before it makes room for others.
        std::chrono::milliseconds arrivalTime { 1'000 };
    };

    /// What one request holds, as long as the object lives. Keeps the budget alive.
    class Claim {
    public:
        ~Claim();
        Claim(Claim const&) = delete;
        Claim& operator=(Claim const&) = delete;

        /// Sets how many bytes the request holds or is going to. May revoke other claims. Returns whether there is room; if not, the claim
        /// stays as it was. Thread-safe.
        bool resize(std::uint64_t bytes);

        /// Notes that bytes of the request have arrived: of those that arrive slowly, the slowest makes room first. Thread-safe.
        void noteArrived(std::uint64_t bytes);

        /// Notes that the request is whole, so that the claim is not revoked any more. Returns whether it had not been. Thread-safe.
        bool complete();

        /// Returns whether the claim has made room for another. Thread-safe.
        bool isRevoked() const;

    private:
        friend class MemoryBudget;
        Claim(std::shared_ptr<MemoryBudget>, std::uint64_t number);

        std::shared_ptr<MemoryBudget> m_budget;
        std::uint64_t m_number;
    };

    /// How much is held, and what that has led to.
    struct Usage {
        std::uint64_t limitBytes { 0 };
        std::uint64_t arrivingBytes { 0 }; ///< Of requests that are not whole yet.
        std::uint64_t wholeBytes { 0 };
        std::uint64_t refusals { 0 };
        std::uint64_t revocations { 0 };
    };

    /// `now` is called by any thread.
    static std::shared_ptr<MemoryBudget> create(Settings const&, Clock now = BootClock::now);

    /// Adds a request that arrives. `onRevoked` is called at most once, from any thread and from within `resize` of another claim: it must
    /// neither wait nor use the budget, and have the request refused soon. Thread-safe.
    std::unique_ptr<Claim> claim(std::function<void()> onRevoked);

    /// Returns what is held now. Thread-safe.
    Usage usage() const;

private:
    struct Entry {
        std::uint64_t bytes { 0 };
        std::uint64_t arrived { 0 };
        Time since;
        bool isArriving { true };
        bool isRevoked { false };
        std::function<void()> onRevoked;
    };

    MemoryBudget(Settings const&, Clock);

    bool isSmall(std::uint64_t bytes) const { return bytes <= m_settings.smallBytes; }
    bool fits(std::uint64_t bytes, std::uint64_t freed, std::uint64_t freedLarge) const;
    void count(Entry&, std::uint64_t bytes);
    std::vector<std::uint64_t> slowestArrivals(std::uint64_t except, bool areSmallIncluded) const;
    bool makeRoom(std::uint64_t number, std::uint64_t bytes, std::vector<std::function<void()>>& revoked);

    Settings m_settings;
    Clock m_now;
    mutable std::mutex m_mutex;
    std::uint64_t m_lastNumber { 0 };
    std::uint64_t m_held { 0 }; ///< By claims that are not revoked, as the next two.
    std::uint64_t m_heldByLarge { 0 };
    std::uint64_t m_heldByWhole { 0 };
    std::uint64_t m_refusals { 0 };
    std::uint64_t m_revocations { 0 };
    std::map<std::uint64_t, Entry> m_entries;
};

}
