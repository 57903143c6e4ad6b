#include "FaultInjector.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>

namespace Processes {

namespace {

// One that was asked to stop before it had come to take requests ends by the signal.
bool isStopStatus(int status)
{
    constexpr int signalStatus = 128;
    return status == 0 || status == signalStatus + SIGTERM;
}

}

FaultInjector::FaultInjector(KeyedSite& site, std::uint64_t seed, Faults faults)
    : m_site(site)
    , m_faults(faults)
    , m_rng(seed)
    , m_rateRng(~seed)
{
}

FaultInjector::Milliseconds FaultInjector::between(int least, int most)
{
    return Milliseconds(std::uniform_int_distribution<int>(least, most)(m_rng));
}

std::string FaultInjector::anyLink()
{
    return below(2) == 0 ? KeyedSite::storeForwarder(below(KeyedSite::daemonCount())) : KeyedSite::targetForwarder(anyTarget());
}

void FaultInjector::undoLater(Milliseconds after, Action undo)
{
    m_undo.emplace(Clock::now() + after, std::move(undo));
}

void FaultInjector::run(Milliseconds duration)
{
    m_start = Clock::now();
    Clock::time_point end = m_start + duration;
    while (Clock::now() < end) {
        if (m_faults == Faults::Planned)
            injectPlanned();
        else
            inject();
        if (m_hasReloads)
            reload();
        Clock::time_point next = Clock::now() + between(50, 600);
        undoUntil(std::min(next, end));
    }
    undoUntil(Clock::time_point::max());
    for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n)
        checkAlive(KeyedSite::daemonName(n));
}

void FaultInjector::checkAlive(std::string const& name)
{
    if (std::optional<int> status = m_site.process(name).status())
        m_ownEnds.push_back(name + " has ended by itself with status " + std::to_string(*status));
}

void FaultInjector::note(std::string text)
{
    Milliseconds at = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start);
    m_done.push_back(std::to_string(at.count()) + " ms " + std::move(text));
}

void FaultInjector::send(std::string const& name, int signal)
{
    m_signals.push_back({ name, signal, Clock::now() });
    m_site.process(name).send(signal);
}

void FaultInjector::undoUntil(Clock::time_point until)
{
    while (!m_undo.empty() && m_undo.begin()->first <= until) {
        std::this_thread::sleep_until(m_undo.begin()->first);
        Action undo = std::move(m_undo.begin()->second);
        m_undo.erase(m_undo.begin());
        undo();
    }
    if (until != Clock::time_point::max())
        std::this_thread::sleep_until(until);
}

void FaultInjector::inject()
{
    constexpr std::size_t kinds = 9;
    switch (below(kinds)) {
    case 0:
        pause(KeyedSite::daemonName(below(KeyedSite::daemonCount())));
        break;
    case 1:
        pause(anyTarget());
        break;
    case 2:
        restartDaemon(below(KeyedSite::daemonCount()), SIGKILL);
        break;
    case 3:
        restartDaemon(below(KeyedSite::daemonCount()), SIGTERM);
        break;
    case 4:
        restartTarget(anyTarget());
        break;
    case 5:
        holdUp(anyLink());
        break;
    case 6:
        cut(anyLink());
        break;
    case 7:
        spoil();
        break;
    default:
        configure();
    }
    if (m_rateRng() % kinds == 0)
        slowDown();
}

// Most often a configuration: streams begin between two stops.
void FaultInjector::injectPlanned()
{
    constexpr std::size_t perStop = 4;
    if (below(perStop) == 0)
        restartDaemon(below(KeyedSite::daemonCount()), SIGTERM);
    else
        configure();
}

std::string FaultInjector::anyTarget()
{
    std::vector<std::string> names = m_site.targetNames();
    return names[below(names.size())];
}

void FaultInjector::pause(std::string const& name)
{
    if (!claim(name))
        return;
    Milliseconds time = between(200, 2'500);
    note("pause " + name + " for " + std::to_string(time.count()) + " ms");
    Clock::time_point from = Clock::now();
    send(name, SIGSTOP);
    undoLater(time, [this, name, from] {
        send(name, SIGCONT);
        m_impairments.push_back({ name, from, Clock::now() });
        m_busy.erase(name);
    });
}

void FaultInjector::restartDaemon(std::size_t n, int signal)
{
    std::string name = KeyedSite::daemonName(n);
    if (!claim(name))
        return;
    // A daemon that was asked to stop has its time to do so.
    Milliseconds time = signal == SIGTERM ? Milliseconds(stopWithin) : between(50, 1'500);
    checkAlive(name);
    note(std::string(signal == SIGTERM ? "stop " : "kill ") + name + ", start it " + std::to_string(time.count()) + " ms later");
    Clock::time_point from = Clock::now();
    send(name, signal);
    undoLater(time, [this, n, name, signal, from] {
        if (!m_site.process(name).status()) {
            send(name, SIGKILL);
            m_site.process(name).kill();
        } else if (signal == SIGTERM && !isStopStatus(*m_site.process(name).status())) {
            m_ownEnds.push_back(name + " was asked to stop and ended with status " + std::to_string(*m_site.process(name).status()));
        }
        m_site.startDaemon(n);
        if (signal != SIGTERM)
            m_impairments.push_back({ name, from, Clock::now() });
        m_busy.erase(name);
    });
}

void FaultInjector::restartTarget(std::string const& name)
{
    if (!claim(name))
        return;
    Milliseconds time = between(50, 1'500);
    note("kill " + name + ", start it " + std::to_string(time.count()) + " ms later");
    Clock::time_point from = Clock::now();
    send(name, SIGKILL);
    m_site.process(name).kill();
    undoLater(time, [this, name, from] {
        m_site.startTarget(name);
        m_impairments.push_back({ name, from, Clock::now() });
        m_busy.erase(name);
    });
}

void FaultInjector::holdUp(std::string const& link)
{
    if (!claim(link))
        return;
    constexpr std::array<std::string_view, 3> directions { "forward", "backward", "both" };
    std::string direction(directions.at(below(directions.size())));
    Milliseconds time = between(200, 2'500);
    note("hold up " + link + " " + direction + " for " + std::to_string(time.count()) + " ms");
    Clock::time_point from = Clock::now();
    post(m_site.forwarderAdmin(link), "/pause", R"({"direction":")" + direction + R"("})");
    undoLater(time, [this, link, from] {
        post(m_site.forwarderAdmin(link), "/resume", "{}");
        m_impairments.push_back({ link, from, Clock::now() });
        m_busy.erase(link);
    });
}

// A link of a few to a few hundred kilobytes a second: what is sent over it waits with its sender.
void FaultInjector::slowDown()
{
    std::size_t n = m_rateRng() % (KeyedSite::daemonCount() + m_site.targetNames().size());
    std::string link = n < KeyedSite::daemonCount() ? KeyedSite::storeForwarder(n) : KeyedSite::targetForwarder(m_site.targetNames()[n - KeyedSite::daemonCount()]);
    std::string rate = std::to_string(std::uniform_int_distribution<int>(5'000, 300'000)(m_rateRng));
    Milliseconds time(std::uniform_int_distribution<int>(200, 2'500)(m_rateRng));
    if (!claim("rate of " + link))
        return;
    note("let " + link + " carry " + rate + " bytes/s for " + std::to_string(time.count()) + " ms");
    Clock::time_point from = Clock::now();
    post(m_site.forwarderAdmin(link), "/rate", R"({"bytes_per_s":)" + rate + "}");
    undoLater(time, [this, link, from] {
        post(m_site.forwarderAdmin(link), "/rate", R"({"bytes_per_s":0})");
        m_impairments.push_back({ link, from, Clock::now() });
        m_busy.erase("rate of " + link);
    });
}

void FaultInjector::cut(std::string const& link)
{
    note("cut " + link);
    Clock::time_point from = Clock::now();
    post(m_site.forwarderAdmin(link), "/cut", "{}");
    m_impairments.push_back({ link, from, Clock::now() });
}

// The store answers nothing but errors, or targets lose answers or break streams off.
void FaultInjector::spoil()
{
    std::string victim = below(3) == 0 ? "store" : anyTarget();
    if (!claim(victim))
        return;
    bool isStore = victim == "store";
    std::string fault = isStore ? "down" : victim.starts_with("app") ? "lose_replies"
                                                                     : "cut_after_events";
    std::string on = isStore ? "true" : "3";
    Milliseconds time = between(200, 2'500);
    note(victim + " has " + fault + " for " + std::to_string(time.count()) + " ms");
    Endpoint endpoint = isStore ? m_site.store() : m_site.target(victim);
    Clock::time_point from = Clock::now();
    post(endpoint, "/admin/faults", "{\"" + fault + "\":" + on + "}");
    undoLater(time, [this, victim, endpoint, fault, isStore, from] {
        post(endpoint, "/admin/faults", "{\"" + fault + "\":" + (isStore ? "false" : "0") + "}");
        m_impairments.push_back({ victim, from, Clock::now() });
        m_busy.erase(victim);
    });
}

// Also of daemons that are starting or leaving.
void FaultInjector::reload()
{
    std::string name = KeyedSite::daemonName(below(KeyedSite::daemonCount()));
    note("reload " + name);
    send(name, SIGHUP);
}

void FaultInjector::configure()
{
    if (m_busy.contains("store"))
        return;
    m_version += 1 + below(3);
    note("configuration " + std::to_string(m_version));
    m_site.configure(m_version, "app");
}

}
