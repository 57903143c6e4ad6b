#include <LibAuthority/EvidenceFinder.h>

namespace Authority {

EvidenceFinder::EvidenceFinder(Duration listLag)
    : m_listLag(listLag)
{
}

void EvidenceFinder::observeUnsettled(std::vector<FormerHolder> const& unsettled, Time now)
{
    std::map<std::uint64_t, Former> formers;
    for (FormerHolder const& former : unsettled) {
        std::map<std::uint64_t, Former>::iterator known = m_formerHolders.find(former.fencing);
        if (known != m_formerHolders.end())
            formers.insert(m_formerHolders.extract(known));
        else
            formers.emplace(former.fencing, Former { former.holder, now, false, std::nullopt, now });
    }
    m_formerHolders = std::move(formers);
}

/// Incarnations are not ordered. So a response counts only if its connection was opened after the former holder was known
/// to have had the address: an earlier one may be from the process before it.
void EvidenceFinder::observeAnswer(std::string const& address, std::string const& incarnation, Time openedAt)
{
    for (std::map<std::uint64_t, Former>::value_type& it : m_formerHolders) {
        Former& former = it.second;
        if (former.holder.address == address && former.holder.incarnation != incarnation && openedAt >= former.seenAt)
            former.isReplaced = true;
    }
}

/// A VM may be missing because it is too new for the list. So it has to be missing for longer than the list's lag, measured
/// from the first to the last read without it, as time without a read proves nothing.
void EvidenceFinder::observeList(std::set<std::string> const& names, Time readAt)
{
    for (std::map<std::uint64_t, Former>::value_type& it : m_formerHolders) {
        Former& former = it.second;
        if (readAt < former.seenAt)
            continue;
        if (names.contains(former.holder.daemon)) {
            former.missingSince.reset();
            continue;
        }
        if (!former.missingSince)
            former.missingSince = readAt;
        former.missingUntil = readAt;
    }
}

std::vector<Finding> EvidenceFinder::findings() const
{
    std::vector<Finding> findings;
    for (std::map<std::uint64_t, Former>::value_type const& it : m_formerHolders) {
        Former const& former = it.second;
        if (former.isReplaced)
            findings.push_back({ it.first, Evidence::Replaced });
        else if (former.missingSince && former.missingUntil - *former.missingSince > m_listLag)
            findings.push_back({ it.first, Evidence::Gone });
    }
    return findings;
}

}
