#include <LibMembership/Message.h>
#include <array>
#include <tuple>
#include <xxhash.h>

namespace Membership {

std::uint64_t memberIdOf(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint32_t zoneIdOf(std::string_view availabilityZone)
{
    return static_cast<std::uint32_t>(XXH3_64bits(availabilityZone.data(), availabilityZone.size()));
}

std::uint32_t digestOf(Record const& record)
{
    std::uint64_t const isOver = record.status == Status::Dead || record.status == Status::Left ? 2 : 0;
    std::array<std::uint64_t, 4> const fields { record.id, record.incarnation, record.version, (record.isLeaving ? 1ULL : 0ULL) + isOver };
    return static_cast<std::uint32_t>(XXH3_64bits(fields.data(), sizeof(fields)));
}

bool supersedes(Record const& first, Record const& second)
{
    return std::tie(first.incarnation, first.version, first.status) > std::tie(second.incarnation, second.version, second.status);
}

}
