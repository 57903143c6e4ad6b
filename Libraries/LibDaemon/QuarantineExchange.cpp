#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/QuarantineExchange.h>
#include <LibDaemon/SuspectMessages.h>
#include <LibDaemon/Work.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <random>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// Suspect records are few; a peer that has not sent them by then is passed over.
constexpr std::chrono::milliseconds askTimeout { 1'000 };

}

void logFindings(std::vector<Quarantine::Finding> const& findings, std::string const& reportedBy)
{
    for (Quarantine::Finding const& it : findings) {
        Core::logEvent(Core::Severity::Info, Core::Event::RequestSuspected, { { "work_key", toLogText(it.key) }, { "target", it.target.name }, { "ends", std::to_string(it.ends) }, { "told_by", reportedBy } });
        if (it.isRefused)
            Core::logEvent(Core::Severity::Warning, Core::Event::RequestQuarantined, { { "work_key", toLogText(it.key) }, { "service", it.target.service }, { "target", it.target.name }, { "ends", std::to_string(it.ends) }, { "told_by", reportedBy } });
    }
}

QuarantineExchange::QuarantineExchange(boost::asio::io_context& context, Quarantine::Guard& guard, Platform::KeyedStore& store, RecordExchange& records, Fleet::DaemonBook const& book, std::string self, Hooks hooks)
    : m_context(context)
    , m_guard(guard)
    , m_store(store)
    , m_records(records)
    , m_book(book)
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_catchUp(std::random_device()())
{
}

void QuarantineExchange::describe(BeaconMessage& beacon, Clock::time_point now) const
{
    beacon.suspectNews = m_guard.news(now, Quarantine::newsLifetime(m_book.beaconInterval()), m_hooks.listedAsOf());
    if (m_catchUp.isCaughtUp())
        beacon.suspectDigest = m_guard.digest();
}

void QuarantineExchange::take(BeaconMessage const& beacon, Clock::time_point now)
{
    m_catchUp.notePeerDigest(beacon.sender.name, beacon.suspectDigest, m_guard.digest(), now);
    if (beacon.suspectNews.empty())
        return;
    std::vector<Quarantine::SuspectNews> news = beacon.suspectNews;
    std::map<std::string, Fleet::BookedDaemon>::const_iterator sender = m_book.daemons().find(beacon.sender.name);
    std::chrono::milliseconds heldUp = sender == m_book.daemons().end() ? std::chrono::milliseconds(0) : sender->second.heldUp;
    // The times in the message are by the sender's clock.
    Clock::time_point saidAt = now - heldUp;
    for (Quarantine::SuspectNews& it : news) {
        it.at = saidAt - std::max(Clock::duration::zero(), beacon.state.saidAt - it.at);
        it.begunAt = saidAt - std::max(Clock::duration::zero(), beacon.state.saidAt - it.begunAt);
        // The daemon that stored a request also deletes its record when it is cleared.
        if (!it.ended && m_stored.contains(it.key))
            m_pendingWrites.insert(it.key);
    }
    logFindings(m_guard.merge(news, Core::BootClock::now()), beacon.sender.name);
}

void QuarantineExchange::noteFindings(std::vector<Quarantine::Finding> const& findings)
{
    logFindings(findings, m_self);
    for (Quarantine::Finding const& it : findings) {
        if (it.ends >= minEndsToStore)
            m_pendingWrites.insert(it.key);
    }
    if (!findings.empty())
        m_hooks.requestBeacon();
}

void QuarantineExchange::noteCleared(Quarantine::WorkKey const& key)
{
    Core::logEvent(Core::Severity::Info, Core::Event::RequestCleared, { { "work_key", toLogText(key) } });
    if (m_stored.contains(key))
        m_pendingWrites.insert(key);
    m_hooks.requestBeacon();
}

Core::Result<RecordsAnswer> QuarantineExchange::extract() const
{
    if (!m_catchUp.isCaughtUp())
        return Core::fail(Core::ErrorCode::Unavailable, "suspect records are not complete on this daemon yet");
    RecordsAnswer answer;
    answer.extract.isAll = true;
    Clock::time_point now = Clock::now();
    for (Quarantine::Suspect const& suspect : m_guard.suspects())
        answer.extract.records.push_back({ 0, Request::toString(suspect.key), encode(suspect, now) });
    return answer;
}

// Returns whether the records changed anything.
bool QuarantineExchange::takeRecords(std::vector<Platform::KeyedRecord> const& records, std::string const& reportedBy)
{
    std::uint64_t before = m_guard.digest();
    Clock::time_point now = Clock::now();
    std::vector<Quarantine::SuspectNews> news;
    for (Platform::KeyedRecord const& record : records) {
        if (!record.value)
            continue;
        Core::Result<Quarantine::Suspect> suspect = decodeSuspect(record.key, *record.value, now);
        if (suspect.has_error()) {
            Core::logEvent(Core::Severity::Error, Core::Event::PeerRecords, { { "stream", "suspects" }, { "daemon", reportedBy }, { "error", suspect.error().message } });
            continue;
        }
        for (Quarantine::TargetEnd const& end : suspect.value().ends)
            news.push_back({ suspect.value().key, end.target, end.begunAt, end.at });
        if (suspect.value().survivedAt != Clock::time_point())
            news.push_back({ suspect.value().key, std::nullopt, suspect.value().survivedAt, suspect.value().survivedAt });
    }
    logFindings(m_guard.merge(news, Core::BootClock::now()), reportedBy);
    return m_guard.digest() != before;
}

void QuarantineExchange::tick(bool readsStore, Clock::time_point now)
{
    std::optional<std::string> peer = m_catchUp.peerToQuery(m_guard.digest(), m_book.beaconInterval(), m_book.livenessTimeout(), now);
    if (peer) {
        boost::asio::co_spawn(
            m_context, [this, peer = std::move(*peer)] { return ask(peer); }, Core::logUncaughtException);
    }
    if (m_isCalling || now < m_nextCall)
        return;
    if (!m_pendingWrites.empty()) {
        m_isCalling = true;
        boost::asio::co_spawn(
            m_context, [this] { return store(); }, Core::logUncaughtException);
    } else if (readsStore && !m_isLoaded) {
        m_isCalling = true;
        boost::asio::co_spawn(
            m_context, [this] { return load(); }, Core::logUncaughtException);
    }
}

boost::asio::awaitable<void> QuarantineExchange::ask(std::string peer)
{
    std::map<std::string, Fleet::BookedDaemon>::const_iterator it = m_book.daemons().find(peer);
    if (it == m_book.daemons().end()) {
        m_catchUp.noteReply(false, false, Clock::now());
        co_return;
    }
    RecordsRequest request { Platform::StoreTopic::Suspects, 0, true };
    Core::Result<RecordExchange::Reply> reply = co_await m_records.ask(it->second.listed.peerAddress, request, std::string(), askTimeout);
    if (m_isStopped)
        co_return;
    RecordsAnswer const* answer = reply.has_value() ? std::get_if<RecordsAnswer>(&reply.value()) : nullptr;
    bool isNews = answer && takeRecords(answer->extract.records, peer);
    m_catchUp.noteReply(answer != nullptr, isNews, Clock::now());
    m_hooks.onLearnt();
    std::string problem = answer ? "-" : "the peer is busy";
    if (reply.has_error())
        problem = reply.error().message;
    Core::logEvent(reply.has_error() ? Core::Severity::Info : Core::Severity::Debug, Core::Event::PeerRecords, { { "stream", "suspects" }, { "daemon", peer }, { "news", isNews ? "yes" : "no" }, { "error", problem } });
}

boost::asio::awaitable<void> QuarantineExchange::load()
{
    std::string after;
    while (!m_isStopped) {
        m_hooks.countStoreCall(Fleet::StoreCallReason::Start);
        Core::Result<Platform::KeyedPage> page = co_await m_store.newest(Platform::StoreTopic::Suspects, after);
        m_nextCall = Clock::now() + (page.has_error() ? retryDelay : std::chrono::milliseconds(0));
        if (m_isStopped || page.has_error())
            break;
        for (Platform::KeyedRecord const& record : page.value().records) {
            if (record.value)
                m_stored.insert(Request::fingerprintFrom(record.key).value_or(Quarantine::WorkKey()));
        }
        takeRecords(page.value().records, "store");
        m_isLoaded = !page.value().hasMore || page.value().records.empty();
        if (m_isLoaded) {
            m_catchUp.noteLoaded();
            // Daemons that start at the same time wait for this one to be caught up.
            m_hooks.requestBeacon();
            m_hooks.onLearnt();
            break;
        }
        after = page.value().records.back().key;
    }
    m_isCalling = false;
}

boost::asio::awaitable<void> QuarantineExchange::store()
{
    Quarantine::WorkKey key = *m_pendingWrites.begin();
    std::optional<Quarantine::Suspect> suspect = m_guard.suspect(key);
    bool isSuspected = suspect && !suspect->ends.empty();
    m_hooks.countStoreCall(Fleet::StoreCallReason::Suspect);
    // An empty value deletes the record.
    std::string value = isSuspected ? encode(*suspect, Clock::now()) : std::string();
    Core::Result<Platform::ConditionalAppend> appended = co_await m_store.append(Platform::StoreTopic::Suspects, Request::toString(key), value, std::nullopt);
    if (m_isStopped)
        co_return;
    m_isCalling = false;
    if (appended.has_error()) {
        m_nextCall = Clock::now() + retryDelay;
        co_return;
    }
    // Ends that were added during the call are written by the next one.
    std::optional<Quarantine::Suspect> now = m_guard.suspect(key);
    bool isCurrent = (now ? now->ends.size() : 0) == (suspect ? suspect->ends.size() : 0);
    if (isCurrent)
        m_pendingWrites.erase(key);
    if (isSuspected)
        m_stored.insert(key);
    else
        m_stored.erase(key);
}

}
