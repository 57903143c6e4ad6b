#include <LibAdmission/FairQueue.h>
#include <algorithm>

namespace Admission {

namespace {

/// Weights of the priorities 0 to 9; adjacent priorities differ by a factor of about 1.6.
constexpr std::array<double, priorityCount> priorityWeights { 69, 43, 27, 17, 11, 7, 4, 3, 2, 1 };

double weightedCost(int priority, std::uint64_t tokens)
{
    return static_cast<double>(tokens) / priorityWeights[static_cast<std::size_t>(priority)];
}

}

FairQueue::Flow& FairQueue::flow(OrganisationId organisation)
{
    std::unique_ptr<Flow>& it = m_flows[organisation];
    if (!it) {
        it = std::make_unique<Flow>();
        it->organisation = organisation;
        it->startTag = m_virtualTime;
    }
    return *it;
}

void FairQueue::removeFromIndexes(Flow const& it)
{
    m_ready.erase({ it.startTag, it.organisation });
    m_bySize.erase({ it.size, it.organisation });
}

void FairQueue::addToIndexes(Flow const& it)
{
    if (isReady(it))
        m_ready.emplace(it.startTag, it.organisation);
    if (it.size > 0)
        m_bySize.emplace(it.size, it.organisation);
}

FairQueue::Handle FairQueue::add(Waiting waiting)
{
    Flow& it = flow(waiting.organisation);
    removeFromIndexes(it);
    std::size_t priority = static_cast<std::size_t>(waiting.priority);
    // An idle flow restarts at the current virtual time: unused share doesn't accumulate.
    if (it.size == 0)
        it.startTag = std::max(it.startTag, m_virtualTime);
    if (it.queues[priority].empty())
        it.priorityStartTags[priority] = std::max(it.priorityStartTags[priority], it.priorityVirtualTime);
    ++it.size;
    ++m_size;
    it.tokens += waiting.tokens;
    m_tokens += waiting.tokens;
    Handle handle { waiting.organisation, waiting.priority, it.queues[priority].insert(it.queues[priority].end(), waiting) };
    addToIndexes(it);
    return handle;
}

void FairQueue::remove(Handle const& handle)
{
    Flow& it = flow(handle.organisation);
    removeFromIndexes(it);
    --it.size;
    --m_size;
    it.tokens -= handle.it->tokens;
    m_tokens -= handle.it->tokens;
    it.queues[static_cast<std::size_t>(handle.priority)].erase(handle.it);
    addToIndexes(it);
}

int FairQueue::nextPriority(Flow const& it)
{
    int best = -1;
    for (int priority = 0; priority < priorityCount; ++priority) {
        std::size_t i = static_cast<std::size_t>(priority);
        if (it.queues[i].empty())
            continue;
        if (best < 0 || it.priorityStartTags[i] < it.priorityStartTags[static_cast<std::size_t>(best)])
            best = priority;
    }
    return best;
}

void FairQueue::advanceVirtualTime(Flow& it, int priority, std::uint64_t tokens)
{
    std::size_t i = static_cast<std::size_t>(priority);
    double cost = weightedCost(priority, tokens);
    it.startTag = std::max(it.startTag, m_virtualTime);
    m_virtualTime = it.startTag;
    it.startTag += cost;
    it.priorityStartTags[i] = std::max(it.priorityStartTags[i], it.priorityVirtualTime);
    it.priorityVirtualTime = it.priorityStartTags[i];
    it.priorityStartTags[i] += cost;
}

Waiting FairQueue::dequeueHead(Flow& it, int priority)
{
    std::list<Waiting>& queue = it.queues[static_cast<std::size_t>(priority)];
    Waiting waiting = queue.front();
    removeFromIndexes(it);
    queue.pop_front();
    --it.size;
    --m_size;
    it.tokens -= waiting.tokens;
    m_tokens -= waiting.tokens;
    advanceVirtualTime(it, priority, waiting.tokens);
    addToIndexes(it);
    return waiting;
}

std::optional<Waiting> FairQueue::dequeueNext(std::function<bool(Waiting const&)> const& accept, int maxOffers)
{
    int offers = 0;
    for (std::pair<double, OrganisationId> const& ready : m_ready) {
        if (offers++ == maxOffers)
            break;
        Flow& it = *m_flows.find(ready.second)->second;
        int priority = nextPriority(it);
        if (accept(it.queues[static_cast<std::size_t>(priority)].front()))
            return dequeueHead(it, priority);
    }
    return std::nullopt;
}

void FairQueue::charge(OrganisationId organisation, int priority, std::uint64_t tokens)
{
    Flow& it = flow(organisation);
    removeFromIndexes(it);
    advanceVirtualTime(it, priority, tokens);
    addToIndexes(it);
}

void FairQueue::setEligible(OrganisationId organisation, bool isEligible)
{
    auto found = m_flows.find(organisation);
    if (found == m_flows.end() || found->second->isEligible == isEligible)
        return;
    Flow& it = *found->second;
    removeFromIndexes(it);
    it.isEligible = isEligible;
    addToIndexes(it);
}

void FairQueue::removeOrganisation(OrganisationId organisation)
{
    auto it = m_flows.find(organisation);
    if (it != m_flows.end() && it->second->size == 0)
        m_flows.erase(it);
}

Waiting const* FairQueue::lastOfLongestQueue(std::size_t longerThan) const
{
    if (m_bySize.empty() || m_bySize.rbegin()->first <= longerThan)
        return nullptr;
    Flow const& it = *m_flows.find(m_bySize.rbegin()->second)->second;
    for (int priority = priorityCount - 1; priority >= 0; --priority) {
        std::list<Waiting> const& queue = it.queues[static_cast<std::size_t>(priority)];
        if (!queue.empty())
            return &queue.back();
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
        // Within an organisation, requests of a higher priority rarely wait for those of a lower one.
        Flow const& it = *found->second;
        double share = 0;
        for (int other = 0; other <= priority; ++other) {
            std::list<Waiting> const& queue = it.queues[static_cast<std::size_t>(other)];
            share += static_cast<double>(queue.size());
        }
        own = static_cast<double>(it.tokens) * share / static_cast<double>(it.size);
    }
    // While this organisation's queue is served once, every other organisation receives at most the same service.
    std::size_t others = m_bySize.size();
    double mean = m_size == 0 ? 0 : total / static_cast<double>(m_size);
    return std::min(total, (own + mean) * static_cast<double>(others));
}

}
