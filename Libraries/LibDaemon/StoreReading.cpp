// The part of StoreControl that reads topics of the store, or learns from a peer what is new of them.

#include <LibCore/EventLog.h>
#include <LibDaemon/StoreControl.h>
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>
#include <xxhash.h>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// A reader that has not been answered for this long behind its reads' own wait brings no news.
constexpr std::chrono::milliseconds readerSlack { 500 };
// How often a topic that is not woken looks whether its time has come: a fifth of the least of those times.
constexpr std::chrono::milliseconds turnCheckInterval { 200 };
// A daemon that starts among others waits for a beacon of theirs for this long once it knows where they are, and so long at all:
// one stream from a peer in its availability zone costs less than several calls, and is answered while the store is away.
constexpr std::chrono::milliseconds greetingTime { 250 };
constexpr std::chrono::milliseconds longestMeeting { 1'000 };
constexpr std::chrono::milliseconds meetingCheckInterval { 20 };
// Three hundred daemons that start while the store is away are not to ask it five times a second each.
constexpr std::chrono::milliseconds retryDelayPerDaemon { 10 };

}

boost::asio::awaitable<Core::Result<std::vector<Platform::KeyedRecord>>> StoreControl::readOnce(Followed& topic, Fleet::StoreCallReason reason)
{
    using News = Core::Result<std::vector<Platform::KeyedRecord>>;
    m_hooks.countStoreCall(reason);
    Fleet::StoreReplica::Step step = topic.replica.next();
    if (step.isNewest) {
        Core::Result<Platform::KeyedPage> page = co_await m_store->newest(topic.topic, step.after);
        if (page.has_error())
            co_return News(page.error());
        co_return News(topic.replica.take(page.value()));
    }
    Core::Result<Platform::KeyedBatch> batch = co_await m_waitingStore->read(topic.topic, step.from, topic.wait);
    if (batch.has_error())
        co_return News(batch.error());
    co_return News(topic.replica.take(batch.value()));
}

boost::asio::awaitable<void> StoreControl::follow(Followed& topic)
{
    if (topic.pace.isToldByPeers)
        co_await waitToMeet(topic);
    Fleet::StoreCallReason reason = Fleet::StoreCallReason::Start;
    while (!m_isStopped) {
        topic.schedule->begin(Clock::now());
        bool asksPeer = topic.pace.isToldByPeers && (!m_view.isReader || !topic.replica.isComplete());
        bool hasLearnt = asksPeer && hasNews(topic) && co_await learnFromPeer(topic);
        if (!hasLearnt && !m_isStopped && !co_await readFromStore(topic, reason))
            co_await wait(topic.replica.isComplete() ? retryDelay : std::max(retryDelay, retryDelayPerDaemon * static_cast<int>(m_view.live)));
        reason = Fleet::StoreCallReason::Start;
        if (topic.replica.isComplete())
            reason = co_await waitForTurn(topic);
    }
}

// Returns whether the store answered.
boost::asio::awaitable<bool> StoreControl::readFromStore(Followed& topic, Fleet::StoreCallReason reason)
{
    bool wasComplete = topic.replica.isComplete();
    Core::Result<std::vector<Platform::KeyedRecord>> news = co_await readOnce(topic, reason);
    if (m_isStopped)
        co_return false;
    if (news.has_error()) {
        noteProblem(topic, news.error().message);
        m_storeFailingSince = m_storeFailingSince.value_or(Clock::now());
        topic.onFailure();
        std::ignore = co_await learnFromPeer(topic); // Whatever it told, the store is asked again.
        co_return false;
    }
    noteProblem(topic, std::string());
    m_storeFailingSince.reset();
    if (Core::isLogged(Core::Severity::Debug))
        Core::logEvent(Core::Severity::Debug, Core::Event::StoreRead, { { "stream", std::string(Core::nameOf(Platform::storeTopicNames, topic.topic)) }, { "reason", std::string(Core::nameOf(Fleet::storeCallReasonNames, reason)) }, { "news", std::to_string(news.value().size()) }, { "next", std::to_string(topic.replica.nextOffset()) }, { "told", std::to_string(m_view.newest.targetsChanged) } });
    topic.readAt = Clock::now();
    topic.onRead();
    apply(topic, news.value(), wasComplete);
    co_return true;
}

void StoreControl::apply(Followed& topic, std::vector<Platform::KeyedRecord> const& news, bool wasComplete)
{
    for (Platform::KeyedRecord const& record : news)
        topic.onRecord(record);
    if (std::exchange(m_isTargetListChanged, false) || wasComplete != topic.replica.isComplete())
        rebuild();
}

// Returns whether this daemon then knows as much as the others say that they know.
boost::asio::awaitable<bool> StoreControl::learnFromPeer(Followed& topic)
{
    Fleet::BookedDaemon const* teller = tellerOf(topic);
    if (!teller)
        co_return false;
    std::string name = teller->listed.name;
    Fleet::StoreReplica::Step step = topic.replica.next();
    RecordsRequest request { topic.topic, step.from, step.isNewest };
    Core::Result<Fleet::StoreReplica::Extract> told = co_await m_records->ask(teller->listed.peerAddress, request);
    if (m_isStopped)
        co_return false;
    std::string stream(Core::nameOf(Platform::storeTopicNames, topic.topic));
    if (told.has_error()) {
        Core::logEvent(Core::Severity::Info, Core::Event::PeerRecords, { { "stream", stream }, { "daemon", name }, { "news", "-" }, { "next", std::to_string(topic.replica.nextOffset()) }, { "error", told.error().message } });
        co_return false;
    }
    bool wasComplete = topic.replica.isComplete();
    std::vector<Platform::KeyedRecord> news = topic.replica.take(told.value());
    apply(topic, news, wasComplete);
    Core::logEvent(Core::Severity::Debug, Core::Event::PeerRecords, { { "stream", stream }, { "daemon", name }, { "news", std::to_string(news.size()) }, { "next", std::to_string(topic.replica.nextOffset()) }, { "error", "-" } });
    co_return !hasNews(topic);
}

// One in the same availability zone if there is one; else another one for each daemon that asks, so that few are asked by all.
Fleet::BookedDaemon const* StoreControl::tellerOf(Followed const& topic) const
{
    Clock::time_point now = Clock::now();
    Fleet::BookedDaemon const* best = nullptr;
    std::tuple<bool, std::uint64_t> bestRank;
    for (std::pair<std::string const, Fleet::BookedDaemon> const& it : m_beacons->book().daemons()) {
        if (!m_beacons->book().isLive(it.second, now) || !topic.isNews(it.second.said))
            continue;
        std::string pair = m_settings.daemon.name + " " + it.first;
        std::tuple<bool, std::uint64_t> rank { it.second.listed.availabilityZone != m_settings.daemon.availabilityZone, XXH3_64bits(pair.data(), pair.size()) };
        if (!best || rank < bestRank) {
            best = &it.second;
            bestRank = rank;
        }
    }
    return best;
}

Core::Result<Fleet::StoreReplica::Extract> StoreControl::extract(RecordsRequest const& request) const
{
    Followed const* followed = nullptr;
    for (Followed const* topic : { &m_configuration, &m_targetList, &m_daemonList })
        followed = topic->topic == request.topic ? topic : followed;
    if (!followed || !followed->replica.isComplete())
        return Core::fail(Core::ErrorCode::Unavailable, "the topic is not known here");
    return followed->replica.extract(request.from, request.wantsAll);
}

bool StoreControl::hasNews(Followed const& topic) const
{
    return topic.isNews(m_view.newest);
}

// Waits until a peer is heard that knows the topic, if there may be one.
boost::asio::awaitable<void> StoreControl::waitToMeet(Followed const& topic)
{
    Clock::time_point until = m_startedAt + longestMeeting;
    while (!m_isStopped && Clock::now() < until && !hasNews(topic)) {
        bool isListRead = m_daemonList.replica.isComplete();
        if (isListRead && (m_beacons->book().daemons().empty() || Clock::now() - m_daemonList.readAt > greetingTime))
            co_return;
        co_await wait(meetingCheckInterval);
    }
}

// Returns, when the topic is to be read again, why.
boost::asio::awaitable<Fleet::StoreCallReason> StoreControl::waitForTurn(Followed& topic)
{
    while (!m_isStopped) {
        std::optional<Fleet::StoreCallReason> reason = topic.schedule->due(m_view, hasNews(topic), Clock::now());
        if (reason)
            co_return *reason;
        // Whatever else makes a read due wakes the topic; only what the clock alone makes due is looked for.
        Clock::duration untilAllowed = topic.schedule->allowedAt() - Clock::now();
        topic.turn->expires_after(untilAllowed > Clock::duration::zero() ? std::chrono::ceil<std::chrono::milliseconds>(untilAllowed) : turnCheckInterval);
        boost::system::error_code ec;
        co_await topic.turn->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    co_return Fleet::StoreCallReason::Idle;
}

bool StoreControl::isReading() const
{
    Clock::time_point oldest = Clock::now() - m_configuration.wait - readerSlack;
    bool isSound = m_configuration.problem.empty() && m_targetList.problem.empty();
    return !m_isLeaving && m_view.isReader && isSound && m_configuration.readAt > oldest && m_targetList.readAt > oldest;
}

std::chrono::milliseconds StoreControl::storeFailingFor() const
{
    if (!m_view.isReader || !m_storeFailingSince)
        return std::chrono::milliseconds(0);
    return std::chrono::ceil<std::chrono::milliseconds>(Clock::now() - *m_storeFailingSince);
}

}
