#include <LibLoad/ProcessUsage.h>

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace Load {

namespace {

constexpr int userTimeField = 14; ///< In proc(5)'s counting, from 1; the system time follows.
constexpr int residentField = 24;
constexpr std::int64_t microsecondsPerSecond = 1'000'000;

}

Core::Result<ProcessUsage> ProcessUsage::read(std::uint64_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    if (!std::getline(file, line))
        return Core::fail(Core::ErrorCode::NotFound, "there is no process " + std::to_string(pid));
    // The second field, the program's name in parentheses, may hold anything.
    std::istringstream rest(line.substr(std::min(line.rfind(')') + 1, line.size())));
    std::int64_t ticks = 0;
    std::uint64_t pages = 0;
    std::string field;
    for (int i = 3; i <= residentField && rest >> field; ++i) {
        if (i == userTimeField || i == userTimeField + 1)
            ticks += std::stoll(field);
        if (i == residentField)
            pages = std::stoull(field);
    }
    std::int64_t ticksPerSecond = sysconf(_SC_CLK_TCK);
    return ProcessUsage { std::chrono::microseconds(ticks * microsecondsPerSecond / ticksPerSecond), pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) };
}

}
