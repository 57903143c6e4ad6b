#pragma once

#include <LibCore/Result.h>
#include <LibRouting/Candidate.h>
#include <LibRouting/Decision.h>
#include <LibRouting/RequestShape.h>
#include <LibRouting/Settings.h>
#include <random>
#include <span>

namespace Routing {

/// Chooses a target for a request among the candidates that selectors allow. It holds settings alone:
/// the same candidates, shape and generator state give the same decision. See docs/design/routing.md.
class Router {
public:
    /// Creates a router. Fails with `BadInput` when a setting is out of its range.
    static Core::Result<Router> create(Settings);

    /// Decides. A closed candidate, or one whose role does not take the phase, is never chosen.
    /// Allocates nothing. Thread-safe as long as each thread has its own generator.
    Decision decide(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;

    /// Estimated seconds until the candidate could give the request's first token, without zone penalty.
    /// `isCorrected` adds what was sent since the report. Thread-safe.
    double waitSeconds(Candidate const&, RequestShape const&, bool isCorrected) const;

    /// The settings that it was created with. Thread-safe.
    Settings const& settings() const { return m_settings; }

private:
    explicit Router(Settings const& settings)
        : m_settings(settings)
    {
    }

    struct Best;
    struct Sample;

    double besideSeconds(Candidate const&, RequestShape const&, bool isCorrected) const;
    double zonePenalty(Candidate const&) const;
    double prefillSeconds(Candidate const&, RequestShape const&) const;
    Decision decideRandom(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;
    Decision decideScan(std::span<Candidate const>, RequestShape const&, std::mt19937_64&, bool isCorrected) const;
    Decision decideSample(std::span<Candidate const>, RequestShape const&, std::mt19937_64&, std::size_t size) const;
    Decision decidePair(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;
    Decision decideAffinity(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;
    Decision decideHome(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;
    double homeScore(Candidate const&, RequestShape const&) const;
    std::size_t comparedTargets(std::size_t candidates, RequestShape const&) const;
    template <typename PositionOf>
    Decision decideAffinityAmong(std::span<Candidate const>, RequestShape const&, std::mt19937_64&, std::size_t size, PositionOf const&) const;
    Decision finish(std::span<Candidate const>, RequestShape const&, Best const&, Reason) const;

    Settings m_settings;
};

/// Returns how many requests now at prefill targets will come to each open target that decodes, on average.
/// An admission check that ignores them accepts what will find no slot. Thread-safe.
double pendingOutputs(std::span<Candidate const>);

/// Returns whether a target in this role takes this phase of a request. Thread-safe.
bool takes(TargetRole, Phase);

}
