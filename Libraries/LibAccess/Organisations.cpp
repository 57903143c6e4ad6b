#include <LibAccess/Organisations.h>
#include <cstdlib>
#include <cstring>
#include <map>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <set>
#include <utility>

namespace Access {

namespace {

constexpr int lastPriority = 9;

boost::outcome_v2::failure_type<Core::Error> bad(Organisation const& organisation, std::string const& problem)
{
    return Core::fail(Core::ErrorCode::BadInput, "organisation \"" + organisation.name + "\": " + problem);
}

Core::Result<void> check(std::vector<Organisation> const& organisations)
{
    KeyDigest const emptyKey = KeyDigest::of("");
    std::set<std::string_view> names;
    std::map<KeyDigest, std::string_view> holders;
    for (Organisation const& it : organisations) {
        if (it.name.empty())
            return bad(it, "allowed is a name that is not empty");
        if (!names.insert(it.name).second)
            return bad(it, "read twice; allowed is each name once");
        if (it.priority && (*it.priority < 0 || *it.priority > lastPriority))
            return bad(it, "priority: read " + std::to_string(*it.priority) + "; allowed is 0 to 9");
        for (KeyDigest const& key : it.keys) {
            if (key == emptyKey)
                return bad(it, "an empty key; allowed are keys of one character at least");
            std::pair<std::map<KeyDigest, std::string_view>::iterator, bool> added = holders.emplace(key, it.name);
            if (!added.second)
                return bad(it, "a key that \"" + std::string(added.first->second) + "\" holds too; allowed is one holder for each key");
        }
    }
    return Core::ok();
}

}

Core::Result<std::shared_ptr<Organisations const>> Organisations::create(std::vector<Organisation> organisations)
{
    BOOST_OUTCOME_TRY(check(organisations));
    return std::shared_ptr<Organisations const>(new Organisations(std::move(organisations)));
}

Organisations::Organisations(std::vector<Organisation> organisations)
    : m_organisations(std::move(organisations))
{
    if (RAND_bytes(m_secret.data(), static_cast<int>(m_secret.size())) != 1)
        std::abort(); // Without a secret the time of a look-up could be steered.
    for (std::size_t n = 0; n < m_organisations.size(); ++n) {
        for (KeyDigest const& key : m_organisations[n].keys) {
            Tag tag = tagOf(key);
            m_byTag.emplace(bucketOf(tag), Entry { tag, n });
        }
    }
}

Organisations::Tag Organisations::tagOf(KeyDigest const& key) const
{
    // Both parts have a fixed length, so a plain digest of them is a keyed one.
    std::array<char, 2 * KeyDigest::size> joined {};
    std::memcpy(joined.data(), m_secret.data(), m_secret.size());
    std::memcpy(joined.data() + m_secret.size(), key.bytes().data(), KeyDigest::size);
    return sha256({ joined.data(), joined.size() });
}

std::uint64_t Organisations::bucketOf(Tag const& tag)
{
    std::uint64_t bucket = 0;
    std::memcpy(&bucket, tag.data(), sizeof(bucket));
    return bucket;
}

Organisation const* Organisations::find(std::string_view key) const
{
    using Entries = std::unordered_multimap<std::uint64_t, Entry>;
    Tag tag = tagOf(KeyDigest::of(key));
    std::pair<Entries::const_iterator, Entries::const_iterator> range = m_byTag.equal_range(bucketOf(tag));
    for (Entries::const_iterator it = range.first; it != range.second; ++it) {
        if (CRYPTO_memcmp(it->second.tag.data(), tag.data(), tag.size()) == 0)
            return &m_organisations[it->second.organisation];
    }
    return nullptr;
}

}
