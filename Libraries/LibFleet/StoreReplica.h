#pragma once

#include <LibPlatform/KeyedStore.h>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fleet {

/// A copy of the newest record of each key of one topic, which only ever goes forward: whatever a read says, no key
/// goes back to an older record, and a read that ends before what is known is ignored as stale.
/// Pure and not thread-safe.
class StoreReplica {
public:
    /// How the topic is to be read next.
    struct Step {
        bool isNewest { true }; ///< The newest records behind `after`; else all records from `from` on.
        std::string after;
        std::uint64_t from { 0 };
    };

    /// Returns what to read next: all newest records first, then what follows them.
    Step next() const;

    /// Takes the answer to a read of records. Returns the records that are news, in their order.
    std::vector<Platform::KeyedRecord> take(Platform::KeyedBatch const&);

    /// Takes the answer to a read of the newest records. Returns the records that are news, removals of keys that are
    /// gone among them, once the last part has come; nothing before.
    std::vector<Platform::KeyedRecord> take(Platform::KeyedPage const&);

    /// Takes a record from somewhere else, such as a peer. Returns whether it is news.
    bool takeRecord(Platform::KeyedRecord const&);

    /// What this replica can tell a peer.
    struct Extract {
        std::vector<Platform::KeyedRecord> records;
        std::uint64_t next { 0 }; ///< The offset behind what was read here.
        bool isAll { false }; ///< The newest records of all keys; else all changes from the offset asked for.
    };

    /// Returns the changes from `from` on, or the newest records of all keys where `wantsAll`, or where the changes
    /// are not all known here. Precondition: `isComplete`.
    Extract extract(std::uint64_t from, bool wantsAll) const;

    /// Takes what a peer told, in place of a read. Returns the records that are news, removals among them.
    std::vector<Platform::KeyedRecord> take(Extract const&);

    /// Whether all newest records were read once.
    bool isComplete() const { return m_isComplete; }

    /// The offset behind the last record that is known of.
    std::uint64_t nextOffset() const { return m_next; }

    /// Returns the newest record of a key, or null when there is none or it was removed.
    Platform::KeyedRecord const* find(std::string const& key) const;

    std::map<std::string, Platform::KeyedRecord> const& records() const { return m_records; } ///< By key; removed ones too.

private:
    std::vector<Platform::KeyedRecord> finishPages();

    std::map<std::string, Platform::KeyedRecord> m_records;
    std::uint64_t m_next { 0 };
    bool m_isComplete { false };
    bool m_readsNewest { true };
    std::string m_after;
    std::uint64_t m_pagesFrom { 0 }; ///< Where the topic ended when the first part was read.
    std::uint64_t m_wholeFrom { 0 }; ///< From here on every change was seen; of earlier ones only what was left of them.
    std::vector<Platform::KeyedRecord> m_pages;
};

}
