#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace Routing {

/// How often requests of one daemon have asked for a shared part of prompts since its last report.
struct PartUse {
    std::uint64_t part { 0 }; ///< As in `RequestShape::prefixHash`.
    std::uint32_t uses { 0 };

    bool operator==(PartUse const&) const = default;
};

/// A target that may be the home of shared parts.
struct HomeTarget {
    std::uint64_t key { 0 };
    double weight { 1 }; ///< Its part of the homes, relative to the others; 0: it is home to none.
};

/// Counts over all daemons how often shared parts of prompts are asked for, and decides how many homes each one needs: as many as keep
/// its prompts from waiting for each other. Performs no I/O. Not thread-safe.
class PartHomes {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Counts a request of this daemon.
    void note(std::uint64_t part, Time now);

    /// Returns uses that were counted and not yet returned, to be sent to the peers: at most `limit` parts, those with most uses first.
    /// The rest is kept, so that a part of which a daemon sees little at a time is not counted short.
    std::vector<PartUse> takeUnreported(std::size_t limit);

    /// Adds the uses that a peer has counted.
    void merge(std::vector<PartUse> const&, Time now);

    /// Returns how many homes a part needs where one of its prompts keeps a target busy for `promptSeconds`; 1 at least.
    /// Daemons may differ by one home for a moment, which costs a computation of the part.
    std::size_t homesNeeded(std::uint64_t part, double promptSeconds, Time now) const;

    /// Number of parts that are remembered.
    std::size_t size() const { return m_uses.size(); }

private:
    struct Uses {
        double recent { 0 }; ///< Decays by half in each half-life.
        Time at;
    };

    void add(std::uint64_t part, double uses, Time now);
    void forgetUnused(Time now);

    std::unordered_map<std::uint64_t, Uses> m_uses;
    std::unordered_map<std::uint64_t, std::uint32_t> m_unreported;
};

/// A positive amount rounded to a few steps, of which each is kept until the amount has clearly left it: daemons which have measured a little
/// differently agree on what follows from it, and this hardly moves. Not thread-safe.
class SteppedAmount {
public:
    /// Returns the rounded amount. Precondition: it is positive and finite.
    double update(double exact);

private:
    int m_step { 0 };
    double m_exact { 1 }; ///< That the step was last decided by.
    double m_rounded { 1 };
};

/// The rounded speeds of targets. Not thread-safe.
class HomeSpeeds {
public:
    /// Returns the rounded speed of a target that needs `factor` times as long for its prompts as others.
    /// Precondition: the factor is positive and finite.
    double speed(std::uint64_t target, double factor) { return m_speeds[target].update(1 / factor); }

    /// Removes targets that are not in `keys`.
    template <typename Keys>
    void keepTargets(Keys const& keys)
    {
        std::erase_if(m_speeds, [&keys](std::pair<std::uint64_t const, SteppedAmount> const& it) { return !keys.contains(it.first); });
    }

private:
    std::unordered_map<std::uint64_t, SteppedAmount> m_speeds;
};

/// Returns the indices of a part's homes among the targets, the preferred one first, by weighted rendezvous hashing: the same at all
/// daemons that know the same targets and weights, and when a weight changes, few parts move. With equal weights the first two are those
/// of `homesOf`. Thread-safe. Precondition: weights are finite and not negative.
std::vector<std::size_t> weightedHomesOf(std::uint64_t part, std::span<HomeTarget const> targets, std::size_t count);

}
