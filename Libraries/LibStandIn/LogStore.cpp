#include <LibStandIn/LogStore.h>

#include <algorithm>

namespace StandIn {

Core::Result<std::uint64_t> LogStore::append(std::string const& stream, std::string data)
{
    if (m_faults.isDown)
        return Core::fail(Core::ErrorCode::Unavailable, "The log is down.");
    if (data.size() > maximumRecordBytes)
        return Core::fail(Core::ErrorCode::BadInput, "A record may have at most 1048576 bytes.");
    Stream& it = m_streams[stream];
    it.records.push_back(std::move(data));
    std::uint64_t offset = it.first + it.records.size() - 1;
    applyRetention(it);
    if (onAppend)
        onAppend(stream);
    return offset;
}

Core::Result<LogPage> LogStore::read(std::string const& stream, std::uint64_t from, std::size_t limit) const
{
    if (m_faults.isDown)
        return Core::fail(Core::ErrorCode::Unavailable, "The log is down.");
    LogPage page;
    page.range = rangeOf(stream);
    if (from < page.range.first)
        return Core::fail(Core::ErrorCode::Gap, "The oldest record kept is " + std::to_string(page.range.first) + ".");
    if (from >= page.range.next)
        return page;
    Stream const& it = m_streams.at(stream);
    std::uint64_t end = std::min<std::uint64_t>(page.range.next, from + limit);
    for (std::uint64_t offset = from; offset < end; ++offset)
        page.records.push_back({ offset, it.records[offset - it.first] });
    return page;
}

LogRange LogStore::rangeOf(std::string const& stream) const
{
    auto it = m_streams.find(stream);
    if (it == m_streams.end())
        return {};
    return { it->second.first, it->second.first + it->second.records.size() };
}

void LogStore::trim(std::string const& stream, std::uint64_t first)
{
    auto it = m_streams.find(stream);
    if (it == m_streams.end())
        return;
    while (it->second.first < first && !it->second.records.empty()) {
        it->second.records.pop_front();
        ++it->second.first;
    }
}

void LogStore::setRetention(std::uint64_t records)
{
    m_retention = records;
    for (std::pair<std::string const, Stream>& it : m_streams)
        applyRetention(it.second);
}

void LogStore::applyRetention(Stream& stream) const
{
    while (m_retention != 0 && stream.records.size() > m_retention) {
        stream.records.pop_front();
        ++stream.first;
    }
}

}
