#include <LibRouting/PromptHomes.h>

namespace Routing {

std::uint64_t homeWeight(std::uint64_t part, std::uint64_t target)
{
    // The finalizer of MurmurHash3 over both: no structure of either number is left.
    std::uint64_t number = part ^ (target * 0x9e3779b97f4a7c15ULL);
    number = (number ^ (number >> 33U)) * 0xff51afd7ed558ccdULL;
    number = (number ^ (number >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return number ^ (number >> 33U);
}

std::size_t homeOf(std::uint64_t part, std::span<std::uint64_t const> targets)
{
    std::size_t home = targets.size();
    std::uint64_t greatest = 0;
    for (std::size_t position = 0; position < targets.size(); ++position) {
        std::uint64_t weight = homeWeight(part, targets[position]);
        if (home != targets.size() && weight <= greatest)
            continue;
        home = position;
        greatest = weight;
    }
    return home;
}

}
