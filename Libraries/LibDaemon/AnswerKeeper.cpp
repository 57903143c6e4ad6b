#include <LibCore/EventLog.h>
#include <LibDaemon/AnswerKeeper.h>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint64_t bytesPerRead = 64U * 1024;

}

Core::Result<std::unique_ptr<AnswerKeeper>> AnswerKeeper::create(Request::TicketIssuer issuer, Request::AnswerStore::Limits limits, Request::OnceTable::Settings settings)
{
    BOOST_OUTCOME_TRY(Request::Home home, Request::Home::create(limits, settings));
    return std::unique_ptr<AnswerKeeper>(new AnswerKeeper(std::move(issuer), std::move(home)));
}

void AnswerKeeper::wakeAll(Wakes& wakes)
{
    for (std::function<void()> const& wake : wakes)
        wake();
}

AnswerKeeper::Wakes AnswerKeeper::takeWakes(Request::TicketNonce const& nonce)
{
    boost::unordered_flat_map<Request::TicketNonce, Side, Request::TicketNonceHash>::iterator it = m_sides.find(nonce);
    return it == m_sides.end() ? Wakes() : std::exchange(it->second.wakes, {});
}

// Notes in the log what was given up, and moves the wake-ups of those who wait for it to `wakes`.
void AnswerKeeper::forget(std::vector<Request::DroppedAnswer> const& dropped, Wakes& wakes)
{
    for (Request::DroppedAnswer const& it : dropped) {
        Core::logEvent(Core::Severity::Warning, Core::Event::AnswerDropped, { { "organisation", it.organisation }, { "bytes", std::to_string(it.bytes) }, { "was_running", it.wasRunning ? "yes" : "no" } });
        for (std::function<void()>& wake : takeWakes(it.ticket))
            wakes.push_back(std::move(wake));
        m_sides.erase(it.ticket);
    }
}

Core::Result<Request::OnceDecision> AnswerKeeper::begin(Request::Ticket const& ticket, Request::Fingerprint const& fingerprint, std::string const& organisation)
{
    Wakes wakes;
    Core::Result<Request::Home::Begun> begun = [&] {
        std::lock_guard lock(m_mutex);
        Core::Result<Request::Home::Begun> result = m_home.begin(ticket, fingerprint, organisation, Clock::now());
        if (result.has_value())
            forget(result.value().dropped, wakes);
        if (result.has_value() && result.value().decision == Request::OnceDecision::Run)
            m_sides.try_emplace(ticket.nonce);
        return result;
    }();
    wakeAll(wakes);
    if (begun.has_error())
        return begun.error();
    return begun.value().decision;
}

void AnswerKeeper::head(Request::TicketNonce const& nonce, Http::ResponseHead head)
{
    std::lock_guard lock(m_mutex);
    // An answer that was dropped meanwhile has no side left, and gets none again.
    boost::unordered_flat_map<Request::TicketNonce, Side, Request::TicketNonceHash>::iterator it = m_sides.find(nonce);
    if (it != m_sides.end())
        it->second.head = std::move(head);
}

void AnswerKeeper::append(Request::TicketNonce const& nonce, std::uint64_t position, std::string_view bytes)
{
    Wakes wakes;
    {
        std::lock_guard lock(m_mutex);
        wakes = takeWakes(nonce);
        forget(m_home.append(nonce, position, bytes), wakes);
    }
    wakeAll(wakes);
}

void AnswerKeeper::finish(Request::TicketNonce const& nonce, Request::AnswerEnd end)
{
    Wakes wakes;
    {
        std::lock_guard lock(m_mutex);
        m_home.finish(nonce, std::move(end), Clock::now());
        wakes = takeWakes(nonce);
    }
    wakeAll(wakes);
}

Core::Result<KeptPart> AnswerKeeper::read(Request::TicketNonce const& nonce, Request::AnswerOffset offset, std::function<void()> wake)
{
    std::lock_guard lock(m_mutex);
    BOOST_OUTCOME_TRY(Request::AnswerPart part, m_home.read(nonce, offset, bytesPerRead));
    Side& side = m_sides[nonce];
    if (part.bytes.empty() && !part.end)
        side.wakes.push_back(std::move(wake));
    return KeptPart { side.head, std::move(part) };
}

void AnswerKeeper::expire()
{
    Wakes wakes;
    {
        std::lock_guard lock(m_mutex);
        for (Request::DroppedAnswer const& it : m_home.expire(Clock::now()))
            m_sides.erase(it.ticket);
    }
}

std::uint64_t AnswerKeeper::keptBytes() const
{
    std::lock_guard lock(m_mutex);
    return m_home.keptBytes();
}

std::size_t AnswerKeeper::keptAnswers() const
{
    std::lock_guard lock(m_mutex);
    return m_home.keptAnswers();
}

std::size_t AnswerKeeper::rememberedTickets() const
{
    std::lock_guard lock(m_mutex);
    return m_home.rememberedTickets();
}

}
