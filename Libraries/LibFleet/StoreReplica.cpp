#include <LibFleet/StoreReplica.h>
#include <algorithm>
#include <set>

namespace Fleet {

namespace {

// Of smaller records a difference saves nothing.
constexpr std::size_t largeRecordBytes = std::size_t { 4 } << 10U;
// A peer that is being updated may be one version behind, or two where versions follow each other quickly.
constexpr std::size_t maxReplaced = 2;

}

StoreReplica::Step StoreReplica::next() const
{
    return { m_readsNewest, m_after, m_next };
}

std::vector<Platform::KeyedRecord> StoreReplica::take(Platform::KeyedBatch const& batch)
{
    std::vector<Platform::KeyedRecord> news;
    // The store may truncate the history at any time, but keeps the newest record of each key.
    if (batch.isExpired) {
        m_readsNewest = true;
        return news;
    }
    for (Platform::KeyedRecord const& record : batch.records) {
        if (takeRecord(record))
            news.push_back(record);
    }
    if (!batch.records.empty())
        m_next = std::max(m_next, batch.records.back().offset + 1);
    return news;
}

std::vector<Platform::KeyedRecord> StoreReplica::take(Platform::KeyedPage const& page)
{
    if (m_after.empty())
        m_pagesFrom = page.next;
    m_pages.insert(m_pages.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        m_after = page.records.back().key;
        return {};
    }
    return finishPages();
}

std::vector<Platform::KeyedRecord> StoreReplica::finishPages()
{
    std::vector<Platform::KeyedRecord> news;
    std::vector<Platform::KeyedRecord> pages = std::exchange(m_pages, {});
    m_after.clear();
    // A stale read; the next one follows soon enough.
    if (m_pagesFrom < m_next)
        return news;
    std::set<std::string> present;
    for (Platform::KeyedRecord const& record : pages) {
        present.insert(record.key);
        if (takeRecord(record))
            news.push_back(record);
    }
    for (std::pair<std::string const, Platform::KeyedRecord>& it : m_records) {
        bool isGone = it.second.value && it.second.offset < m_pagesFrom && !present.contains(it.first);
        if (!isGone)
            continue;
        // The removal's offset is unknown, only that it precedes the end of this read. Daemons detect updates by comparing
        // offsets.
        it.second.offset = m_pagesFrom - 1;
        it.second.value.reset();
        news.push_back(it.second);
    }
    m_next = m_pagesFrom;
    m_wholeFrom = m_pagesFrom;
    m_readsNewest = false;
    m_isComplete = true;
    return news;
}

StoreReplica::Extract StoreReplica::extract(std::uint64_t from, bool wantsAll) const
{
    Extract extract;
    extract.next = m_next;
    extract.isAll = wantsAll || from < m_wholeFrom;
    for (std::pair<std::string const, Platform::KeyedRecord> const& it : m_records) {
        bool isWanted = extract.isAll ? it.second.value.has_value() : it.second.offset >= from;
        if (isWanted)
            extract.records.push_back(it.second);
    }
    std::sort(extract.records.begin(), extract.records.end(), [](Platform::KeyedRecord const& a, Platform::KeyedRecord const& b) { return a.offset < b.offset; });
    return extract;
}

std::vector<Platform::KeyedRecord> StoreReplica::take(Extract const& extract)
{
    if (extract.isAll) {
        // Discard pages read so far, as this extract is complete.
        m_pages = extract.records;
        m_pagesFrom = extract.next;
        return finishPages();
    }
    std::vector<Platform::KeyedRecord> news;
    for (Platform::KeyedRecord const& record : extract.records) {
        if (takeRecord(record))
            news.push_back(record);
    }
    m_next = std::max(m_next, extract.next);
    return news;
}

bool StoreReplica::takeRecord(Platform::KeyedRecord const& record)
{
    std::pair<std::map<std::string, Platform::KeyedRecord>::iterator, bool> added = m_records.try_emplace(record.key, record);
    if (added.second)
        return true;
    if (record.offset <= added.first->second.offset)
        return false;
    keepReplaced(added.first->second);
    added.first->second = record;
    return true;
}

void StoreReplica::keepReplaced(Platform::KeyedRecord& record)
{
    if (!record.value || record.value->size() < largeRecordBytes)
        return;
    m_replaced.push_back(std::move(record));
    if (m_replaced.size() > maxReplaced)
        m_replaced.pop_front();
}

std::string const* StoreReplica::findVersion(std::uint64_t offset) const
{
    for (Platform::KeyedRecord const& it : m_replaced) {
        if (it.offset == offset)
            return &*it.value;
    }
    for (std::pair<std::string const, Platform::KeyedRecord> const& it : m_records) {
        if (it.second.offset == offset && it.second.value)
            return &*it.second.value;
    }
    return nullptr;
}

Platform::KeyedRecord const* StoreReplica::largestRecord() const
{
    Platform::KeyedRecord const* largest = nullptr;
    for (std::pair<std::string const, Platform::KeyedRecord> const& it : m_records) {
        bool isLarge = it.second.value && it.second.value->size() >= largeRecordBytes;
        if (isLarge && (!largest || it.second.value->size() > largest->value->size()))
            largest = &it.second;
    }
    return largest;
}

Platform::KeyedRecord const* StoreReplica::find(std::string const& key) const
{
    std::map<std::string, Platform::KeyedRecord>::const_iterator it = m_records.find(key);
    return it != m_records.end() && it->second.value ? &it->second : nullptr;
}

}
