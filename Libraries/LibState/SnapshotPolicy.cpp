#include <LibState/SnapshotPolicy.h>
#include <algorithm>

namespace State {

namespace {

constexpr std::uint64_t unlimitedInterval = 10'000;
constexpr std::uint64_t ranksPerQuarter = 64;
constexpr std::chrono::seconds timePerRank { 2 };

/// A quarter of what is kept and, for daemons that are not the first, up to another quarter.
std::uint64_t recordThreshold(std::uint64_t retained, std::uint64_t rank)
{
    std::uint64_t quarter = std::max<std::uint64_t>(1, retained / 4);
    return quarter + quarter * std::min(rank, ranksPerQuarter) / ranksPerQuarter;
}

std::chrono::seconds timeThreshold(std::chrono::seconds retained, std::uint32_t rank)
{
    std::chrono::seconds quarter = retained / 4;
    return quarter + std::min(quarter, timePerRank * rank);
}

}

bool isSnapshotDue(SnapshotPolicy const& policy, SnapshotProgress const& progress)
{
    std::uint64_t covered = progress.coveredBelow.value_or(0);
    std::uint64_t uncovered = progress.nextOffset - std::min(covered, progress.nextOffset);
    if (progress.nextOffset == 0)
        return false;
    std::uint64_t retained = policy.retainedRecords == 0 ? unlimitedInterval * 4 : policy.retainedRecords;
    if (uncovered >= recordThreshold(retained, policy.rank))
        return true;
    return policy.retainedTime.count() > 0 && progress.sinceNewest >= timeThreshold(policy.retainedTime, policy.rank);
}

}
