#pragma once

#include <LibCore/BootClock.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace Daemon {

/// Bounds the bytes of answers that a daemon holds because their callers have not read them yet, over all of its threads. Beyond the
/// limit the caller is cut off that has kept its connection from taking the next bytes for longest; the others go on. Answers that
/// their callers read at once are counted, too, but cost nobody the connection. Thread-safe.
class AnswerRoom {
public:
    using Time = Core::BootClock::time_point;

    /// What an answer holds. It is counted as long as the object lives.
    class Share {
    public:
        ~Share();

        Share(Share const&) = delete;
        Share& operator=(Share const&) = delete;

        /// Sets how many bytes the answer holds, and since when its caller has kept the connection from taking them; `Time()`:
        /// it does not. May have another answer or this one cut off. Thread-safe.
        void hold(std::uint64_t bytes, Time waitingSince);

        /// Returns whether the caller has been cut off. Thread-safe.
        bool isCut() const;

    private:
        friend class AnswerRoom;
        Share(AnswerRoom&, std::uint64_t number);

        AnswerRoom& m_room;
        std::uint64_t m_number;
    };

    /// `limit` in bytes; 0: no limit.
    explicit AnswerRoom(std::uint64_t limit)
        : m_limit(limit)
    {
    }

    /// Adds an answer. `cut` is called at most once, from any thread and from within `hold`, and must neither wait nor call the room.
    /// Precondition: the room outlives the share. Thread-safe.
    std::unique_ptr<Share> add(std::function<void(std::uint64_t heldBytes)> cut);

    /// Returns whether there is a limit. Thread-safe.
    bool hasLimit() const { return m_limit > 0; }

    /// Returns the bytes held. Thread-safe.
    std::uint64_t heldBytes() const;

    /// Returns how many callers have been cut off. Thread-safe.
    std::uint64_t cutCount() const;

private:
    struct Entry {
        std::uint64_t bytes { 0 };
        Time waitingSince;
        bool isCut { false };
        std::function<void(std::uint64_t)> cut;
    };

    void hold(std::uint64_t number, std::uint64_t bytes, Time waitingSince);
    void cutSlowest(std::vector<std::pair<std::function<void(std::uint64_t)>, std::uint64_t>>& cuts);

    std::uint64_t m_limit;
    mutable std::mutex m_mutex;
    std::uint64_t m_lastNumber { 0 };
    std::uint64_t m_held { 0 }; ///< By those that are not cut.
    std::uint64_t m_cutCount { 0 };
    std::map<std::uint64_t, Entry> m_entries;
    std::set<std::pair<Time, std::uint64_t>> m_waiting; ///< Answers that are not cut off, the slowest first.
};

}
