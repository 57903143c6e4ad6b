#include <LibModel/Gate.h>

namespace Model {

namespace {

constexpr Admission::GroupId group = 1;
constexpr std::uint32_t inFlightPerEngine = 1000; ///< The estimate of the wait is the limit, not a number.

// Work in tokens of prompt: an output token takes about eight times as long.
std::uint64_t workOf(Job const& job)
{
    constexpr std::uint64_t expectedOutputTokens = 300;
    constexpr std::uint64_t promptTokensPerOutputToken = 8;
    return job.promptTokens + expectedOutputTokens * promptTokensPerOutputToken;
}

}

Gate::Gate(std::size_t engines, Settings const& settings, Hooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
{
    Admission::Controller::TargetChooser place = [choose = m_hooks.place](Admission::RequestId id, Admission::GroupId) -> std::optional<Admission::TargetId> {
        return choose(static_cast<std::uint32_t>(id));
    };
    Admission::Controller::Limits limits;
    limits.inFlightPerOrganisation = settings.inFlightPerOrganisation;
    m_controller = std::move(Admission::Controller::create(limits, place).value());
    for (std::uint32_t i = 0; i < engines; ++i)
        m_controller->setTarget(i, inFlightPerEngine, { group });
}

void Gate::grantAll(std::vector<Admission::Grant> const& grants)
{
    for (Admission::Grant const& it : grants)
        m_hooks.grant(static_cast<std::uint32_t>(it.id), it.target);
}

void Gate::settle()
{
    grantAll(m_controller->takeGrants());
    for (Admission::Refusal const& it : m_controller->takeRefusals())
        m_hooks.refuse(static_cast<std::uint32_t>(it.id));
}

void Gate::enter(std::uint32_t index, Job const& job, Time now)
{
    Time latestStart = job.arrival + std::chrono::duration_cast<Time::duration>(std::chrono::duration<double>(m_settings.longestWaitSeconds));
    Admission::Demand demand { index, std::to_string(job.organisation), group, job.priority, workOf(job), latestStart };
    Admission::Controller::Decision decision = m_controller->enter(demand, now);
    if (Admission::Grant const* grant = std::get_if<Admission::Grant>(&decision))
        m_hooks.grant(index, grant->target);
    else if (std::holds_alternative<Admission::Refusal>(decision))
        m_hooks.refuse(index);
    settle();
}

void Gate::release(std::uint32_t index, Time now)
{
    grantAll(m_controller->release(index, now));
}

void Gate::poke(Time now)
{
    if (m_controller->queued(group) == 0)
        return;
    for (Admission::Refusal const& it : m_controller->expire(now))
        m_hooks.refuse(static_cast<std::uint32_t>(it.id));
    // Setting a target to what it is makes the controller look at those who wait.
    grantAll(m_controller->setTarget(0, inFlightPerEngine, { group }));
    settle();
}

}
