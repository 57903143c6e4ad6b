#include <LibCore/EventLog.h>
#include <LibDaemon/ConfigFollower.h>
#include <LibState/LogRecord.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t batchLimit = 500;
constexpr std::chrono::milliseconds longPoll { 1'000 };
constexpr std::size_t historyLimit = 500;

}

ConfigFollower::ConfigFollower(boost::asio::io_context& context, Platform::LogService& log, std::chrono::milliseconds retryDelay, ChangeHook onChange)
    : m_context(context)
    , m_log(log)
    , m_retryDelay(retryDelay)
    , m_onChange(std::move(onChange))
    , m_config(State::Config::create(m_fold.state()))
{
}

void ConfigFollower::start()
{
    boost::asio::co_spawn(
        m_context, [this] { return follow(); }, boost::asio::detached);
}

void ConfigFollower::stop()
{
    m_isStopped = true;
    wakeWaiters();
}

void ConfigFollower::wakeWaiters()
{
    for (Signal* it : m_waiters)
        it->notify();
}

boost::asio::awaitable<void> ConfigFollower::pause()
{
    boost::asio::steady_timer timer(m_context, m_retryDelay);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

void ConfigFollower::noteProblem(std::string problem)
{
    if (m_problem.empty())
        Core::logEvent(Core::Severity::Warning, Core::Event::LogUnavailable, { { "stream", configStream }, { "offset", std::to_string(m_fold.nextOffset()) }, { "error", problem } });
    m_problem = std::move(problem);
}

void ConfigFollower::noteRecovery()
{
    if (m_problem.empty())
        return;
    m_problem.clear();
    Core::logEvent(Core::Severity::Info, Core::Event::LogRecovered, { { "stream", configStream }, { "offset", std::to_string(m_fold.nextOffset()) } });
}

boost::asio::awaitable<void> ConfigFollower::follow()
{
    while (!m_isStopped) {
        std::chrono::milliseconds wait = m_isCaughtUp ? longPoll : std::chrono::milliseconds(0);
        Core::Result<Platform::LogBatch> batch = co_await m_log.read(configStream, m_fold.nextOffset(), batchLimit, wait);
        if (m_isStopped)
            co_return;
        if (batch.has_error()) {
            noteProblem(batch.error().message);
            co_await pause();
            continue;
        }
        if (batch.value().isExpired) {
            co_await bridgeGap(batch.value().first);
            continue;
        }
        noteRecovery();
        take(batch.value());
    }
}

void ConfigFollower::take(Platform::LogBatch const& batch)
{
    std::uint64_t before = m_fold.nextOffset();
    for (Platform::LogEntry const& entry : batch.entries)
        takeEntry(entry);
    bool wasCaughtUp = std::exchange(m_isCaughtUp, m_isCaughtUp || m_fold.nextOffset() >= batch.next);
    if (m_fold.nextOffset() != before || wasCaughtUp != m_isCaughtUp)
        publish();
}

void ConfigFollower::takeEntry(Platform::LogEntry const& entry)
{
    Core::Result<State::ApplyResult> applied = m_fold.apply(entry.offset, entry.data);
    if (applied.has_error()) {
        noteProblem(applied.error().message);
        return;
    }
    State::ApplyResult& result = applied.value();
    if (!result.record)
        return;
    bool isAccepted = result.applied == State::Applied::Accepted;
    Core::logEvent(Core::Severity::Info, isAccepted ? Core::Event::ConfigurationAccepted : Core::Event::ConfigurationRefused, { { "offset", std::to_string(entry.offset) }, { "id", result.record->id.toString() }, { "author", result.record->author }, { "edits", std::to_string(result.record->edits.size()) }, { "outcome", std::string(Core::nameOf(State::appliedNames, result.applied)) }, { "why", result.outcome.message() } });
    m_history.push_back({ entry.offset, std::move(*result.record), result.applied, result.outcome });
    if (m_history.size() > historyLimit)
        m_history.pop_front();
}

// What this daemon still needs has expired: go on from a snapshot in what is left of the stream.
boost::asio::awaitable<void> ConfigFollower::bridgeGap(std::uint64_t first)
{
    State::SnapshotAssembler assembler;
    std::uint64_t from = first;
    while (!m_isStopped) {
        Core::Result<Platform::LogBatch> batch = co_await m_log.read(configStream, from, batchLimit, std::chrono::milliseconds(0));
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
    bool isBridged = false;
    if (assembler.newest() && assembler.newest()->nextOffset() >= first) {
        Core::Result<bool> adopted = m_fold.adopt(*assembler.newest());
        isBridged = adopted.has_value() && adopted.value();
    }
    if (isBridged) {
        Core::logEvent(Core::Severity::Info, Core::Event::SnapshotLoaded, { { "covers_below", std::to_string(m_fold.nextOffset()) } });
        publish();
        co_return;
    }
    std::string needed = std::to_string(m_fold.nextOffset());
    Core::logEvent(Core::Severity::Error, Core::Event::LogGap, { { "stream", configStream }, { "needed", needed }, { "first_kept", std::to_string(first) } });
    noteProblem("records from " + needed + " on have expired and no snapshot covers them");
    co_await pause();
}

void ConfigFollower::publish()
{
    m_config = State::Config::create(m_fold.state());
    m_onChange(m_config);
    wakeWaiters();
}

boost::asio::awaitable<Core::Result<State::Outcome>> ConfigFollower::submit(State::ConfigRecord record, std::chrono::milliseconds timeout)
{
    using Submitted = Core::Result<State::Outcome>;
    State::RecordId id = record.id;
    Core::Result<std::vector<std::optional<State::Content>>> checked = State::validate(record);
    if (checked.has_error())
        co_return Submitted(checked.error());
    Core::Result<std::string> bytes = State::encode(State::LogRecord(std::move(record)));
    if (bytes.has_error())
        co_return Submitted(bytes.error());
    State::Outcome known = m_fold.outcome(id);
    if (known.kind != State::OutcomeKind::Unseen)
        co_return known;
    Core::Result<std::uint64_t> appended = co_await m_log.append(configStream, bytes.value());
    if (appended.has_error() && appended.error().verdict == Core::Verdict::NotRun)
        co_return Submitted(appended.error());

    Signal signal(m_context.get_executor());
    boost::asio::steady_timer timer(m_context, timeout);
    bool isTimedOut = false;
    timer.async_wait([&](boost::system::error_code ec) {
        if (ec)
            return;
        isTimedOut = true;
        signal.notify();
    });
    m_waiters.insert(&signal);
    while (m_fold.outcome(id).kind == State::OutcomeKind::Unseen && !isTimedOut && !m_isStopped)
        co_await signal.wait();
    m_waiters.erase(&signal);
    co_return m_fold.outcome(id);
}

}
