#pragma once

#include <LibQuarantine/Suspect.h>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Quarantine {

struct CatchUpSettings {
    /// News that is under way reaches all within a beacon or two; a difference that lasts longer is to be asked about.
    std::chrono::milliseconds patience { 300 };
    /// Where beacons come as often as this, so few daemons are there that those which start together may all ask at once.
    std::chrono::milliseconds unspreadPatience { 100 };
    std::chrono::milliseconds leastInterval { 300 }; ///< Between two questions; doubled while answers bring nothing.
    std::chrono::milliseconds longestInterval { 10'000 };
};

/// Whom to ask for all that is known of suspected requests: a peer whose digest has differed from this daemon's for a while.
/// Beacons are lost, daemons are cut off and start anew; whatever they missed they notice by the next beacon of anyone.
/// A daemon that has just started has caught up once it knows what a peer that has caught up knows, or what the store keeps.
/// Pure and not thread-safe.
class CatchUp {
public:
    /// `seed` differs from daemon to daemon, so that those that start together do not all ask one peer at one moment.
    explicit CatchUp(std::uint64_t seed, CatchUpSettings const& settings = {})
        : m_settings(settings)
        , m_interval(settings.leastInterval)
        , m_random(seed)
    {
    }

    /// Takes what a peer's beacon said. `digest`: nothing where the peer has not caught up itself.
    void hear(std::string const& peer, std::optional<std::uint64_t> digest, std::uint64_t ownDigest, Time now);

    /// Returns whom to ask now, if anybody: one of the peers that have differed for long enough. A daemon that has not caught up asks at
    /// once; where daemons are many, at a moment of a beacon's interval drawn at random. `patience` as in the settings, or a longer
    /// one where beacons are seldom; peers not heard for `silentAfter` are left out.
    std::optional<std::string> whomToAsk(std::uint64_t ownDigest, std::chrono::milliseconds patience, std::chrono::milliseconds silentAfter, Time now);

    /// Notes how the last question ended: whether the peer answered, and whether that changed anything here.
    void noteAnswer(bool isAnswered, bool isNews, Time now);

    /// Notes that all that the store keeps has been read.
    void noteLoaded() { m_isCaughtUp = true; }

    bool isCaughtUp() const { return m_isCaughtUp; }

private:
    struct Heard {
        std::uint64_t digest { 0 };
        Time at;
        std::optional<Time> differsSince;
    };

    CatchUpSettings m_settings;
    std::map<std::string, Heard> m_heard;
    std::chrono::milliseconds m_interval;
    std::mt19937_64 m_random;
    std::optional<double> m_firstPart; ///< Of the patience, until the first question.
    Time m_nextQuestion;
    bool m_isAsking { false };
    bool m_isCaughtUp { false };
};

}
