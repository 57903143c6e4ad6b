#include <LibQuarantine/Suspect.h>
#include <xxhash.h>

namespace Quarantine {

namespace {

// The lower half of each part's key. A whole request has it by chance once in 2^64.
constexpr std::uint64_t partTag = 0x70726f6d70742e70;

}

WorkKey partKeyOf(std::string_view service, std::uint64_t part)
{
    return { partTag, XXH3_64bits_withSeed(service.data(), service.size(), part) };
}

bool isPartKey(WorkKey const& key)
{
    return key.low == partTag;
}

}
