#include <LibDuties/UsageBook.h>
#include <algorithm>
#include <utility>

namespace Duties {

void UsageBook::hear(Speaker const& speaker, UsageStatement const& statement)
{
    Share& share = m_shares[speaker];
    share.closedBefore = std::max(share.closedBefore, statement.closedBefore);
    for (std::pair<WindowNumber const, OrganisationCounts> const& window : statement.windows) {
        OrganisationCounts& counts = share.windows[window.first];
        for (std::pair<std::string const, std::uint64_t> const& it : window.second) {
            std::uint64_t& count = counts[it.first];
            count = std::max(count, it.second);
        }
    }
}

OrganisationCounts UsageBook::total(WindowNumber window) const
{
    OrganisationCounts sum;
    for (std::pair<Speaker const, Share> const& it : m_shares) {
        std::map<WindowNumber, OrganisationCounts>::const_iterator counts = it.second.windows.find(window);
        if (counts == it.second.windows.end())
            continue;
        for (std::pair<std::string const, std::uint64_t> const& count : counts->second)
            sum[count.first] += count.second;
    }
    return sum;
}

bool UsageBook::hasClosed(Speaker const& speaker, WindowNumber window) const
{
    std::map<Speaker, Share>::const_iterator it = m_shares.find(speaker);
    return it != m_shares.end() && it->second.closedBefore > window;
}

std::optional<WindowNumber> UsageBook::first() const
{
    std::optional<WindowNumber> first;
    for (std::pair<Speaker const, Share> const& it : m_shares) {
        if (!it.second.windows.empty())
            first = std::min(first.value_or(it.second.windows.begin()->first), it.second.windows.begin()->first);
    }
    return first;
}

void UsageBook::forget(WindowNumber window)
{
    for (std::pair<Speaker const, Share>& it : m_shares)
        it.second.windows.erase(it.second.windows.begin(), it.second.windows.lower_bound(window));
    std::erase_if(m_shares, [window](std::pair<Speaker const, Share> const& it) { return it.second.windows.empty() && it.second.closedBefore < window; });
}

}
