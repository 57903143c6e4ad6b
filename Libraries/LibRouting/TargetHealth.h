#pragma once

#include <LibCore/EnumNames.h>
#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Routing {

/// How a send to a target ended, as far as it tells of the target.
enum class TargetOutcome : std::uint8_t {
    Answered, ///< It answered well.
    Failed, ///< It answered with a failure of its own.
    Refused, ///< It said that it did not run the request.
    Unreachable, ///< No connection could be made.
    Replaced, ///< Another one has its address: it will not come back.
    Broken, ///< The connection ended before the answer did.
};

inline constexpr Core::EnumNames<TargetOutcome, 6> targetOutcomeNames { {
    { TargetOutcome::Answered, "answered" },
    { TargetOutcome::Failed, "failed" },
    { TargetOutcome::Refused, "refused" },
    { TargetOutcome::Unreachable, "unreachable" },
    { TargetOutcome::Replaced, "replaced" },
    { TargetOutcome::Broken, "broken" },
} };

/// Times and counts of the belief in targets.
struct TargetHealthSettings {
    /// After a failed connection; doubled by each further one. A restarted target comes back under another name, so
    /// what is to be found out by trying again is only whether a path has healed.
    std::chrono::milliseconds firstClosing { 500 };
    std::chrono::milliseconds longestClosing { 4'000 };
    /// So many broken answers in a row count as a failed connection: single ones happen to sound targets.
    std::uint32_t brokenInARow { 3 };
};

/// Which targets this daemon sends nothing to for a while, by how its own sends ended. The platform's list says that a
/// target is gone only after three missed heartbeats; requests tell it at once. Not thread-safe.
class TargetHealth {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit TargetHealth(TargetHealthSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Notes how a send ended. `target` is the same number at every daemon.
    void note(std::uint64_t target, TargetOutcome, Time now);

    /// Whether nothing is to be sent to the target now.
    bool isClosed(std::uint64_t target, Time now) const;

    /// Returns the targets that could not be reached lately, for peers and for whoever plans roles.
    std::vector<std::uint64_t> suspects(Time now) const;

    /// Forgets a target that is listed no more.
    void forget(std::uint64_t target) { m_failing.erase(target); }

private:
    struct Failing {
        std::uint32_t failures { 0 };
        std::uint32_t brokenInARow { 0 };
        bool isReplaced { false };
        Time closedUntil;
    };

    TargetHealthSettings m_settings;
    std::unordered_map<std::uint64_t, Failing> m_failing;
};

}
