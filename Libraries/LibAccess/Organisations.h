#pragma once

#include <LibAccess/KeyDigest.h>
#include <LibCore/Result.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Access {

/// Who callers act for.
struct Organisation {
    std::string name;
    std::optional<int> priority; ///< Of its requests, in place of their route's: 0 first, 9 last.
    std::vector<KeyDigest> keys; ///< Any of them will do; none: its requests are refused.

    bool operator==(Organisation const&) const = default;
};

/// The organisations of one configuration, found by their keys. Holds no key: only digests, under a secret that this process
/// draws for each configuration. Immutable and thread-safe.
class Organisations {
public:
    /// Errors (BadInput): an empty name, a name twice, a key held twice, an empty key, a priority outside 0 to 9. They name the
    /// organisation, never the key.
    static Core::Result<std::shared_ptr<Organisations const>> create(std::vector<Organisation>);

    /// Returns the organisation that holds a key, or null. How long that takes tells nothing of other keys.
    Organisation const* find(std::string_view key) const;

    std::vector<Organisation> const& all() const { return m_organisations; }

private:
    /// A digest of a key's digest and the secret: unlike the former, nobody outside can compute it and look for a near one.
    using Tag = KeyDigest::Bytes;

    struct Entry {
        Tag tag {};
        std::size_t organisation { 0 };
    };

    explicit Organisations(std::vector<Organisation>);
    Tag tagOf(KeyDigest const&) const;
    static std::uint64_t bucketOf(Tag const&);

    std::vector<Organisation> m_organisations;
    KeyDigest::Bytes m_secret {};
    std::unordered_multimap<std::uint64_t, Entry> m_byTag;
};

}
