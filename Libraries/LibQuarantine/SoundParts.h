#pragma once

#include <LibQuarantine/Suspect.h>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace Quarantine {

struct SoundPartsSettings {
    /// What a part did on this release it does again; the time only bounds how long a wrong entry could protect a part.
    std::chrono::minutes lifetime { 10 };
    std::chrono::milliseconds tellingInterval { 1'000 }; ///< News are repeated for that long at least.
    std::size_t maxParts { 16'384 }; ///< About 150 bytes each.
};

/// Parts of prompts with which targets have begun to write answers on the present releases, so that they end no target by themselves.
/// Performs no I/O. Not thread-safe.
class SoundParts {
public:
    explicit SoundParts(SoundPartsSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Records that a target began to write an answer on the part. If there are too many, the one seen longest ago is dropped.
    void note(WorkKey const&, Time now);

    bool contains(WorkKey const&, Time now) const;

    /// Whether peers should be told of a part now; not again before `tellingInterval` has passed. Precondition: it is contained.
    bool takeTelling(WorkKey const&, Time now);

    /// Forgets all, because another release may end on what this one does not.
    void clear();

private:
    struct Sighting {
        Time seenAt;
        Time toldAt;
    };

    SoundPartsSettings m_settings;
    std::map<WorkKey, Sighting> m_sightings;
    std::set<std::pair<Time, WorkKey>> m_bySeen;
};

}
