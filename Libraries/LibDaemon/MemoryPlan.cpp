#include <LibCore/EventLog.h>
#include <LibDaemon/MemoryPlan.h>
#include <LibHttp/Client.h>
#include <algorithm>
#include <limits>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace Daemon {

namespace {

constexpr std::uint64_t megabyte = 1'000'000;
constexpr std::uint64_t requestsDivisor = 4; ///< Of the memory, as the next two.
constexpr std::uint64_t answersDivisor = 8;
constexpr std::uint64_t receivedDivisor = 8;
constexpr std::size_t leastReceiveBuffer = 4 * 1024;
constexpr std::size_t mostReceiveBuffer = 128 * 1024;
constexpr std::uint64_t receivedPerBuffer = 2; ///< The kernel doubles the size that it is given (socket(7), SO_RCVBUF).
constexpr std::size_t callerDescriptorsInQuarters = 3;
constexpr std::size_t directoryDivisor = 16; ///< Of the descriptors, as the next one.
constexpr std::size_t statusDivisor = 64;
constexpr std::size_t leastEntryConnections = 8;
constexpr std::size_t entryBodyLimit = 4 * 1024; ///< For clients that send an empty object with a question.

}

ProcessLimits ProcessLimits::read(std::uint64_t memoryMegabytes)
{
    ProcessLimits limits { memoryMegabytes * megabyte, std::numeric_limits<std::size_t>::max() };
    struct sysinfo machine {};
    if (limits.memoryBytes == 0 && ::sysinfo(&machine) == 0)
        limits.memoryBytes = static_cast<std::uint64_t>(machine.totalram) * machine.mem_unit;
    rlimit descriptors {};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY)
        limits.descriptors = descriptors.rlim_cur;
    return limits;
}

MemoryPlan MemoryPlan::of(ProcessLimits const& limits, std::size_t connectionLimit)
{
    MemoryPlan plan;
    plan.requestBytes = limits.memoryBytes / requestsDivisor;
    plan.answerBytes = limits.memoryBytes / answersDivisor;
    plan.callerConnections = std::clamp<std::size_t>(limits.descriptors / 4 * callerDescriptorsInQuarters, 1, connectionLimit);
    plan.directoryConnections = std::clamp(limits.descriptors / directoryDivisor, leastEntryConnections, connectionLimit);
    plan.statusConnections = std::clamp(limits.descriptors / statusDivisor, leastEntryConnections, connectionLimit);
    if (limits.memoryBytes > 0)
        plan.receiveBuffer = std::clamp<std::size_t>(limits.memoryBytes / receivedDivisor / receivedPerBuffer / plan.callerConnections, leastReceiveBuffer, mostReceiveBuffer);
    return plan;
}

Http::ServerSettings MemoryPlan::entrySettings(std::size_t connections) const
{
    Http::ServerSettings settings;
    settings.bodyLimit = entryBodyLimit;
    settings.connectionLimit = connections;
    settings.whenFull = Http::WhenFull::DropOldest;
    settings.receiveBuffer = leastReceiveBuffer;
    return settings;
}

// Of severity info: an event of these is written so many times a second at most.
void logMemoryRefusal(Http::MemoryRefusal const& refusal, std::string_view listener)
{
    Core::MemoryBudget::Usage const& usage = refusal.usage;
    Core::logEvent(Core::Severity::Info, Core::Event::MemoryRefused, { { "listener", std::string(listener) }, { "caller", Http::toString(refusal.caller) }, { "limit_bytes", std::to_string(usage.limitBytes) }, { "arriving_bytes", std::to_string(usage.arrivingBytes) }, { "whole_bytes", std::to_string(usage.wholeBytes) }, { "refusals", std::to_string(usage.refusals) }, { "revocations", std::to_string(usage.revocations) } });
}

}
