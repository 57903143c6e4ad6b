// The part of Dispatcher that learns how fast each target is and how many requests it takes well: docs/design/target-pace.md.

#include <LibCore/EventLog.h>
#include <LibDaemon/DispatcherWaiter.h>
#include <LibRouting/PromptEvidence.h>
#include <algorithm>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// Samples in one beacon. The others follow in the next ones.
constexpr std::size_t maxSamples = 24;

double secondsOf(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string kneeText(std::optional<std::uint32_t> knee)
{
    return knee ? std::to_string(*knee) : "-";
}

}

// Called with the mutex held.
void Dispatcher::updatePaces(Clock::time_point now)
{
    if (!m_learnsPace)
        return;
    for (Routing::KneeChange const& it : m_paces.update(now))
        Core::logEvent(Core::Severity::Info, Core::Event::TargetKneeMoved, { { "target", m_targetNames[it.target] }, { "kind", std::string(Core::nameOf(Routing::paceKindNames, it.kind)) }, { "from", kneeText(it.before) }, { "to", kneeText(it.after) } });
}

// Called with the mutex held.
void Dispatcher::notePromptPace(Waiter const& waiter, Clock::duration duration)
{
    if (!m_learnsPace)
        return;
    Routing::ServiceSpeed speed = m_speeds.speed(waiter.request.work, Clock::now());
    if (speed.prompts < Routing::SpeedBook::minOwnPrompts)
        return;
    std::uint64_t key = waiter.request.fleet->targets[*waiter.outcome.position].key;
    double average = speed.promptCost.seconds(waiter.promptTokens, waiter.request.shape.promptTokens);
    if (std::optional<double> expected = Routing::comparedPromptSeconds(average, waiter.aheadSeconds, promptFactor(key)))
        m_paces.note(key, Routing::PaceKind::Prompt, 1, *expected, secondsOf(duration), Clock::now());
}

void Dispatcher::noteAnswered(std::uint64_t id)
{
    std::lock_guard lock(m_mutex);
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it = m_waiters.find(id);
    if (it != m_waiters.end())
        it->second->isAnswered = true;
}

// Called with the mutex held, when the request's placement ends.
void Dispatcher::noteWholePace(Waiter const& waiter)
{
    FleetTarget const& target = waiter.request.fleet->targets[*waiter.outcome.position];
    bool isPlain = target.kind == Platform::VmKind::Service;
    if (!m_learnsPace || !isPlain || !waiter.isAnswered)
        return;
    double usual = m_speeds.openSeconds(waiter.request.work, waiter.outcome.decision.role);
    m_paces.note(target.key, Routing::PaceKind::Whole, waiter.openAtSend, usual, secondsOf(Clock::now() - waiter.sentAt), Clock::now());
}

double Dispatcher::promptFactor(std::uint64_t targetKey) const
{
    return m_learnsPace ? m_paces.factor(targetKey, Routing::PaceKind::Prompt) : m_speeds.promptFactor(targetKey);
}

// Of a plain service, the factor of its whole answers: it has no others, and an engine has no whole ones.
double Dispatcher::eventFactor(std::uint64_t targetKey, Routing::TargetRole role) const
{
    if (!m_learnsPace)
        return m_speeds.eventFactor(targetKey);
    double events = m_paces.factor(targetKey, Routing::PaceKind::Event);
    return role == Routing::TargetRole::Mixed ? events * m_paces.factor(targetKey, Routing::PaceKind::Whole) : events;
}

// Returns how many requests the target is to have open: its places, or fewer if it slows down before they are taken; 0 if unknown.
std::uint32_t Dispatcher::placesOf(FleetTarget const& target, Clock::time_point now) const
{
    bool isPlain = target.kind == Platform::VmKind::Service;
    if (!m_learnsPace || !isPlain || target.slots == 0)
        return target.slots;
    return std::min(target.slots, m_paces.pace(target.key, Routing::PaceKind::Whole, now).knee.value_or(target.slots));
}

double Dispatcher::wholeSeconds(PlacementRequest const& request) const
{
    bool isWhole = request.shape.phase == Routing::Phase::Whole;
    return m_learnsPace && isWhole ? m_speeds.openSeconds(request.work, Routing::TargetRole::Mixed) : 0;
}

std::vector<Routing::PaceSample> Dispatcher::takePaceSamples()
{
    std::lock_guard lock(m_mutex);
    return m_learnsPace ? m_paces.takeUnreported(maxSamples) : std::vector<Routing::PaceSample>();
}

void Dispatcher::takePeerPaces(std::vector<Routing::PaceSample> const& samples)
{
    std::lock_guard lock(m_mutex);
    if (m_learnsPace)
        m_paces.merge(samples, Clock::now());
}

std::vector<PaceStatus> Dispatcher::paces() const
{
    std::lock_guard lock(m_mutex);
    std::vector<PaceStatus> paces;
    for (std::pair<std::uint64_t const, std::string> const& target : m_targetNames) {
        for (std::pair<Routing::PaceKind, std::string_view> const& kind : Routing::paceKindNames) {
            Routing::TargetPace pace = m_paces.pace(target.first, kind.first, Clock::now());
            if (pace.evidence > 0)
                paces.push_back({ target.second, kind.first, pace });
        }
    }
    return paces;
}

}
