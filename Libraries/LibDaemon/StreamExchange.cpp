#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/StreamExchange.h>
#include <LibDaemon/StreamMessages.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// Callers may go on with a stream for longer than a route's time: with each further request.
constexpr int lifetimeInRouteTimes = 3;
// Beacons that leave out what hardly changes tell of releases for so long after a change.
constexpr std::chrono::milliseconds newsTime { 3'000 };

std::string joined(std::set<std::string> const& releases)
{
    std::string text;
    for (std::string const& release : releases)
        text += (text.empty() ? "" : ",") + (release.empty() ? "-" : release);
    return text;
}

}

StreamExchange::StreamExchange(boost::asio::io_context& context, Streams::OriginBook& book, Platform::KeyedStore& store, Fleet::DaemonBook const& daemons, std::string self, Hooks hooks)
    : m_context(context)
    , m_book(book)
    , m_store(store)
    , m_daemons(daemons)
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_random(std::random_device()())
    , m_releases({}, m_random())
    , m_loadsAloneAt(Clock::now() + othersLoad)
    , m_recorder(m_self)
    , m_window(shortestLifetime, windowCapacity)
{
    m_book.setUnreportedHook([this] { boost::asio::post(m_context, [this] { reportSoon(); }); });
}

void StreamExchange::spawn(boost::asio::awaitable<void> operation)
{
    boost::asio::co_spawn(m_context, std::move(operation), Core::logUncaughtException);
}

void StreamExchange::describe(BeaconMessage& beacon) const
{
    beacon.state.recordsStreams = m_releases.isLoaded();
    beacon.streamReleases = m_releases.records();
    beacon.hasReleaseNews = m_releasesChangedAt && Clock::now() - *m_releasesChangedAt < newsTime;
}

void StreamExchange::take(BeaconMessage const& beacon, Clock::time_point now)
{
    bool isNews = false;
    for (std::pair<std::string const, Streams::ReleaseRecord> const& it : beacon.streamReleases)
        isNews = takeReleases(it.first, it.second) || isNews;
    bool tellsAll = beacon.state.recordsStreams && !beacon.isBrief;
    isNews = isNews || (tellsAll && !m_releases.isLoaded());
    if (tellsAll)
        m_releases.noteLoaded();
    if (!isNews)
        return;
    m_releasesChangedAt = now;
    m_hooks.onReleases();
}

// Returns whether it is news.
bool StreamExchange::takeReleases(std::string const& service, Streams::ReleaseRecord record)
{
    bool wasRecorded = needsRecord(service);
    std::string releases = joined(record.releases);
    std::uint64_t offset = record.offset;
    if (!m_releases.take(service, std::move(record)))
        return false;
    Core::logEvent(Core::Severity::Info, Core::Event::StreamReleasesChanged, { { "service", service }, { "releases", releases }, { "offset", std::to_string(offset) } });
    // Streams that began before have no record.
    if (!wasRecorded && needsRecord(service))
        m_book.reportAllAgain();
    return true;
}

void StreamExchange::takeNotes(std::string_view bytes, Clock::time_point now)
{
    Core::Result<std::vector<Streams::BegunStream>> streams = decodeBegunStreams(bytes);
    if (streams.has_value())
        noteRecorded(streams.value(), now);
}

void StreamExchange::noteRecorded(std::vector<Streams::BegunStream> const& streams, Clock::time_point now)
{
    for (Streams::BegunStream const& stream : streams)
        m_isWindowChanged = m_window.note(stream, now) || m_isWindowChanged;
    appendIfChanged();
}

void StreamExchange::setListed(std::map<std::string, std::set<std::string>> releases, Clock::time_point now)
{
    m_releases.setListed(std::move(releases), now);
}

void StreamExchange::setRoutes(std::set<std::string> drawnServices, std::chrono::milliseconds longestStream)
{
    m_drawnServices = std::move(drawnServices);
    std::chrono::milliseconds lifetime = std::clamp(lifetimeInRouteTimes * longestStream, shortestLifetime, longestLifetime);
    m_window.setLifetime(lifetime);
    m_book.setLifetime(lifetime);
}

bool StreamExchange::needsRecord(std::string const& service) const
{
    return m_releases.isMixed(service) || m_drawnServices.contains(service);
}

void StreamExchange::tick(bool readsStore, bool isLeaving, Clock::time_point now)
{
    if (!m_releases.isLoaded() && !m_isLoading && now >= m_nextLoad && (readsStore || now >= m_loadsAloneAt)) {
        std::uniform_int_distribution<std::chrono::milliseconds::rep> draw(0, loadWindowPerDaemon.count() * static_cast<std::chrono::milliseconds::rep>(m_daemons.daemons().size() + 1));
        m_loadsAloneAt = now + othersLoad + std::chrono::milliseconds(draw(m_random));
        m_isLoading = true;
        spawn(load());
    }
    if (!m_isWriting && now >= m_nextWrite) {
        if (std::optional<Streams::ReleaseBook::Change> change = m_releases.dueChange(now, readsStore, m_daemons.daemons().size() + 1)) {
            m_isWriting = true;
            spawn(write(std::move(*change)));
        }
    }
    m_isLeaving = isLeaving;
    report(now);
    bool isEmptied = m_window.expire(now) && m_window.size() == 0;
    m_isWindowChanged = m_isWindowChanged || isEmptied;
    appendIfChanged();
}

// Returns the daemon that records this one's streams, or null if this one does. Daemons that hear the same peers agree, and where they do
// not, each records what it is sent.
Fleet::BookedDaemon const* StreamExchange::recorder(bool isLeaving, Clock::time_point now)
{
    std::vector<Fleet::BookedDaemon const*> daemons; // Null stands for this one.
    bool isPlaced = isLeaving || !m_releases.isLoaded();
    std::size_t place = 0;
    for (std::pair<std::string const, Fleet::BookedDaemon> const& it : m_daemons.daemons()) {
        if (!m_daemons.isLive(it.second, now) || it.second.said.isLeaving || !it.second.said.recordsStreams)
            continue;
        if (!isPlaced && it.first > m_self) {
            daemons.push_back(nullptr);
            isPlaced = true;
        }
        place += it.first < m_self ? 1 : 0;
        daemons.push_back(&it.second);
    }
    if (!isPlaced)
        daemons.push_back(nullptr);
    m_recorders = std::max<std::size_t>(1, (daemons.size() + daemonsPerRecorder - 1) / daemonsPerRecorder);
    if (daemons.empty())
        return nullptr;
    place = std::min(place, daemons.size() - 1);
    return daemons[place / daemonsPerRecorder * daemonsPerRecorder];
}

void StreamExchange::reportSoon()
{
    if (!std::exchange(m_isReportDue, true))
        spawn(reportLater());
}

boost::asio::awaitable<void> StreamExchange::reportLater()
{
    co_await wait(reportDelay);
    m_isReportDue = false;
    if (!m_isStopped)
        report(Clock::now());
}

void StreamExchange::report(Clock::time_point now)
{
    std::vector<Streams::BegunStream> streams = m_book.takeUnreported(now);
    std::erase_if(streams, [this](Streams::BegunStream const& it) { return !needsRecord(it.origin.service); });
    if (streams.empty() && m_sentBefore.empty() && m_recorder == m_self)
        return;
    Fleet::BookedDaemon const* recorder = this->recorder(m_isLeaving, now);
    if (std::exchange(m_recorder, recorder ? recorder->listed.name : m_self) != m_recorder) {
        m_book.reportAllAgain();
        m_sentBefore.clear();
        streams = m_book.takeUnreported(now);
        std::erase_if(streams, [this](Streams::BegunStream const& it) { return !needsRecord(it.origin.service); });
    }
    if (recorder) {
        sendNotes(*recorder, streams);
        sendNotes(*recorder, m_sentBefore);
        m_sentBefore = std::move(streams);
    } else {
        noteRecorded(streams, now);
        m_sentBefore.clear();
    }
}

void StreamExchange::sendNotes(Fleet::BookedDaemon const& recorder, std::vector<Streams::BegunStream> const& streams) const
{
    for (std::size_t n = 0; n < streams.size(); n += streamsPerDatagram) {
        std::vector<Streams::BegunStream>::const_iterator first = streams.begin() + static_cast<std::ptrdiff_t>(n);
        std::vector<Streams::BegunStream>::const_iterator last = streams.begin() + static_cast<std::ptrdiff_t>(std::min(streams.size(), n + streamsPerDatagram));
        m_hooks.send(recorder.listed.beaconAddress, encode(std::vector<Streams::BegunStream>(first, last)));
    }
}

boost::asio::awaitable<Core::Result<std::vector<Platform::KeyedRecord>>> StreamExchange::readNewest(Platform::StoreTopic topic, Fleet::StoreCallReason reason)
{
    using Records = Core::Result<std::vector<Platform::KeyedRecord>>;
    std::vector<Platform::KeyedRecord> records;
    std::string after;
    while (!m_isStopped) {
        m_hooks.countStoreCall(reason);
        Core::Result<Platform::KeyedPage> page = co_await m_store.newest(topic, after);
        if (page.has_error())
            co_return Records(page.error());
        std::move(page.value().records.begin(), page.value().records.end(), std::back_inserter(records));
        if (!page.value().hasMore || page.value().records.empty())
            co_return Records(std::move(records));
        after = records.back().key;
    }
    co_return Records(Core::makeError(Core::ErrorCode::Canceled, "the daemon stops"));
}

// Returns whether the store has answered.
boost::asio::awaitable<bool> StreamExchange::loadReleases(Fleet::StoreCallReason reason)
{
    Core::Result<std::vector<Platform::KeyedRecord>> records = co_await readNewest(Platform::StoreTopic::StreamReleases, reason);
    if (records.has_error())
        co_return false;
    m_storedReleases.clear();
    bool isNews = !m_releases.isLoaded();
    for (Platform::KeyedRecord const& record : records.value()) {
        Core::Result<Streams::ReleaseRecord> releases = decodeReleases(record.offset, record.value.value_or(""));
        if (releases.has_error()) {
            Core::logEvent(Core::Severity::Error, Core::Event::PeerRecords, { { "stream", "stream-releases" }, { "daemon", "store" }, { "error", releases.error().message } });
            continue;
        }
        m_storedReleases[record.key] = releases.value();
        isNews = takeReleases(record.key, releases.value()) || isNews;
    }
    m_releases.noteLoaded();
    if (isNews) {
        m_releasesChangedAt = Clock::now();
        m_hooks.requestBeacon();
        m_hooks.onReleases();
    }
    co_return true;
}

boost::asio::awaitable<void> StreamExchange::load()
{
    bool isRead = co_await loadReleases(Fleet::StoreCallReason::Start);
    m_isLoading = false;
    if (!isRead)
        m_nextLoad = Clock::now() + retryDelay;
}

// The store decides between daemons that write at the same moment: a record that was written since this read makes the append fail, and the
// next tick begins anew.
boost::asio::awaitable<void> StreamExchange::write(Streams::ReleaseBook::Change change)
{
    m_hooks.countStoreCall(Fleet::StoreCallReason::Streams);
    Core::Result<Platform::KeyedPage> page = co_await m_store.newest(Platform::StoreTopic::StreamReleases, std::string());
    m_nextWrite = Clock::now() + retryDelay;
    if (m_isStopped)
        co_return;
    m_isWriting = false;
    // Services with engines are few: their records fit a page.
    if (page.has_error() || page.value().hasMore)
        co_return;
    bool isNews = false;
    for (Platform::KeyedRecord const& record : page.value().records) {
        Core::Result<Streams::ReleaseRecord> releases = decodeReleases(record.offset, record.value.value_or(""));
        isNews = (releases.has_value() && takeReleases(record.key, releases.value())) || isNews;
    }
    if (isNews) {
        m_nextWrite = Clock::now();
        m_releasesChangedAt = m_nextWrite;
        m_hooks.requestBeacon();
        m_hooks.onReleases();
        co_return;
    }
    m_isWriting = true;
    m_hooks.countStoreCall(Fleet::StoreCallReason::Streams);
    Core::Result<Platform::ConditionalAppend> appended = co_await m_store.append(Platform::StoreTopic::StreamReleases, change.service, encode(change.releases), page.value().next);
    if (m_isStopped)
        co_return;
    m_isWriting = false;
    if (appended.has_error() || !appended.value().isAppended)
        co_return;
    m_nextWrite = Clock::now();
    m_releasesChangedAt = m_nextWrite;
    takeReleases(change.service, { appended.value().offset, std::move(change.releases) });
    m_hooks.requestBeacon();
    m_hooks.onReleases();
}

// What an earlier process of this daemon recorded would be lost with the first append.
boost::asio::awaitable<void> StreamExchange::loadOwnRecord()
{
    Core::Result<std::vector<Platform::KeyedRecord>> records = co_await readNewest(Platform::StoreTopic::Streams, Fleet::StoreCallReason::Streams);
    if (records.has_error())
        co_return;
    m_hasOwnRecord = true;
    for (Platform::KeyedRecord const& record : records.value()) {
        if (record.key == m_self)
            takeNotes(record.value.value_or(""), Clock::now());
    }
}

void StreamExchange::appendIfChanged()
{
    if (m_isWindowChanged && !m_isStopped && !std::exchange(m_isAppending, true))
        spawn(appendChanges());
}

boost::asio::awaitable<void> StreamExchange::appendChanges()
{
    while (m_isWindowChanged && !m_isStopped) {
        std::chrono::milliseconds pause = co_await append();
        co_await wait(pause);
    }
    m_isAppending = false;
}

// Returns how long to wait before the next append.
boost::asio::awaitable<std::chrono::milliseconds> StreamExchange::append()
{
    Clock::time_point begunAt = Clock::now();
    if (!m_hasOwnRecord)
        co_await loadOwnRecord();
    if (!m_hasOwnRecord || m_isStopped)
        co_return retryDelay;
    std::chrono::milliseconds interval = std::clamp<std::chrono::milliseconds>(appendIntervalPerRecorder * m_recorders, shortestAppendInterval, longestAppendInterval);
    m_isWindowChanged = false;
    m_hooks.countStoreCall(Fleet::StoreCallReason::Streams);
    // An empty value removes the record.
    Core::Result<Platform::ConditionalAppend> appended = co_await m_store.append(Platform::StoreTopic::Streams, m_self, encode(m_window.streams()), std::nullopt);
    m_isWindowChanged = m_isWindowChanged || appended.has_error();
    std::chrono::milliseconds taken = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begunAt);
    co_return appended.has_error() ? retryDelay : std::max(std::chrono::milliseconds(0), interval - taken);
}

boost::asio::awaitable<void> StreamExchange::wait(std::chrono::milliseconds time)
{
    boost::asio::steady_timer timer(m_context, time);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

}
