#include <LibRouting/PromptHomes.h>

namespace Routing {

std::uint64_t homeWeight(std::uint64_t part, std::uint64_t target)
{
    // The MurmurHash3 finalizer over both values removes any structure in them.
    std::uint64_t number = part ^ (target * 0x9e3779b97f4a7c15ULL);
    number = (number ^ (number >> 33U)) * 0xff51afd7ed558ccdULL;
    number = (number ^ (number >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return number ^ (number >> 33U);
}

Homes homesOf(std::uint64_t part, std::span<std::uint64_t const> targets)
{
    Homes homes { targets.size(), targets.size() };
    std::uint64_t firstWeight = 0;
    std::uint64_t secondWeight = 0;
    for (std::size_t position = 0; position < targets.size(); ++position) {
        std::uint64_t weight = homeWeight(part, targets[position]);
        if (homes.first == targets.size() || weight > firstWeight) {
            homes.second = homes.first;
            secondWeight = firstWeight;
            homes.first = position;
            firstWeight = weight;
        } else if (homes.second == targets.size() || weight > secondWeight) {
            homes.second = position;
            secondWeight = weight;
        }
    }
    return homes;
}

}
