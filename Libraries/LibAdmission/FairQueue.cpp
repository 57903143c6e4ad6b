#include <LibAdmission/FairQueue.h>
#include <algorithm>

namespace Admission {

namespace {

/// Shares of the priorities 0 to 9: each step is worth about 1.6.
constexpr std::array<double, priorityCount> shares { 69, 43, 27, 17, 11, 7, 4, 3, 2, 1 };

double costOf(int priority, std::uint64_t tokens)
{
    return static_cast<double>(tokens) / shares[static_cast<std::size_t>(priority)];
}

}

FairQueue::Flow& FairQueue::flow(OrganisationId organisation)
{
    std::unique_ptr<Flow>& it = m_flows[organisation];
    if (!it) {
        it = std::make_unique<Flow>();
        it->organisation = organisation;
        it->start = m_time;
    }
    return *it;
}

void FairQueue::unlist(Flow const& it)
{
    m_ready.erase({ it.start, it.organisation });
    m_bySize.erase({ it.size, it.organisation });
}

void FairQueue::list(Flow const& it)
{
    if (isReady(it))
        m_ready.emplace(it.start, it.organisation);
    if (it.size > 0)
        m_bySize.emplace(it.size, it.organisation);
}

FairQueue::Place FairQueue::add(Waiting waiting)
{
    Flow& it = flow(waiting.organisation);
    unlist(it);
    std::size_t priority = static_cast<std::size_t>(waiting.priority);
    // What was idle starts from now: shares are not saved up.
    if (it.size == 0)
        it.start = std::max(it.start, m_time);
    if (it.lines[priority].empty())
        it.innerStarts[priority] = std::max(it.innerStarts[priority], it.innerTime);
    ++it.size;
    ++m_size;
    it.tokens += waiting.tokens;
    m_tokens += waiting.tokens;
    Place place { waiting.organisation, waiting.priority, it.lines[priority].insert(it.lines[priority].end(), waiting) };
    list(it);
    return place;
}

void FairQueue::remove(Place const& place)
{
    Flow& it = flow(place.organisation);
    unlist(it);
    --it.size;
    --m_size;
    it.tokens -= place.it->tokens;
    m_tokens -= place.it->tokens;
    it.lines[static_cast<std::size_t>(place.priority)].erase(place.it);
    list(it);
}

int FairQueue::nextPriority(Flow const& it)
{
    int best = -1;
    for (int priority = 0; priority < priorityCount; ++priority) {
        std::size_t i = static_cast<std::size_t>(priority);
        if (it.lines[i].empty())
            continue;
        if (best < 0 || it.innerStarts[i] < it.innerStarts[static_cast<std::size_t>(best)])
            best = priority;
    }
    return best;
}

void FairQueue::serveFrom(Flow& it, int priority, std::uint64_t tokens)
{
    std::size_t i = static_cast<std::size_t>(priority);
    double cost = costOf(priority, tokens);
    it.start = std::max(it.start, m_time);
    m_time = it.start;
    it.start += cost;
    it.innerStarts[i] = std::max(it.innerStarts[i], it.innerTime);
    it.innerTime = it.innerStarts[i];
    it.innerStarts[i] += cost;
}

Waiting FairQueue::take(Flow& it, int priority)
{
    std::list<Waiting>& line = it.lines[static_cast<std::size_t>(priority)];
    Waiting waiting = line.front();
    unlist(it);
    line.pop_front();
    --it.size;
    --m_size;
    it.tokens -= waiting.tokens;
    m_tokens -= waiting.tokens;
    serveFrom(it, priority, waiting.tokens);
    list(it);
    return waiting;
}

std::optional<Waiting> FairQueue::serve(std::function<bool(Waiting const&)> const& accept, int maxOffers)
{
    int offers = 0;
    for (std::pair<double, OrganisationId> const& ready : m_ready) {
        if (offers++ == maxOffers)
            break;
        Flow& it = *m_flows.find(ready.second)->second;
        int priority = nextPriority(it);
        if (accept(it.lines[static_cast<std::size_t>(priority)].front()))
            return take(it, priority);
    }
    return std::nullopt;
}

void FairQueue::charge(OrganisationId organisation, int priority, std::uint64_t tokens)
{
    Flow& it = flow(organisation);
    unlist(it);
    serveFrom(it, priority, tokens);
    list(it);
}

void FairQueue::setEligible(OrganisationId organisation, bool isEligible)
{
    auto found = m_flows.find(organisation);
    if (found == m_flows.end() || found->second->isEligible == isEligible)
        return;
    Flow& it = *found->second;
    unlist(it);
    it.isEligible = isEligible;
    list(it);
}

void FairQueue::forget(OrganisationId organisation)
{
    auto it = m_flows.find(organisation);
    if (it != m_flows.end() && it->second->size == 0)
        m_flows.erase(it);
}

Waiting const* FairQueue::lastOfLongest(std::size_t than) const
{
    if (m_bySize.empty() || m_bySize.rbegin()->first <= than)
        return nullptr;
    Flow const& it = *m_flows.find(m_bySize.rbegin()->second)->second;
    for (int priority = priorityCount - 1; priority >= 0; --priority) {
        std::list<Waiting> const& line = it.lines[static_cast<std::size_t>(priority)];
        if (!line.empty())
            return &line.back();
    }
    return nullptr;
}

std::size_t FairQueue::sizeOf(OrganisationId organisation) const
{
    auto it = m_flows.find(organisation);
    return it == m_flows.end() ? 0 : it->second->size;
}

double FairQueue::tokensAhead(OrganisationId organisation, int priority) const
{
    double total = static_cast<double>(m_tokens);
    auto found = m_flows.find(organisation);
    double own = 0;
    if (found != m_flows.end() && found->second->tokens > 0) {
        // Within the organisation a higher priority hardly waits for a lower one.
        Flow const& it = *found->second;
        double share = 0;
        for (int other = 0; other <= priority; ++other) {
            std::list<Waiting> const& line = it.lines[static_cast<std::size_t>(other)];
            share += static_cast<double>(line.size());
        }
        own = static_cast<double>(it.tokens) * share / static_cast<double>(it.size);
    }
    // While this organisation's own line is served once, each other one is served as much at most.
    std::size_t others = m_bySize.size();
    double mean = m_size == 0 ? 0 : total / static_cast<double>(m_size);
    return std::min(total, (own + mean) * static_cast<double>(others));
}

}
