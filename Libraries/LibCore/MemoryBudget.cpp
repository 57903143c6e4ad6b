#include <LibCore/MemoryBudget.h>
#include <algorithm>
#include <utility>

namespace Core {

MemoryBudget::Claim::Claim(std::shared_ptr<MemoryBudget> budget, std::uint64_t number)
    : m_budget(std::move(budget))
    , m_number(number)
{
}

MemoryBudget::Claim::~Claim()
{
    std::lock_guard lock(m_budget->m_mutex);
    std::map<std::uint64_t, Entry>::iterator it = m_budget->m_entries.find(m_number);
    m_budget->count(it->second, 0);
    m_budget->m_entries.erase(it);
}

bool MemoryBudget::Claim::resize(std::uint64_t bytes)
{
    std::vector<std::function<void()>> revoked;
    bool hasRoom = false;
    {
        std::lock_guard lock(m_budget->m_mutex);
        hasRoom = m_budget->makeRoom(m_number, bytes, revoked);
    }
    for (std::function<void()> const& it : revoked)
        it();
    return hasRoom;
}

void MemoryBudget::Claim::noteArrived(std::uint64_t bytes)
{
    std::lock_guard lock(m_budget->m_mutex);
    m_budget->m_entries.at(m_number).arrived += bytes;
}

bool MemoryBudget::Claim::complete()
{
    std::lock_guard lock(m_budget->m_mutex);
    Entry& entry = m_budget->m_entries.at(m_number);
    if (entry.isRevoked)
        return false;
    std::uint64_t bytes = entry.bytes;
    m_budget->count(entry, 0);
    entry.isArriving = false;
    m_budget->count(entry, bytes);
    return true;
}

bool MemoryBudget::Claim::isRevoked() const
{
    std::lock_guard lock(m_budget->m_mutex);
    return m_budget->m_entries.at(m_number).isRevoked;
}

std::shared_ptr<MemoryBudget> MemoryBudget::create(Settings const& settings, Clock now)
{
    return std::shared_ptr<MemoryBudget>(new MemoryBudget(settings, std::move(now)));
}

MemoryBudget::MemoryBudget(Settings const& settings, Clock now)
    : m_settings(settings)
    , m_now(std::move(now))
{
}

std::unique_ptr<MemoryBudget::Claim> MemoryBudget::claim(std::function<void()> onRevoked)
{
    std::lock_guard lock(m_mutex);
    Entry entry;
    entry.since = m_now();
    entry.onRevoked = std::move(onRevoked);
    m_entries.emplace(++m_lastNumber, std::move(entry));
    return std::unique_ptr<Claim>(new Claim(shared_from_this(), m_lastNumber));
}

MemoryBudget::Usage MemoryBudget::usage() const
{
    std::lock_guard lock(m_mutex);
    return { m_settings.limitBytes, m_held - m_heldByWhole, m_heldByWhole, m_refusals, m_revocations };
}

// Whether a request of this size finds room once so much has been freed.
bool MemoryBudget::fits(std::uint64_t bytes, std::uint64_t freed, std::uint64_t freedLarge) const
{
    // However large a request may be, it can be served when it is the only one.
    if (m_settings.limitBytes == 0 || m_held == freed)
        return true;
    if (m_held - freed + bytes > m_settings.limitBytes)
        return false;
    std::uint64_t largeLimit = m_settings.limitBytes - m_settings.limitBytes / m_settings.smallShareDivisor;
    return isSmall(bytes) || m_heldByLarge - freedLarge + bytes <= largeLimit;
}

// What is revoked counts as gone at once: its bytes go before those of the request that it made room for have come.
void MemoryBudget::count(Entry& entry, std::uint64_t bytes)
{
    if (!entry.isRevoked) {
        std::uint64_t former = entry.bytes;
        m_held += bytes - former;
        m_heldByLarge += (isSmall(bytes) ? 0 : bytes) - (isSmall(former) ? 0 : former);
        m_heldByWhole += entry.isArriving ? 0 : bytes - former;
    }
    entry.bytes = bytes;
}

// Claims that have had their time to arrive, by how many bytes a second they did, the slowest first.
std::vector<std::uint64_t> MemoryBudget::slowestArrivals(std::uint64_t except, bool areSmallIncluded) const
{
    Time now = m_now();
    std::vector<std::pair<double, std::uint64_t>> arrivals;
    for (std::pair<std::uint64_t const, Entry> const& it : m_entries) {
        Entry const& entry = it.second;
        std::chrono::duration<double> age = now - entry.since;
        bool mayGo = it.first != except && entry.isArriving && !entry.isRevoked && entry.bytes > 0 && age >= m_settings.arrivalTime;
        if (mayGo && (areSmallIncluded || !isSmall(entry.bytes)))
            arrivals.emplace_back(static_cast<double>(entry.arrived) / age.count(), it.first);
    }
    std::sort(arrivals.begin(), arrivals.end());
    std::vector<std::uint64_t> numbers;
    for (std::pair<double, std::uint64_t> const& it : arrivals)
        numbers.push_back(it.second);
    return numbers;
}

// Revokes no claim unless that makes enough room.
bool MemoryBudget::makeRoom(std::uint64_t number, std::uint64_t bytes, std::vector<std::function<void()>>& revoked)
{
    Entry& entry = m_entries.at(number);
    std::uint64_t freed = entry.isRevoked ? 0 : entry.bytes;
    std::uint64_t freedLarge = isSmall(freed) ? 0 : freed;
    if (entry.isRevoked) {
        ++m_refusals;
        return false;
    }
    std::vector<std::uint64_t> chosen;
    if (bytes > entry.bytes && !fits(bytes, freed, freedLarge)) {
        for (std::uint64_t it : slowestArrivals(number, isSmall(bytes))) {
            if (fits(bytes, freed, freedLarge))
                break;
            std::uint64_t other = m_entries.at(it).bytes;
            freed += other;
            freedLarge += isSmall(other) ? 0 : other;
            chosen.push_back(it);
        }
        if (!fits(bytes, freed, freedLarge)) {
            ++m_refusals;
            return false;
        }
    }
    for (std::uint64_t it : chosen) {
        Entry& other = m_entries.at(it);
        count(other, 0);
        other.isRevoked = true;
        ++m_revocations;
        revoked.push_back(std::move(other.onRevoked));
    }
    count(entry, bytes);
    return true;
}

}
