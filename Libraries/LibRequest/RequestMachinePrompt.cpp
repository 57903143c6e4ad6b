// The part of RequestMachine that decides what follows a prompt's stage: docs/design/request-stages.md.

#include <LibRequest/RequestMachine.h>
#include <utility>

namespace Request {

void RequestMachine::on(PromptComputed&& event, TimePoint)
{
    if (event.attempt == m_attempt)
        m_hasComputedPrompt = true;
}

void RequestMachine::on(PromptFailed&& event, TimePoint now)
{
    if (m_phase != Phase::Connecting || !isCurrent(event.leg))
        return;
    if (now >= m_profile.deadline)
        finishWith(Core::ErrorCode::Timeout, "The deadline passed.");
    else if (!repeatPrompt(event.end, now))
        finishWith(Core::ErrorCode::Unavailable, "The targets did not compute the prompt.");
}

void RequestMachine::on(PromptOverdue&& event, TimePoint now)
{
    if (m_phase == Phase::Connecting && isCurrent(event.leg) && now < m_profile.deadline)
        repeatPrompt(PromptEnd::Lost, now);
}

/// Starts another attempt after one whose prompt was not computed, and returns whether it may be made.
///
/// The first prompt that a target takes is neither an attempt nor a repeat; further ones and refused ones are both. When no attempt is left
/// but for that, the output's target computes the prompt, which is one send: the request's first run.
bool RequestMachine::repeatPrompt(PromptEnd end, TimePoint now)
{
    constexpr std::uint32_t repeats = 1;
    bool isFirst = end != PromptEnd::Refused && !m_hasComputedPrompt;
    bool isElsewhere = m_allowance.left() > 0 && m_budget->take(now, repeats);
    bool mayRunWhole = !isElsewhere && m_profile.mayRunWhole && (isFirst || m_hasSparePrompt);
    // What was lost may have been a refusal.
    bool isWhole = mayRunWhole && (end == PromptEnd::Failed || m_budget->take(now, repeats));
    if (!isElsewhere && !isWhole)
        return false;
    m_hasSparePrompt = !isWhole && (isFirst || m_hasSparePrompt);
    m_hasComputedPrompt = m_hasComputedPrompt || end != PromptEnd::Refused;
    if (isWhole)
        m_allowance.takeBack();
    startAttempt(now, isWhole);
    return true;
}

}
