// The steps of a Daemon's stop: docs/design/daemon.md, "How callers' connections end".

#include <LibCore/EventLog.h>
#include <LibDaemon/Daemon.h>
#include <algorithm>
#include <boost/asio/post.hpp>

namespace Daemon {

namespace {

// Callers may have asked for the list just before the daemon began to leave, and the answer travels.
constexpr std::chrono::milliseconds holdMargin { 500 };
// Before the process is killed: open requests get their last answers at `answerMargin`, and it ends by itself at `stopMargin`.
constexpr std::chrono::milliseconds answerMargin { 700 };
constexpr std::chrono::milliseconds stopMargin { 250 };
// For questions that have reached the control thread's listeners, and are answered from memory.
constexpr std::chrono::milliseconds lastQuestions { 200 };
constexpr std::chrono::milliseconds lastQuestionsInterval { 10 };

}

void Daemon::startLeaving()
{
    if (m_shared->isLeaving)
        return;
    bool hasLeaveHold = m_settings.callers.leaveHold.count() > 0;
    std::chrono::milliseconds hold = hasLeaveHold ? m_settings.callers.leaveHold : m_settings.callers.listHold;
    std::chrono::milliseconds rest = std::max(m_settings.daemon.stopWithin - answerMargin, std::chrono::milliseconds(0));
    LeaveTimes::Time now = std::chrono::steady_clock::now();
    m_shared->leaveTimes = { now + hold, m_settings.daemon.stopWithin.count() > 0 ? now + rest : LeaveTimes::Time::max() };
    m_shared->isLeaving = true;
    Core::logEvent(Core::Severity::Info, Core::Event::ShutdownStarted, { { "hold_ms", std::to_string(m_settings.callers.listHold.count()) } });
    m_plane->startLeaving();
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic)
        thread->beginDraining();
    if (m_settings.daemon.stopWithin.count() > 0) {
        m_stopTimer.expires_after(rest);
        m_stopTimer.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                endRequests();
        });
    }
    m_holdTimer.expires_after(hold + holdMargin);
    m_holdTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            drainTraffic();
    });
}

void Daemon::drainTraffic()
{
    if (std::exchange(m_isDraining, true))
        return;
    Core::logEvent(Core::Severity::Info, Core::Event::ShutdownPhase, { { "phase", "finishing" } });
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic) {
        thread->drain([this] {
            boost::asio::post(m_control, [this] {
                if (++m_idleThreads == m_traffic.size())
                    m_plane->leave([this] { finish(); });
            });
        });
    }
}

void Daemon::endRequests()
{
    for (std::unique_ptr<TrafficThread> const& thread : m_traffic)
        thread->endRequests();
    drainTraffic();
    m_stopTimer.expires_after(answerMargin - lastQuestions - stopMargin);
    m_stopTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            finish();
    });
}

void Daemon::finish()
{
    if (std::exchange(m_isFinishing, true))
        return;
    m_plane->stop();
    m_operatorServer->stop();
    for (std::unique_ptr<Http::Server> const& server : m_entryServers)
        server->stop();
    stopWhenAnswered(std::chrono::steady_clock::now() + lastQuestions);
}

void Daemon::stopWhenAnswered(std::chrono::steady_clock::time_point limit)
{
    std::size_t connections = m_operatorServer->openConnections();
    for (std::unique_ptr<Http::Server> const& server : m_entryServers)
        connections += server->openConnections();
    if (connections == 0 || std::chrono::steady_clock::now() >= limit) {
        m_control.stop();
        return;
    }
    m_holdTimer.expires_after(lastQuestionsInterval);
    m_holdTimer.async_wait([this, limit](boost::system::error_code ec) {
        if (!ec)
            stopWhenAnswered(limit);
    });
}

}
