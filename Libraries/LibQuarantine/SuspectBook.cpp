#include <LibQuarantine/SuspectBook.h>
#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace Quarantine {

namespace {

Time lastEndOf(Suspect const& suspect)
{
    Time last;
    for (TargetEnd const& end : suspect.ends)
        last = std::max(last, end.at);
    return last;
}

}

std::chrono::milliseconds newsLifetime(std::chrono::milliseconds beaconInterval)
{
    constexpr std::chrono::milliseconds minLifetime { 1'000 };
    constexpr int repeatedBeacons = 4;
    return std::max(minLifetime, repeatedBeacons * beaconInterval);
}

std::optional<Finding> SuspectBook::noteEnd(WorkKey const& key, TargetEnd const& end)
{
    std::map<WorkKey, Suspect>::iterator it = m_suspects.find(key);
    if (it == m_suspects.end()) {
        evictIfFull();
        it = m_suspects.emplace(key, Suspect { key, {}, {} }).first;
    }
    Suspect& suspect = it->second;
    bool isKnown = hasEnd(suspect, end);
    bool isSurvived = suspect.survivedAt != Time() && end.at <= suspect.survivedAt;
    if (isKnown || isSurvived || suspect.ends.size() >= m_settings.maxEnds)
        return std::nullopt;
    bool wasRefused = isRefused(suspect);
    m_digest -= digestOf(suspect);
    suspect.ends.push_back(end);
    m_digest += digestOf(suspect);
    return Finding { key, end.target, suspect.ends.size(), !wasRefused && isRefused(suspect) };
}

bool SuspectBook::isSameEnd(TargetEnd const& a, TargetEnd const& b) const
{
    bool areSeparate = a.begunAt > b.at + m_settings.minEndSeparation || b.begunAt > a.at + m_settings.minEndSeparation;
    return a.target.incarnation == b.target.incarnation && !areSeparate;
}

bool SuspectBook::noteSurvived(WorkKey const& key, Time at)
{
    std::map<WorkKey, Suspect>::iterator it = m_suspects.find(key);
    if (it == m_suspects.end() || at <= it->second.survivedAt)
        return false;
    bool wasSuspected = !it->second.ends.empty();
    it->second.survivedAt = at;
    dropEndsUntil(it->second, at);
    return wasSuspected;
}

void SuspectBook::dropEndsUntil(Suspect& suspect, Time at)
{
    m_digest -= digestOf(suspect);
    std::erase_if(suspect.ends, [&](TargetEnd const& end) { return end.at <= at; });
    m_digest += digestOf(suspect);
}

// `digest` is the sum of these, so it is independent of the order of evidence. The number of ends is capped since
// daemons may keep different ends of a request beyond those needed to refuse it.
std::uint64_t SuspectBook::digestOf(Suspect const& suspect) const
{
    if (suspect.ends.empty())
        return 0;
    std::array<std::uint64_t, 3> parts { suspect.key.low, suspect.key.high, std::min(suspect.ends.size(), m_settings.endsToRefuse) };
    return XXH3_64bits(parts.data(), sizeof(parts));
}

// Evicts the suspect with the fewest ends; among equals, the one whose last end is the oldest.
void SuspectBook::evictIfFull()
{
    if (m_suspects.size() < m_settings.maxSuspects)
        return;
    std::map<WorkKey, Suspect>::iterator least = std::min_element(m_suspects.begin(), m_suspects.end(), [](std::pair<WorkKey const, Suspect> const& a, std::pair<WorkKey const, Suspect> const& b) {
        return std::make_pair(a.second.ends.size(), lastEndOf(a.second)) < std::make_pair(b.second.ends.size(), lastEndOf(b.second));
    });
    dropEndsUntil(least->second, Time::max());
    m_suspects.erase(least);
}

void SuspectBook::addNews(SuspectNews news, Time now)
{
    m_news.emplace_back(std::move(news), now);
}

std::vector<SuspectNews> SuspectBook::news(Time now, std::chrono::milliseconds lifetime)
{
    std::erase_if(m_news, [&](std::pair<SuspectNews, Time> const& it) { return now - it.second >= lifetime; });
    std::vector<SuspectNews> news;
    for (std::size_t n = m_news.size(); n > 0 && news.size() < m_settings.maxNewsPerBeacon; --n)
        news.push_back(m_news[n - 1].first);
    return news;
}

std::size_t SuspectBook::ends(WorkKey const& key) const
{
    std::map<WorkKey, Suspect>::const_iterator it = m_suspects.find(key);
    return it == m_suspects.end() ? 0 : it->second.ends.size();
}

bool SuspectBook::isRefused(WorkKey const& key) const
{
    std::map<WorkKey, Suspect>::const_iterator it = m_suspects.find(key);
    return it != m_suspects.end() && isRefused(it->second);
}

bool SuspectBook::isRefused(Suspect const& suspect) const
{
    if (suspect.ends.size() < m_settings.endsToRefuse || !isSoftwareInUse(suspect))
        return false;
    return !isPartKey(suspect.key) || unexplainedEnds(suspect) >= m_settings.endsToRefuse;
}

std::size_t SuspectBook::unexplainedEnds(Suspect const& part) const
{
    return static_cast<std::size_t>(std::count_if(part.ends.begin(), part.ends.end(), [&](TargetEnd const& end) {
        return std::none_of(m_suspects.begin(), m_suspects.end(), [&](std::pair<WorkKey const, Suspect> const& it) {
            return it.second.ends.size() > part.ends.size() && hasEnd(it.second, end);
        });
    }));
}

bool SuspectBook::isTied(WorkKey const& part) const
{
    std::map<WorkKey, Suspect>::const_iterator own = m_suspects.find(part);
    if (own == m_suspects.end())
        return false;
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](std::pair<WorkKey const, Suspect> const& it) {
        bool isOther = it.first != part && it.second.ends.size() == own->second.ends.size();
        return isOther && std::all_of(it.second.ends.begin(), it.second.ends.end(), [&](TargetEnd const& end) { return hasEnd(own->second, end); });
    });
}

bool SuspectBook::isSoftwareInUse(Suspect const& suspect) const
{
    return std::any_of(suspect.ends.begin(), suspect.ends.end(), [&](TargetEnd const& end) {
        std::map<std::string, std::set<std::string>>::const_iterator listed = m_releases.find(end.target.service);
        return listed == m_releases.end() || listed->second.empty() || listed->second.contains(end.target.release);
    });
}

bool SuspectBook::hasEnd(Suspect const& suspect, TargetEnd const& end) const
{
    return std::any_of(suspect.ends.begin(), suspect.ends.end(), [&](TargetEnd const& own) { return isSameEnd(own, end); });
}

bool SuspectBook::setReleases(std::map<std::string, std::set<std::string>> releases)
{
    bool isChanged = releases != m_releases;
    m_releases = std::move(releases);
    return isChanged;
}

std::vector<Suspect> SuspectBook::suspects() const
{
    std::vector<Suspect> all;
    all.reserve(m_suspects.size());
    for (std::pair<WorkKey const, Suspect> const& it : m_suspects)
        all.push_back(it.second);
    return all;
}

std::optional<Suspect> SuspectBook::suspect(WorkKey const& key) const
{
    std::map<WorkKey, Suspect>::const_iterator it = m_suspects.find(key);
    return it == m_suspects.end() ? std::nullopt : std::optional(it->second);
}

std::size_t SuspectBook::suspectedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_suspects.begin(), m_suspects.end(), [](std::pair<WorkKey const, Suspect> const& it) { return !it.second.ends.empty(); }));
}

std::size_t SuspectBook::refusedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_suspects.begin(), m_suspects.end(), [this](std::pair<WorkKey const, Suspect> const& it) { return isRefused(it.second); }));
}

}
