#pragma once

#include <LibCore/Result.h>
#include <LibRouting/Candidate.h>
#include <LibRouting/Decision.h>
#include <LibRouting/RequestShape.h>
#include <LibRouting/Settings.h>
#include <random>
#include <span>

namespace Routing {

/// Chooses a target for a request among the candidates that selectors allow. Its only state is the settings:
/// the same candidates, shape and generator state give the same decision. See docs/design/routing.md.
class Router {
public:
    /// Creates a router. Fails with `BadInput` when a setting is out of its range.
    static Core::Result<Router> create(Settings);

    /// Chooses a target. A closed candidate, or one whose role does not take the phase, is never chosen.
    /// Does not allocate. Thread-safe as long as each thread has its own generator.
    Decision decide(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;

    /// Returns the estimated seconds to the request's first token, without its own prefill time and the
    /// zone penalty. `isCorrected` adds the work sent since the report. Thread-safe.
    double waitSeconds(Candidate const&, RequestShape const&, bool isCorrected) const;

    /// Returns the settings that it was created with. Thread-safe.
    Settings const& settings() const { return m_settings; }

private:
    explicit Router(Settings const& settings)
        : m_settings(settings)
    {
    }

    struct Best;
    struct Sample;

    double interferenceSeconds(Candidate const&, RequestShape const&, bool isCorrected) const;
    double zonePenalty(Candidate const&) const;
    double prefillSeconds(Candidate const&, RequestShape const&) const;
    Decision decideRandom(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;
    Decision decideScan(std::span<Candidate const>, RequestShape const&, std::mt19937_64&, bool isCorrected) const;
    Decision decideSample(std::span<Candidate const>, RequestShape const&, std::mt19937_64&, std::size_t size) const;
    Decision decidePair(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;
    Decision decideAffinity(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;
    Decision decideHome(std::span<Candidate const>, RequestShape const&, std::mt19937_64&) const;
    double homeScore(Candidate const&, RequestShape const&, double strayShare) const;
    double strayShare(std::span<Candidate const>, RequestShape const&) const;
    std::size_t comparedTargets(std::size_t candidates, RequestShape const&) const;
    template <typename PositionOf>
    Decision decideAffinityAmong(std::span<Candidate const>, RequestShape const&, std::mt19937_64&, std::size_t size, PositionOf const&) const;
    Decision finish(std::span<Candidate const>, RequestShape const&, Best const&, Reason) const;

    Settings m_settings;
};

/// Returns the average number of requests now at prefill targets that each open decoding target will receive.
/// An admission check that ignores them would accept requests that find no free slot. Thread-safe.
double pendingOutputs(std::span<Candidate const>);

/// Returns whether a target in this role takes this phase of a request. Thread-safe.
bool takes(TargetRole, Phase);

}
