#include <LibState/EntryRoutes.h>
#include <algorithm>
#include <cassert>
#include <cctype>

namespace State {

namespace {

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

// The finalizer of SplitMix64: numbers that follow each other land far apart.
std::uint64_t mixed(std::uint64_t number)
{
    number = (number ^ (number >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    number = (number ^ (number >> 27U)) * 0x94d049bb133111ebULL;
    return number ^ (number >> 31U);
}

}

EntryRoutes::EntryRoutes(std::vector<EntryRoute> routes)
    : m_routes(std::move(routes))
{
    for (std::size_t position = 0; position < m_routes.size(); ++position)
        m_byHost[lowered(m_routes[position].host)].push_back(position);
    for (std::pair<std::string const, std::vector<std::size_t>>& it : m_byHost)
        std::sort(it.second.begin(), it.second.end(), [this](std::size_t a, std::size_t b) {
            std::size_t lengthOfA = m_routes[a].pathPrefix.size();
            std::size_t lengthOfB = m_routes[b].pathPrefix.size();
            return lengthOfA != lengthOfB ? lengthOfA > lengthOfB : a < b;
        });
}

EntryRoute const* EntryRoutes::find(std::string_view host, std::string_view path) const
{
    std::unordered_map<std::string, std::vector<std::size_t>>::const_iterator it = m_byHost.find(lowered(host));
    if (it == m_byHost.end())
        return nullptr;
    for (std::size_t position : it->second) {
        if (path.starts_with(m_routes[position].pathPrefix))
            return &m_routes[position];
    }
    return nullptr;
}

RouteShare const& chooseShare(EntryRoute const& route, std::uint64_t number)
{
    assert(!route.shares.empty());
    double total = 0;
    for (RouteShare const& share : route.shares)
        total += share.weight;
    constexpr double twoTo64 = 18446744073709551616.0;
    double point = static_cast<double>(mixed(number)) / twoTo64 * total;
    for (RouteShare const& share : route.shares) {
        point -= share.weight;
        if (point < 0)
            return share;
    }
    return route.shares.back();
}

}
