#pragma once

#include <LibModel/Job.h>
#include <LibRouting/PrefixIndex.h>
#include <LibRouting/Router.h>
#include <span>
#include <vector>

namespace Model {

/// What every entry can see of an engine beside its load.
struct EngineFacts {
    Routing::TargetRole role { Routing::TargetRole::Mixed };
    bool isClosed { false };
    std::uint32_t zone { 0 };
};

/// One daemon as far as routing goes: its load table, its prefix index and the daemon's own router.
class Entry {
public:
    Entry(std::uint32_t zone, std::size_t engines, std::uint64_t seed);

    /// Decides where a phase of a request goes.
    Routing::Decision decide(Routing::Router const&, Job const&, Routing::Phase, std::span<EngineFacts const>, Time now);

    /// Counts a request as sent to an engine, with the prompt tokens that it is believed to compute there.
    void sent(Job&, std::uint32_t engine, bool hasPrompt, Time now);

    /// Counts the prompt of a request as done.
    void prefilled(Job&, Time now);

    /// Counts a request as ended at its engine.
    void ended(Job const&, Time now);

    /// Takes the counts of an engine since the last call, to be told to peers.
    Routing::LoadCounts takeCounts(std::uint32_t engine);

    Routing::LoadTable& loads() { return m_loads; }
    Routing::PrefixIndex& prefixes() { return m_prefixes; }
    std::uint32_t zone() const { return m_zone; }

private:
    void count(std::uint32_t engine, Routing::LoadCounts const&, Time now);
    void fillCandidates(Job const&, std::span<EngineFacts const>, Time now);

    std::uint32_t m_zone;
    Routing::LoadTable m_loads;
    Routing::PrefixIndex m_prefixes;
    std::mt19937_64 m_rng;
    std::vector<Routing::Candidate> m_candidates;
    std::vector<Routing::LoadCounts> m_counts;
};

}
