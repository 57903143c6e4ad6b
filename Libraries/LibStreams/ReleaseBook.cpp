#include <LibStreams/ReleaseBook.h>
#include <algorithm>

namespace Streams {

bool ReleaseBook::take(std::string const& service, ReleaseRecord record)
{
    std::pair<std::map<std::string, ReleaseRecord>::iterator, bool> added = m_records.try_emplace(service, record);
    if (!added.second && record.offset <= added.first->second.offset)
        return false;
    added.first->second = std::move(record);
    return true;
}

void ReleaseBook::setListed(std::map<std::string, std::set<std::string>> listed, Time now)
{
    // What was listed until now was listed just now.
    for (std::map<std::string, std::set<std::string>> const* services : { &m_listed, &listed }) {
        for (std::pair<std::string const, std::set<std::string>> const& service : *services) {
            for (std::string const& release : service.second)
                m_listedAt[service.first][release] = now;
        }
    }
    m_listed = std::move(listed);
}

bool ReleaseBook::mayBegin(StreamOrigin const& origin) const
{
    std::map<std::string, ReleaseRecord>::const_iterator record = m_records.find(origin.service);
    return record != m_records.end() && record->second.releases.contains(origin.release);
}

bool ReleaseBook::isMixed(std::string const& service) const
{
    std::map<std::string, ReleaseRecord>::const_iterator record = m_records.find(service);
    return record == m_records.end() || !onlyRelease(record->second);
}

std::optional<std::string> ReleaseBook::onlyRelease(ReleaseRecord const& record)
{
    bool isOnly = record.releases.size() == 1 && !record.releases.begin()->empty();
    return isOnly ? std::optional<std::string>(*record.releases.begin()) : std::nullopt;
}

std::optional<ReleaseBook::Change> ReleaseBook::changeOf(std::string const& service, Time now) const
{
    std::map<std::string, std::set<std::string>>::const_iterator listed = m_listed.find(service);
    std::map<std::string, ReleaseRecord>::const_iterator record = m_records.find(service);
    Change change { service, {} };
    if (record != m_records.end())
        change.releases = record->second.releases;
    std::size_t before = change.releases.size();
    if (listed != m_listed.end())
        change.releases.insert(listed->second.begin(), listed->second.end());
    if (change.releases.size() > before)
        return change;
    std::map<std::string, std::map<std::string, Time>>::const_iterator times = m_listedAt.find(service);
    bool isAnyLeft = std::erase_if(change.releases, [&](std::string const& release) {
        bool isListed = listed != m_listed.end() && listed->second.contains(release);
        return !isListed && times != m_listedAt.end() && times->second.contains(release) && now - times->second.at(release) >= m_settings.retention;
    }) > 0;
    // The last record of a service that has no targets any more says at which release its streams began.
    return isAnyLeft && !change.releases.empty() ? std::optional<Change>(std::move(change)) : std::nullopt;
}

Time ReleaseBook::drawWriteTime(Time now, std::size_t daemons)
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> draw(0, m_settings.windowPerDaemon.count() * static_cast<std::chrono::milliseconds::rep>(std::max<std::size_t>(1, daemons)));
    return now + m_settings.othersFirst + std::chrono::milliseconds(draw(m_random));
}

std::optional<ReleaseBook::Change> ReleaseBook::dueChange(Time now, bool isReader, std::size_t daemons)
{
    if (!m_isLoaded)
        return std::nullopt;
    // A release that another daemon has recorded counts from when it was first found there.
    for (std::pair<std::string const, ReleaseRecord> const& it : m_records) {
        for (std::string const& release : it.second.releases)
            m_listedAt[it.first].try_emplace(release, now);
    }
    std::set<std::string> services;
    for (std::pair<std::string const, std::set<std::string>> const& it : m_listed)
        services.insert(it.first);
    for (std::pair<std::string const, ReleaseRecord> const& it : m_records)
        services.insert(it.first);
    for (std::string const& service : services) {
        std::optional<Change> change = changeOf(service, now);
        if (!change) {
            m_dueAt.erase(service);
            continue;
        }
        if (!m_dueAt.contains(service))
            m_dueAt[service] = drawWriteTime(now, daemons);
        if (isReader)
            return change;
        if (now >= m_dueAt[service]) {
            m_dueAt[service] = drawWriteTime(now, daemons);
            return change;
        }
    }
    return std::nullopt;
}

}
