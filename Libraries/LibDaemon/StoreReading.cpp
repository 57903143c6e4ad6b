// The part of StoreControl that reads topics of the store, or learns from a peer what is new of them.

#include <LibCore/EventLog.h>
#include <LibDaemon/StoreControl.h>
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// News that is not asked for at once, as this daemon's own read should bring it, is looked for so often.
constexpr std::chrono::milliseconds newsCheckInterval { 100 };

}

// A read that hangs does not keep this daemon from learning what a peer knows: each has a loop of its own.
boost::asio::awaitable<void> StoreControl::learn(Followed& topic)
{
    co_await waitToMeet(topic, *topic.news);
    while (!m_isStopped) {
        std::optional<Fleet::PeerQuery> question = topic.follower->beginPeerQuery(m_beacons->book(), m_view, Clock::now());
        if (question)
            co_await ask(topic, std::move(*question));
        else
            co_await waitFor(*topic.news, timeToNextQuery(topic));
    }
}

Clock::duration StoreControl::timeToNextQuery(Followed const& topic)
{
    Clock::time_point now = Clock::now();
    std::optional<Clock::time_point> next = topic.follower->nextDeferredQueryAt(now);
    return std::min<Clock::duration>(newsCheckInterval, next ? *next - now : newsCheckInterval);
}

boost::asio::awaitable<void> StoreControl::follow(Followed& topic)
{
    if (topic.isToldByPeers)
        co_await waitToMeet(topic, *topic.turn);
    // The suspects and the releases of streams are read beside what this topic brings, not behind it.
    if (&topic == &m_targetList && !m_isStopped && !topic.follower->replica().isComplete()) {
        bool isReader = m_beacons->book().view(m_settings.daemon.name, Clock::now()).isReader;
        m_quarantine->tick(isReader, Clock::now());
        m_streams->tick(isReader, m_isLeaving, Clock::now());
    }
    while (!m_isStopped) {
        std::optional<Fleet::StoreRead> read = topic.follower->beginRead(m_view, Clock::now());
        if (read) {
            co_await readFromStore(topic, std::move(*read));
            continue;
        }
        // Whatever else makes something due wakes the topic; only what the clock alone makes due is looked for.
        Clock::time_point now = Clock::now();
        co_await waitFor(*topic.turn, topic.follower->nextCheckAt(now) - now);
    }
}

// Ends sooner when the timer is cancelled.
boost::asio::awaitable<void> StoreControl::waitFor(boost::asio::steady_timer& timer, Clock::duration duration)
{
    timer.expires_after(std::chrono::ceil<std::chrono::milliseconds>(duration));
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

boost::asio::awaitable<Core::Result<std::vector<Platform::KeyedRecord>>> StoreControl::call(Followed& topic, Fleet::StoreRead read)
{
    using News = Core::Result<std::vector<Platform::KeyedRecord>>;
    m_hooks.countStoreCall(read.reason);
    if (read.step.isNewest) {
        Core::Result<Platform::KeyedPage> page = co_await m_store->newest(topic.topic, read.step.after);
        co_return page.has_error() ? News(page.error()) : News(topic.follower->takeRead(page.value(), Clock::now()));
    }
    Platform::KeyedStore& store = read.wait.count() > 0 ? *m_waitingStore : *m_store;
    Core::Result<Platform::KeyedBatch> batch = co_await store.read(topic.topic, read.step.from, read.wait);
    co_return batch.has_error() ? News(batch.error()) : News(topic.follower->takeRead(batch.value(), Clock::now()));
}

boost::asio::awaitable<void> StoreControl::readFromStore(Followed& topic, Fleet::StoreRead read)
{
    bool wasComplete = topic.follower->replica().isComplete();
    Core::Result<std::vector<Platform::KeyedRecord>> news = co_await call(topic, read);
    if (m_isStopped)
        co_return;
    if (news.has_error()) {
        topic.follower->noteFailedRead(m_view, Clock::now());
        noteProblem(topic, news.error().message);
        topic.onFailure();
        co_return;
    }
    noteProblem(topic, std::string());
    if (Core::isLogged(Core::Severity::Debug))
        Core::logEvent(Core::Severity::Debug, Core::Event::StoreRead, { { "stream", std::string(Core::nameOf(Platform::storeTopicNames, topic.topic)) }, { "reason", std::string(Core::nameOf(Fleet::storeCallReasonNames, read.reason)) }, { "news", std::to_string(news.value().size()) }, { "next", std::to_string(topic.follower->replica().nextOffset()) }, { "told", std::to_string(m_view.newest.targetsChanged) }, { "age_ms", ageOf(topic) } });
    topic.onRead();
    apply(topic, news.value(), wasComplete);
    // Others may wait for just this: for the news, or for the word that there is none.
    if (topic.isToldByPeers)
        m_beacons->sendSoon();
}

void StoreControl::apply(Followed& topic, std::vector<Platform::KeyedRecord> const& news, bool wasComplete)
{
    for (Platform::KeyedRecord const& record : news)
        topic.onRecord(record);
    publishAge();
    if (std::exchange(m_isTargetListChanged, false) || wasComplete != topic.follower->replica().isComplete())
        rebuild();
    if (topic.follower->replica().isComplete())
        noteStartStep(topic.firstStep);
}

boost::asio::awaitable<void> StoreControl::ask(Followed& topic, Fleet::PeerQuery question)
{
    RecordsRequest request { topic.topic, question.step.from, question.step.isNewest };
    std::string base;
    if (Platform::KeyedRecord const* largest = topic.follower->replica().largestRecord()) {
        request.baseOffset = largest->offset;
        base = *largest->value;
    }
    Core::Result<RecordExchange::Reply> told = co_await m_records->ask(question.peer.listed.peerAddress, request, std::move(base), topic.queryTimeout);
    if (m_isStopped)
        co_return;
    std::string stream(Core::nameOf(Platform::storeTopicNames, topic.topic));
    std::string name = question.peer.listed.name;
    if (told.has_error()) {
        topic.follower->noteFailedPeerQuery(Clock::now());
        Core::logEvent(Core::Severity::Info, Core::Event::PeerRecords, { { "stream", stream }, { "daemon", name }, { "news", "-" }, { "next", std::to_string(topic.follower->replica().nextOffset()) }, { "error", told.error().message } });
        co_return;
    }
    if (Fleet::Deferral const* deferral = std::get_if<Fleet::Deferral>(&told.value())) {
        topic.follower->noteDeferral(*deferral, Clock::now());
        Core::logEvent(Core::Severity::Debug, Core::Event::PeerRecords, { { "stream", stream }, { "daemon", name }, { "news", "-" }, { "next", std::to_string(topic.follower->replica().nextOffset()) }, { "retry_after_ms", std::to_string(deferral->retryAfter.count()) }, { "referrals", std::to_string(deferral->referrals.size()) }, { "error", "-" } });
        co_return;
    }
    RecordsAnswer const& answer = std::get<RecordsAnswer>(told.value());
    bool wasComplete = topic.follower->replica().isComplete();
    std::vector<Platform::KeyedRecord> news = topic.follower->takeAnswer(answer.extract, answer.age);
    apply(topic, news, wasComplete);
    Core::logEvent(Core::Severity::Debug, Core::Event::PeerRecords, { { "stream", stream }, { "daemon", name }, { "news", std::to_string(news.size()) }, { "next", std::to_string(topic.follower->replica().nextOffset()) }, { "age_ms", ageOf(topic) }, { "error", "-" } });
}

StoreControl::Followed const* StoreControl::find(Platform::StoreTopic topic) const
{
    for (Followed const* it : { &m_configuration, &m_targetList, &m_daemonList }) {
        if (it->topic == topic)
            return it;
    }
    return nullptr;
}

std::string const* StoreControl::findVersion(Platform::StoreTopic topic, std::uint64_t offset) const
{
    Followed const* followed = find(topic);
    return followed ? followed->follower->replica().findVersion(offset) : nullptr;
}

Core::Result<RecordsAnswer> StoreControl::extract(RecordsRequest const& request) const
{
    if (request.topic == Platform::StoreTopic::Suspects)
        return m_quarantine->extract();
    Followed const* followed = find(request.topic);
    if (!followed || !followed->follower->replica().isComplete())
        return Core::fail(Core::ErrorCode::Unavailable, "the topic is not known here");
    return RecordsAnswer { followed->follower->replica().extract(request.from, request.wantsAll), followed->follower->age(Clock::now()) };
}

std::string StoreControl::ageOf(Followed const& topic)
{
    std::optional<std::chrono::milliseconds> age = topic.follower->age(Clock::now());
    return age ? std::to_string(age->count()) : "-";
}

void StoreControl::publishAge()
{
    if (std::optional<Clock::time_point> configAsOf = m_configuration.follower->asOf())
        m_configConfirmedAt->store(*configAsOf);
    std::optional<Clock::time_point> asOf = m_targetList.follower->asOf();
    if (!asOf)
        return;
    m_listConfirmedAt->store(*asOf);
    m_targets.noteKnownUntil(*asOf, Clock::now());
}

bool StoreControl::isReading() const
{
    Clock::time_point now = Clock::now();
    return !m_isLeaving && m_view.isReader && m_configuration.follower->isReadLately(now) && m_targetList.follower->isReadLately(now);
}

std::chrono::milliseconds StoreControl::storeFailingFor() const
{
    std::optional<Clock::time_point> since = m_targetList.follower->failingSince();
    if (!m_view.isReader || !since)
        return std::chrono::milliseconds(0);
    return std::chrono::ceil<std::chrono::milliseconds>(Clock::now() - *since);
}

}
