#pragma once

#include <LibPlatform/KeyedStore.h>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

/// A copy of the newest record per key of one topic that only moves forward: no read can revert a key to an older record, and a
/// read that ends before the known offset is ignored as stale.
/// Does no I/O and is not thread-safe.
class StoreReplica {
public:
    /// The next read of the topic.
    struct Step {
        bool isNewest { true }; ///< Reads the newest records of keys after `after`; otherwise all records starting at `from`.
        std::string after;
        std::uint64_t from { 0 };
    };

    /// Returns what to read next: first the newest records of all keys, then the records that follow.
    Step next() const;

    /// Applies the result of a history read. Returns the records that are new, in order.
    std::vector<Platform::KeyedRecord> take(Platform::KeyedBatch const&);

    /// Applies one page of the newest records. Returns the records that are new, including removals of keys that no longer
    /// exist, once the last page has arrived; nothing before that.
    std::vector<Platform::KeyedRecord> take(Platform::KeyedPage const&);

    /// Applies a record from another source, such as a peer. Returns whether it is new.
    bool takeRecord(Platform::KeyedRecord const&);

    /// Records that this replica can send to a peer.
    struct Extract {
        std::vector<Platform::KeyedRecord> records;
        std::uint64_t next { 0 }; ///< The offset after the last record read by this replica.
        bool isAll { false }; ///< The newest records of all keys; otherwise all changes since the requested offset.
    };

    /// Returns the changes since `from`, or the newest records of all keys if `wantsAll` is set or not all of those
    /// changes are known here. Precondition: `isComplete`.
    Extract extract(std::uint64_t from, bool wantsAll) const;

    /// Applies an extract from a peer, in place of a read. Returns the records that are new, including removals.
    std::vector<Platform::KeyedRecord> take(Extract const&);

    /// Whether the newest records have been read completely at least once.
    bool isComplete() const { return m_isComplete; }

    /// The offset after the last known record.
    std::uint64_t nextOffset() const { return m_next; }

    /// Returns the newest record of a key, or null if there is none or it was removed.
    Platform::KeyedRecord const* find(std::string const& key) const;

    /// Returns the value of the record at an offset: a current one, or a large one that was replaced recently. Null if it is not
    /// known here.
    std::string const* findVersion(std::uint64_t offset) const;

    /// Returns the largest current record whose replacement by a new version is worth sending as a difference, or null.
    Platform::KeyedRecord const* largestRecord() const;

    std::map<std::string, Platform::KeyedRecord> const& records() const { return m_records; } ///< By key, including removed ones.

private:
    std::vector<Platform::KeyedRecord> finishPages();
    void keepReplaced(Platform::KeyedRecord&);

    std::map<std::string, Platform::KeyedRecord> m_records;
    std::uint64_t m_next { 0 };
    bool m_isComplete { false };
    bool m_readsNewest { true };
    std::string m_after;
    std::uint64_t m_pagesFrom { 0 }; ///< End offset of the topic when the first page was read.
    std::uint64_t m_wholeFrom { 0 }; ///< Every change from this offset on was seen; of earlier ones only the newest per key.
    std::vector<Platform::KeyedRecord> m_pages;
    std::deque<Platform::KeyedRecord> m_replaced; ///< Former versions of large records, latest last.
};

}
