#include <LibStandIn/EngineControl.h>

namespace StandIn {

EngineControl::EngineControl(EngineConfiguration configuration, bool checksFencing, std::chrono::milliseconds changeTime)
    : m_current(configuration)
    , m_wanted(std::move(configuration))
    , m_checksFencing(checksFencing)
    , m_changeTime(changeTime)
{
}

Core::Result<void> EngineControl::order(EngineOrder const& order)
{
    if (m_checksFencing) {
        if (order.fencing < m_fencing)
            return Core::fail(Core::ErrorCode::LostAuthority, "A higher fencing number was seen: " + std::to_string(m_fencing) + ".");
        m_fencing = order.fencing;
    }
    m_wanted.role = order.role.value_or(m_wanted.role);
    m_wanted.model = order.model.value_or(m_wanted.model);
    m_wanted.adapter = order.adapter.value_or(m_wanted.adapter);
    m_wanted.version = order.version.value_or(m_wanted.version);
    if (m_phase == Phase::Serving && m_wanted != m_current)
        m_phase = Phase::Draining;
    else if (m_phase == Phase::Draining && m_wanted == m_current)
        m_phase = Phase::Serving;
    return Core::ok();
}

void EngineControl::advance(bool isIdle, Time now)
{
    if (m_phase == Phase::Draining && isIdle)
        startChange(now);
    if (m_phase != Phase::Changing || m_isWaitingForWeights)
        return;
    if (crashesDuringChange && now >= m_changeEnd - m_changeTime / 2)
        m_hasCrashed = true;
    else if (now >= m_changeEnd)
        finishChange();
}

std::optional<EngineControl::Time> EngineControl::nextDeadline() const
{
    if (m_phase != Phase::Changing || m_isWaitingForWeights)
        return std::nullopt;
    return crashesDuringChange ? m_changeEnd - m_changeTime / 2 : m_changeEnd;
}

void EngineControl::grantWeights(Time now)
{
    if (!m_isWaitingForWeights)
        return;
    m_isWaitingForWeights = false;
    m_changeEnd = now + m_changeTime;
}

void EngineControl::startChange(Time now)
{
    m_phase = Phase::Changing;
    m_target = m_wanted;
    m_changeEnd = now + m_changeTime;
    EngineConfiguration sameWeights = m_current;
    sameWeights.role = m_target.role;
    m_isWaitingForWeights = usesWeightStore && sameWeights != m_target;
}

void EngineControl::finishChange()
{
    m_current = m_target;
    ++m_changes;
    m_phase = m_wanted == m_current ? Phase::Serving : Phase::Draining;
}

}
