// The part of StoreControl that reads topics of the store, or learns from a peer what is new of them.

#include <LibCore/EventLog.h>
#include <LibDaemon/StoreControl.h>
#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// A reader that has not been answered for this long brings no news: three of its intervals.
constexpr std::chrono::milliseconds readerLapse { 1'500 };
constexpr std::chrono::milliseconds turnCheckInterval { 50 };

}

boost::asio::awaitable<Core::Result<std::vector<Platform::KeyedRecord>>> StoreControl::readOnce(Followed& topic)
{
    using News = Core::Result<std::vector<Platform::KeyedRecord>>;
    Fleet::StoreReplica::Step step = topic.replica.next();
    if (step.isNewest) {
        Core::Result<Platform::KeyedPage> page = co_await m_store->newest(topic.topic, step.after);
        if (page.has_error())
            co_return News(page.error());
        co_return News(topic.replica.take(page.value()));
    }
    Core::Result<Platform::KeyedBatch> batch = co_await m_store->read(topic.topic, step.from, topic.wait);
    if (batch.has_error())
        co_return News(batch.error());
    co_return News(topic.replica.take(batch.value()));
}

boost::asio::awaitable<void> StoreControl::follow(Followed& topic)
{
    while (!m_isStopped) {
        Clock::time_point begunAt = Clock::now();
        if (isTold(topic) && hasNews(topic) && co_await learnFromPeer(topic)) {
            co_await waitForTurn(topic, begunAt);
            continue;
        }
        bool wasComplete = topic.replica.isComplete();
        Core::Result<std::vector<Platform::KeyedRecord>> news = co_await readOnce(topic);
        if (m_isStopped)
            co_return;
        if (news.has_error()) {
            noteProblem(topic, news.error().message);
            topic.onFailure();
            std::ignore = co_await learnFromPeer(topic); // Whatever it told, the store is asked again.
            co_await wait(retryDelay);
            continue;
        }
        noteProblem(topic, std::string());
        if (Core::isLogged(Core::Severity::Debug))
            Core::logEvent(Core::Severity::Debug, Core::Event::StoreRead, { { "stream", std::string(Core::nameOf(Platform::storeTopicNames, topic.topic)) }, { "news", std::to_string(news.value().size()) }, { "next", std::to_string(topic.replica.nextOffset()) }, { "told", std::to_string(m_beacons->book().newest(Clock::now()).targetsChanged) }, { "reader", isReading() ? "yes" : "no" } });
        topic.readAt = Clock::now();
        topic.onRead();
        apply(topic, news.value(), wasComplete);
        co_await waitForTurn(topic, begunAt);
    }
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
    return topic.isNews(m_beacons->book().newest(Clock::now()));
}

// Whether others read the topic all the time and tell this daemon what is new.
bool StoreControl::isTold(Followed const& topic) const
{
    return topic.replica.isComplete() && !readsAlways() && m_beacons->book().hearsReader(Clock::now());
}

// Returns when the topic is to be read again.
boost::asio::awaitable<void> StoreControl::waitForTurn(Followed const& topic, Clock::time_point begunAt)
{
    Clock::time_point due = begunAt + topic.interval;
    Clock::time_point idleDue = begunAt + topic.idleInterval;
    while (!m_isStopped) {
        Clock::time_point now = Clock::now();
        bool isDue = now >= due && (!isTold(topic) || hasNews(topic) || now >= idleDue);
        if (isDue)
            co_return;
        co_await wait(std::max(std::chrono::milliseconds(1), std::min(turnCheckInterval, std::chrono::ceil<std::chrono::milliseconds>(std::max(due, now + turnCheckInterval) - now))));
    }
}

bool StoreControl::readsAlways() const
{
    return m_beacons->book().isReader(m_settings.daemon.name, Clock::now());
}

bool StoreControl::isReading() const
{
    Clock::time_point oldest = Clock::now() - readerLapse;
    return !m_isLeaving && readsAlways() && m_configuration.readAt > oldest && m_targetList.readAt > oldest;
}

}
