#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/LogTail.h>
#include <LibState/LogRecord.h>
#include <LibState/SnapshotAssembler.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

namespace {

constexpr std::uint32_t batchLimit = 500;
constexpr std::chrono::milliseconds longPoll { 1'000 };

}

LogTail::LogTail(boost::asio::io_context& context, Platform::LogService& log, std::string stream, std::chrono::milliseconds retryDelay, Hooks hooks)
    : m_context(context)
    , m_log(log)
    , m_stream(std::move(stream))
    , m_retryDelay(retryDelay)
    , m_hooks(std::move(hooks))
{
}

void LogTail::start()
{
    boost::asio::co_spawn(
        m_context, [this] { return follow(); }, Core::logUncaughtException);
}

boost::asio::awaitable<void> LogTail::pause()
{
    boost::asio::steady_timer timer(m_context, m_retryDelay);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

void LogTail::noteProblem(std::string problem)
{
    if (m_problem.empty())
        Core::logEvent(Core::Severity::Warning, Core::Event::LogUnavailable, { { "stream", m_stream }, { "offset", std::to_string(m_hooks.nextOffset()) }, { "error", problem } });
    m_problem = std::move(problem);
}

void LogTail::noteRecovery()
{
    if (m_problem.empty())
        return;
    m_problem.clear();
    Core::logEvent(Core::Severity::Info, Core::Event::LogRecovered, { { "stream", m_stream }, { "offset", std::to_string(m_hooks.nextOffset()) } });
}

boost::asio::awaitable<void> LogTail::follow()
{
    while (!m_isStopped) {
        std::chrono::milliseconds wait = m_isCaughtUp ? longPoll : std::chrono::milliseconds(0);
        Core::BootClock::time_point askedAt = Core::BootClock::now();
        Core::Result<Platform::LogBatch> batch = co_await m_log.read(m_stream, m_hooks.nextOffset(), batchLimit, wait);
        if (m_isStopped)
            co_return;
        if (batch.has_error()) {
            noteProblem(batch.error().message);
            co_await pause();
        } else if (batch.value().isExpired) {
            co_await bridgeGap(batch.value().first);
        } else {
            noteRecovery();
            // Nothing came for as long as the log was to wait.
            bool isIdle = batch.value().entries.empty();
            take(batch.value(), isIdle ? std::min(askedAt + wait, Core::BootClock::now()) : askedAt);
        }
    }
}

void LogTail::take(Platform::LogBatch const& batch, Core::BootClock::time_point asOf)
{
    std::uint64_t before = m_hooks.nextOffset();
    for (Platform::LogEntry const& entry : batch.entries) {
        Core::Result<void> applied = m_hooks.apply(entry);
        if (applied.has_error())
            noteProblem(applied.error().message);
    }
    bool isWhole = m_hooks.nextOffset() >= batch.next;
    bool wasCaughtUp = std::exchange(m_isCaughtUp, m_isCaughtUp || isWhole);
    if (isWhole)
        m_hooks.onConfirmed(asOf);
    m_hooks.onBatch(m_hooks.nextOffset() != before || wasCaughtUp != m_isCaughtUp);
}

// What this daemon still needs has expired: go on from a snapshot in what is left of the stream.
boost::asio::awaitable<void> LogTail::bridgeGap(std::uint64_t first)
{
    if (co_await adoptFrom(first)) {
        Core::logEvent(Core::Severity::Info, Core::Event::SnapshotLoaded, { { "stream", m_stream }, { "covers_below", std::to_string(m_hooks.nextOffset()) } });
        m_hooks.onBatch(true);
        co_return;
    }
    std::string needed = std::to_string(m_hooks.nextOffset());
    if (m_problem.empty())
        Core::logEvent(Core::Severity::Error, Core::Event::LogGap, { { "stream", m_stream }, { "needed", needed }, { "first_kept", std::to_string(first) } });
    m_problem = "records from " + needed + " on have expired and no snapshot covers them";
    co_await pause();
}

boost::asio::awaitable<bool> LogTail::adoptFrom(std::uint64_t first)
{
    State::SnapshotAssembler assembler;
    std::uint64_t from = first;
    while (!m_isStopped) {
        Core::Result<Platform::LogBatch> batch = co_await m_log.read(m_stream, from, batchLimit, std::chrono::milliseconds(0));
        if (batch.has_error() || batch.value().isExpired || batch.value().entries.empty())
            break;
        for (Platform::LogEntry const& entry : batch.value().entries) {
            from = entry.offset + 1;
            Core::Result<State::LogRecord> record = State::decodeLogRecord(entry.data);
            if (record.has_error() || !std::holds_alternative<State::SnapshotPart>(record.value()))
                continue;
            Core::Result<void> added = assembler.add(std::move(std::get<State::SnapshotPart>(record.value())));
            if (added.has_error())
                noteProblem(added.error().message);
        }
    }
    if (!assembler.newest() || assembler.newest()->nextOffset() < first)
        co_return false;
    Core::Result<bool> adopted = m_hooks.adopt(*assembler.newest());
    co_return adopted.has_value() && adopted.value();
}

}
