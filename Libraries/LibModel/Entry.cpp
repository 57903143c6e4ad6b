#include <LibModel/Entry.h>
#include <algorithm>
#include <utility>

namespace Model {

namespace {

constexpr std::size_t indexCapacity = 16384;

Routing::PrefixBlock blockOf(Job const& job)
{
    return { job.prefixHash, job.prefixTokens };
}

}

Entry::Entry(std::uint32_t zone, std::size_t engines, std::uint64_t seed)
    : m_zone(zone)
    , m_loads(Routing::LoadTable::create({}).value())
    , m_prefixes(Routing::PrefixIndex::create(indexCapacity).value())
    , m_rng(seed)
    , m_candidates(engines)
    , m_counts(engines)
{
    m_loads.resize(engines);
}

void Entry::fillCandidates(Job const& job, std::span<EngineFacts const> facts, Time now)
{
    for (std::uint32_t i = 0; i < facts.size(); ++i) {
        Routing::Candidate& it = m_candidates[i];
        it.target = i;
        it.role = facts[i].role;
        it.closed = facts[i].isClosed;
        it.distance = facts[i].zone == m_zone ? Routing::ZoneDistance::SameZone : Routing::ZoneDistance::SameRegion;
        it.prefixMatchTokens = 0;
        it.load = m_loads.load(i, now);
    }
    std::array<Routing::PrefixBlock, 1> chain { blockOf(job) };
    std::array<Routing::PrefixMatch, 8> matches;
    std::size_t n = m_prefixes.match(chain, matches);
    for (std::size_t i = 0; i < n; ++i)
        m_candidates[matches[i].target].prefixMatchTokens = matches[i].tokens;
}

Routing::Decision Entry::decide(Routing::Router const& router, Job const& job, Routing::Phase phase, std::span<EngineFacts const> facts, Time now)
{
    fillCandidates(job, facts, now);
    constexpr std::uint32_t expectedOutputTokens = 300;
    // At the time of placing the output, the request itself is no longer on its way.
    double pending = job.isImported ? 0 : Routing::pendingOutputs(m_candidates);
    Routing::RequestShape shape { .phase = phase, .priority = job.priority, .promptTokens = job.promptTokens, .expectedOutputTokens = expectedOutputTokens, .pendingOutputs = pending, .prefixHash = job.prefixHash };
    return router.decide(m_candidates, shape, m_rng);
}

void Entry::count(std::uint32_t engine, Routing::LoadCounts const& counts, Time now)
{
    m_loads.count(engine, counts, now);
    Routing::LoadCounts& it = m_counts[engine];
    it.requestsSent += counts.requestsSent;
    it.requestsEnded += counts.requestsEnded;
    it.promptTokensSent += counts.promptTokensSent;
    it.promptsSent += counts.promptsSent;
    it.promptTokensDone += counts.promptTokensDone;
}

void Entry::sent(Job& job, std::uint32_t engine, bool hasPrompt, Time now)
{
    job.engine = engine;
    job.countedTokens = 0;
    if (hasPrompt) {
        std::array<Routing::PrefixBlock, 1> chain { blockOf(job) };
        std::array<Routing::PrefixMatch, 8> matches;
        std::size_t n = m_prefixes.match(chain, matches);
        auto end = matches.begin() + static_cast<std::ptrdiff_t>(n);
        auto it = std::find_if(matches.begin(), end, [engine](Routing::PrefixMatch const& match) { return match.target == engine; });
        job.countedTokens = job.promptTokens - (it == end ? 0 : std::min(it->tokens, job.promptTokens));
        m_prefixes.routed(chain, engine);
    }
    count(engine, { 1, 0, job.countedTokens, hasPrompt ? 1U : 0U, 0 }, now);
}

void Entry::prefilled(Job& job, Time now)
{
    count(job.engine, { 0, 0, 0, 0, job.countedTokens }, now);
    job.countedTokens = 0;
}

void Entry::ended(Job const& job, Time now)
{
    count(job.engine, { 0, 1, 0, 0, job.countedTokens }, now);
}

Routing::LoadCounts Entry::takeCounts(std::uint32_t engine)
{
    return std::exchange(m_counts[engine], {});
}

}
