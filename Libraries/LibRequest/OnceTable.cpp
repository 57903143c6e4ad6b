#include <LibRequest/OnceTable.h>
#include <algorithm>
#include <utility>

namespace Request {

namespace {

/// Rounds up, so that no entry expires early.
std::int64_t secondOf(TimePoint time)
{
    return std::chrono::ceil<std::chrono::seconds>(time.time_since_epoch()).count();
}

}

Core::Result<OnceTable> OnceTable::create(Settings settings)
{
    if (settings.ticketLifetime.count() <= 0 || settings.keepAfterEnd.count() <= 0 || settings.maxTickets == 0 || settings.maxTicketsPerOrganisation == 0)
        return Core::fail(Core::ErrorCode::BadInput, "The lifetimes and maximum numbers of tickets must be greater than 0.");
    return OnceTable(settings);
}

OnceTable::OnceTable(Settings settings)
    : m_settings(settings)
{
}

Core::Result<OnceDecision> OnceTable::begin(Ticket const& ticket, Fingerprint const& fingerprint, std::string_view organisation, TimePoint now)
{
    expire(now);
    // An entry that expired at a later time must not run again at an earlier one.
    now = m_now;
    auto it = m_entries.find(ticket.nonce);
    if (it != m_entries.end()) {
        if (it->second.fingerprint != fingerprint)
            return Core::fail(Core::ErrorCode::Conflict, "The ticket was used for another request; this one was not run.");
        return it->second.isRunning ? OnceDecision::Join : OnceDecision::Replay;
    }
    // Once the entry of an expired ticket may have been removed, it is unknown whether the ticket was used.
    TimePoint expiry = ticket.issuedAt + m_settings.ticketLifetime;
    if (expiry <= now) {
        return boost::outcome_v2::failure(Core::makeUncertainError(Core::ErrorCode::Timeout,
            "The ticket has expired; whether its request ran is no longer known."));
    }
    Organisations::iterator owner = m_organisations.find(organisation);
    if (owner == m_organisations.end())
        owner = m_organisations.emplace(std::string(organisation), Organisation()).first;
    if (isRefusedForRoom(ticket, owner)) {
        forgetIfIdle(owner);
        return Core::fail(Core::ErrorCode::Overloaded, "Too many tickets are in use; ask for a fresh one.");
    }
    m_entries.emplace(ticket.nonce, Entry { fingerprint, owner, true, Core::Verdict::MayHaveRun, expiry });
    ++owner->second.tickets;
    schedule(ticket.nonce, expiry);
    return OnceDecision::Run;
}

/// A refusal for lack of capacity stores no entry, so a duplicate that arrives later must be refused as well: all
/// unseen tickets as old as the refused one are.
bool OnceTable::isRefusedForRoom(Ticket const& ticket, Organisations::iterator owner)
{
    if (m_entries.size() >= m_settings.maxTickets)
        m_refusedBefore = m_now;
    Organisation& organisation = owner->second;
    if (organisation.tickets >= m_settings.maxTicketsPerOrganisation) {
        if (!organisation.refusedBefore)
            m_refusalExpiries.emplace(m_now + m_settings.ticketLifetime, owner->first);
        organisation.refusedBefore = m_now;
    }
    bool isBeforeAll = m_refusedBefore && ticket.issuedAt <= *m_refusedBefore;
    return isBeforeAll || (organisation.refusedBefore && ticket.issuedAt <= *organisation.refusedBefore);
}

void OnceTable::forgetIfIdle(Organisations::iterator it)
{
    if (it->second.tickets == 0 && !it->second.refusedBefore)
        m_organisations.erase(it);
}

void OnceTable::finish(TicketNonce const& nonce, Core::Verdict verdict, TimePoint now)
{
    auto it = m_entries.find(nonce);
    if (it == m_entries.end() || !it->second.isRunning)
        return;
    it->second.isRunning = false;
    it->second.verdict = verdict;
    it->second.expiresAt = std::max(it->second.expiresAt, now + m_settings.keepAfterEnd);
}

std::optional<Core::Verdict> OnceTable::verdictOf(TicketNonce const& nonce) const
{
    auto it = m_entries.find(nonce);
    if (it == m_entries.end() || it->second.isRunning)
        return std::nullopt;
    return it->second.verdict;
}

void OnceTable::schedule(TicketNonce const& nonce, TimePoint expiry)
{
    m_expiries[secondOf(expiry)].push_back(nonce);
}

void OnceTable::expire(TimePoint now)
{
    m_now = std::max(m_now, now);
    expireTickets();
    expireOrganisations();
}

void OnceTable::expireTickets()
{
    while (!m_expiries.empty() && std::chrono::seconds(m_expiries.begin()->first) <= m_now.time_since_epoch()) {
        std::vector<TicketNonce> due = std::move(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
        for (TicketNonce const& nonce : due) {
            auto it = m_entries.find(nonce);
            // A running request is checked again later; its entry is never removed before it ends.
            if (it->second.isRunning) {
                schedule(nonce, m_now + m_settings.keepAfterEnd);
            } else if (it->second.expiresAt > m_now) {
                schedule(nonce, it->second.expiresAt);
            } else {
                Organisations::iterator owner = it->second.organisation;
                m_entries.erase(it);
                --owner->second.tickets;
                forgetIfIdle(owner);
            }
        }
    }
}

void OnceTable::expireOrganisations()
{
    while (!m_refusalExpiries.empty() && m_refusalExpiries.begin()->first <= m_now) {
        std::string name = std::move(m_refusalExpiries.begin()->second);
        m_refusalExpiries.erase(m_refusalExpiries.begin());
        Organisations::iterator it = m_organisations.find(name);
        TimePoint until = *it->second.refusedBefore + m_settings.ticketLifetime;
        if (until > m_now) {
            m_refusalExpiries.emplace(until, std::move(name));
            continue;
        }
        it->second.refusedBefore.reset();
        forgetIfIdle(it);
    }
}

}
