// The part of RequestRunner that counts a request for its organisation's usage.

#include <LibDaemon/RequestRunner.h>

namespace Daemon {

// Each request is counted once, when its first run begins.
void RequestRunner::noteBegun()
{
    if (m_work.isAuthenticated && !m_isAtPeer && !std::exchange(m_hasBegun, true))
        m_context.usage.countRequest(m_work.organisation, Core::BootClock::now());
}

// Most calls to plain services whose response is lost have run, so that they count. An engine may itself have been lost.
void RequestRunner::noteLostAnswer()
{
    if (m_isAtPeer)
        return;
    FleetTarget const* target = targetOf(m_target);
    if (m_work.kind == Work::Kind::Service)
        noteBegun();
    else if (target && !m_hasBegun && !m_lostAnswer)
        m_lostAnswer = LostAnswer { target->key, Core::BootClock::now() };
}

void RequestRunner::countLostAnswer()
{
    if (m_lostAnswer && m_work.isAuthenticated && !m_hasBegun)
        m_context.usage.noteLostAnswer(m_work.organisation, m_lostAnswer->target, m_lostAnswer->at);
}

}
