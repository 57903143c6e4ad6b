#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/SnapshotWriter.h>
#include <LibState/LogRecord.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds checkInterval { 1 };

}

SnapshotWriter::SnapshotWriter(boost::asio::io_context& context, Platform::LogService& log, std::string stream, Hooks hooks)
    : m_context(context)
    , m_log(log)
    , m_stream(std::move(stream))
    , m_hooks(std::move(hooks))
    , m_newestSince(Clock::now())
{
}

void SnapshotWriter::start()
{
    boost::asio::co_spawn(
        m_context, [this] { return run(); }, Core::logUncaughtException);
}

boost::asio::awaitable<void> SnapshotWriter::run()
{
    while (!m_isStopped) {
        boost::asio::steady_timer timer(m_context, checkInterval);
        boost::system::error_code ec;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        if (!m_isStopped && isDue())
            co_await write();
    }
}

bool SnapshotWriter::isDue()
{
    std::optional<std::uint64_t> newest = m_hooks.coveredBelow();
    if (newest != m_newest) {
        m_newest = newest;
        m_newestSince = Clock::now();
    }
    State::SnapshotProgress progress;
    progress.nextOffset = m_hooks.nextOffset();
    progress.coveredBelow = newest;
    progress.sinceNewest = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - m_newestSince);
    return State::isSnapshotDue(m_hooks.policy(), progress);
}

boost::asio::awaitable<void> SnapshotWriter::write()
{
    State::Snapshot snapshot = m_hooks.snapshot();
    std::vector<State::SnapshotPart> parts = snapshot.split(State::snapshotPartBytes);
    for (State::SnapshotPart& part : parts) {
        State::LogRecord record(std::move(part));
        Core::Result<std::string> bytes = State::encode(record);
        if (bytes.has_error())
            co_return;
        // A part that may or may not stand in the log is harmless: the whole is tried again until it is read back.
        Core::Result<std::uint64_t> appended = co_await m_log.append(m_stream, bytes.value());
        if (appended.has_error() || m_isStopped)
            co_return;
    }
    Core::logEvent(Core::Severity::Info, Core::Event::SnapshotWritten, { { "stream", m_stream }, { "covers_below", std::to_string(snapshot.nextOffset()) }, { "parts", std::to_string(parts.size()) } });
}

}
