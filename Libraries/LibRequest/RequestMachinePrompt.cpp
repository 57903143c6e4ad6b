// The part of RequestMachine that decides what follows a prompt's stage: docs/design/request-stages.md.

#include <LibRequest/RequestMachine.h>
#include <utility>

namespace Request {

void RequestMachine::on(PromptComputed&& event, TimePoint)
{
    if (event.attempt == m_attempt)
        m_hasComputedPrompt = true;
}

// The first prompt that a target takes is neither an attempt nor a repeat; further ones and refused ones are both. When no attempt is left
// but for that, the output's target computes the prompt, which is one send: the request's first run.
void RequestMachine::on(PromptFailed&& event, TimePoint now)
{
    if (m_phase != Phase::Connecting || !isCurrent(event.leg))
        return;
    constexpr std::uint32_t repeats = 1;
    if (event.end != PromptEnd::Refused)
        m_hasSparePrompt = !std::exchange(m_hasComputedPrompt, true) || m_hasSparePrompt;
    if (now >= m_profile.deadline) {
        finishWith(Core::ErrorCode::Timeout, "The deadline passed.");
        return;
    }
    if (m_allowance.left() > 0 && m_budget->take(now, repeats)) {
        startAttempt(now);
        return;
    }
    // A refusal may be what was lost.
    bool isPaid = event.end == PromptEnd::Failed || m_budget->take(now, repeats);
    if (m_profile.mayRunWhole && m_hasSparePrompt && isPaid) {
        m_hasSparePrompt = false;
        m_allowance.takeBack();
        startAttempt(now, true);
        return;
    }
    finishWith(Core::ErrorCode::Unavailable, "The targets did not compute the prompt.");
}

}
