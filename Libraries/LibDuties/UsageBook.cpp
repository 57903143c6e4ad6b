#include <LibDuties/UsageBook.h>
#include <algorithm>
#include <utility>

namespace Duties {

void UsageBook::merge(DaemonProcess const& process, UsageStatement const& statement)
{
    ProcessUsage& usage = m_processes[process];
    usage.closedBefore = std::max(usage.closedBefore, statement.closedBefore);
    for (std::pair<WindowNumber const, OrganisationCounts> const& window : statement.windows) {
        OrganisationCounts& counts = usage.windows[window.first];
        for (std::pair<std::string const, std::uint64_t> const& it : window.second) {
            std::uint64_t& count = counts[it.first];
            count = std::max(count, it.second);
        }
    }
}

OrganisationCounts UsageBook::total(WindowNumber window) const
{
    OrganisationCounts sum;
    for (std::pair<DaemonProcess const, ProcessUsage> const& it : m_processes) {
        std::map<WindowNumber, OrganisationCounts>::const_iterator counts = it.second.windows.find(window);
        if (counts == it.second.windows.end())
            continue;
        for (std::pair<std::string const, std::uint64_t> const& count : counts->second)
            sum[count.first] += count.second;
    }
    return sum;
}

bool UsageBook::hasClosed(DaemonProcess const& process, WindowNumber window) const
{
    std::map<DaemonProcess, ProcessUsage>::const_iterator it = m_processes.find(process);
    return it != m_processes.end() && it->second.closedBefore > window;
}

std::optional<WindowNumber> UsageBook::first() const
{
    std::optional<WindowNumber> first;
    for (std::pair<DaemonProcess const, ProcessUsage> const& it : m_processes) {
        if (!it.second.windows.empty())
            first = std::min(first.value_or(it.second.windows.begin()->first), it.second.windows.begin()->first);
    }
    return first;
}

void UsageBook::forgetBefore(WindowNumber window)
{
    for (std::pair<DaemonProcess const, ProcessUsage>& it : m_processes)
        it.second.windows.erase(it.second.windows.begin(), it.second.windows.lower_bound(window));
    std::erase_if(m_processes, [window](std::pair<DaemonProcess const, ProcessUsage> const& it) { return it.second.windows.empty() && it.second.closedBefore < window; });
}

}
