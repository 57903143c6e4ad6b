#include <LibRequest/Home.h>
#include <utility>

namespace Request {

Core::Result<Home> Home::create(AnswerStore::Limits limits, OnceTable::Settings settings)
{
    BOOST_OUTCOME_TRY(AnswerStore answers, AnswerStore::create(limits));
    BOOST_OUTCOME_TRY(OnceTable once, OnceTable::create(settings));
    return Home(std::move(answers), std::move(once));
}

Home::Home(AnswerStore answers, OnceTable once)
    : m_answers(std::move(answers))
    , m_once(std::move(once))
{
}

Core::Result<Home::Begun> Home::begin(Ticket const& ticket, Fingerprint const& fingerprint, std::string_view organisation, TimePoint now)
{
    Begun begun;
    BOOST_OUTCOME_TRY(begun.decision, m_once.begin(ticket, fingerprint, organisation, now));
    if (begun.decision == OnceDecision::Run)
        begun.dropped = m_answers.open(ticket.nonce, organisation);
    return begun;
}

std::vector<DroppedAnswer> Home::append(TicketNonce const& ticket, std::uint64_t position, std::string_view bytes)
{
    return m_answers.append(ticket, position, bytes);
}

void Home::finish(TicketNonce const& ticket, AnswerEnd end, TimePoint now)
{
    m_once.finish(ticket, end.verdict, now);
    m_answers.finish(ticket, std::move(end), now);
}

Core::Result<AnswerPart> Home::read(TicketNonce const& ticket, AnswerOffset offset, std::uint64_t maxBytes) const
{
    Core::Result<AnswerPart> part = m_answers.read(ticket, offset, maxBytes);
    if (part.has_error() && !m_answers.contains(ticket)) {
        Core::Error error = part.error();
        error.verdict = m_once.verdictOf(ticket).value_or(Core::Verdict::MayHaveRun);
        return boost::outcome_v2::failure(error);
    }
    return part;
}

void Home::collected(TicketNonce const& ticket)
{
    m_answers.remove(ticket);
}

std::vector<DroppedAnswer> Home::expire(TimePoint now)
{
    m_once.expire(now);
    return m_answers.expire(now);
}

}
