#include <LibCore/EventLog.h>
#include <LibDaemon/ConfigFollower.h>
#include <LibState/LogRecord.h>
#include <boost/asio/steady_timer.hpp>

namespace Daemon {

namespace {

constexpr std::size_t historyLimit = 500;

}

ConfigFollower::ConfigFollower(boost::asio::io_context& context, Platform::LogService& log, std::chrono::milliseconds retryDelay, ChangeHook onChange)
    : m_context(context)
    , m_log(log)
    , m_onChange(std::move(onChange))
    , m_config(State::Config::create(m_fold.state()))
    , m_confirmedAt(std::make_shared<std::atomic<Core::BootClock::time_point>>())
    , m_tail(context, log, configStream, retryDelay, tailHooks())
{
}

LogTail::Hooks ConfigFollower::tailHooks()
{
    LogTail::Hooks hooks;
    hooks.nextOffset = [this] { return m_fold.nextOffset(); };
    hooks.apply = [this](Platform::LogEntry const& entry) { return takeEntry(entry); };
    hooks.adopt = [this](State::Snapshot const& snapshot) { return m_fold.adopt(snapshot); };
    hooks.onBatch = [this](bool isAdvanced) {
        if (isAdvanced)
            publish();
    };
    hooks.onConfirmed = [this](Core::BootClock::time_point asOf) { m_confirmedAt->store(asOf); };
    return hooks;
}

void ConfigFollower::start()
{
    m_tail.start();
}

void ConfigFollower::stop()
{
    m_isStopped = true;
    m_tail.stop();
    wakeWaiters();
}

void ConfigFollower::wakeWaiters()
{
    for (Signal* it : m_waiters)
        it->notify();
}

Core::Result<void> ConfigFollower::takeEntry(Platform::LogEntry const& entry)
{
    BOOST_OUTCOME_TRY(State::ApplyResult result, m_fold.apply(entry.offset, entry.data));
    if (!result.record)
        return Core::ok();
    bool isAccepted = result.applied == State::Applied::Accepted;
    Core::logEvent(Core::Severity::Info, isAccepted ? Core::Event::ConfigurationAccepted : Core::Event::ConfigurationRefused, { { "offset", std::to_string(entry.offset) }, { "id", result.record->id.toString() }, { "author", result.record->author }, { "edits", std::to_string(result.record->edits.size()) }, { "outcome", std::string(Core::nameOf(State::appliedNames, result.applied)) }, { "why", result.outcome.message() } });
    m_history.push_back({ entry.offset, std::move(*result.record), result.applied, result.outcome });
    if (m_history.size() > historyLimit)
        m_history.pop_front();
    return Core::ok();
}

void ConfigFollower::publish()
{
    m_config = State::Config::create(m_fold.state(), m_config);
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
