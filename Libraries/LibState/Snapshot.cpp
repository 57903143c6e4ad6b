#include <LibState/Snapshot.h>
#define XXH_INLINE_ALL
#include <algorithm>
#include <xxhash.h>

namespace State {

namespace {

std::string digestOf(std::string const& state)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(state.data(), state.size()));
    return { reinterpret_cast<char const*>(canonical.digest), sizeof(canonical.digest) };
}

}

Snapshot Snapshot::create(std::uint64_t nextOffset, std::string state)
{
    std::string digest = digestOf(state);
    return { nextOffset, std::move(digest), std::move(state) };
}

Core::Result<Snapshot> Snapshot::join(std::vector<SnapshotPart> const& parts)
{
    if (parts.empty())
        return Core::fail(Core::ErrorCode::Corrupt, "the snapshot has no part");
    std::string state;
    for (std::size_t n = 0; n < parts.size(); ++n) {
        SnapshotPart const& part = parts[n];
        bool belongs = part.nextOffset == parts[0].nextOffset && part.digest == parts[0].digest && part.count == parts.size() && part.index == n;
        if (!belongs)
            return Core::fail(Core::ErrorCode::Corrupt, "the snapshot's parts do not belong together");
        state += part.data;
    }
    if (digestOf(state) != parts[0].digest)
        return Core::fail(Core::ErrorCode::Corrupt, "the snapshot does not have its digest");
    return Snapshot(parts[0].nextOffset, parts[0].digest, std::move(state));
}

std::vector<SnapshotPart> Snapshot::split(std::size_t partBytes) const
{
    std::size_t count = std::max<std::size_t>(1, (m_state.size() + partBytes - 1) / partBytes);
    std::vector<SnapshotPart> parts;
    for (std::size_t n = 0; n < count; ++n) {
        parts.push_back({ m_nextOffset, m_digest, static_cast<std::uint32_t>(n), static_cast<std::uint32_t>(count),
            m_state.substr(n * partBytes, partBytes) });
    }
    return parts;
}

}
