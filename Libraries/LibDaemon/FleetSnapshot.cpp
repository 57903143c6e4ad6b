#include <LibDaemon/FleetSnapshot.h>
#include <xxhash.h>

namespace Daemon {

std::uint64_t targetKeyOf(std::string_view name, std::uint64_t start)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), start);
}

std::uint64_t targetKeyOf(std::string_view name, std::string_view start)
{
    return targetKeyOf(name, XXH3_64bits(start.data(), start.size()));
}

}
