#include "VirtualSite.h"

#include <algorithm>

namespace Fleet {

using namespace std::chrono_literals;

namespace {

constexpr Time origin { 1'000s };
constexpr std::chrono::milliseconds tickInterval { 100 };
constexpr std::chrono::milliseconds connectTimeout { 500 }; // Connection timeout of a store call.
constexpr std::chrono::milliseconds readSlack { 500 };
constexpr std::chrono::milliseconds silenceTimeout { 400 };
constexpr std::chrono::milliseconds startupDelay { 250 }; // Time from a daemon's start to its first read or query.
constexpr std::chrono::milliseconds longestTransit { 3 };
constexpr std::uint64_t uploadShareDivisor = 4; // Of the link, for records.
constexpr int beaconShareDivisor = 2; // Of the link, for beacons.
constexpr std::size_t beaconBytes = 1'200;
constexpr std::size_t callBytes = 300; // A query, or a store call without records.

std::size_t sizeOf(std::vector<Platform::KeyedRecord> const& records, std::size_t recordBytes)
{
    return callBytes + records.size() * recordBytes;
}

}

struct VirtualSite::Daemon {
    std::size_t index { 0 };
    std::chrono::milliseconds clockDifference { 0 }; ///< Offset of its clock from the site's.
    Time startedAt; ///< On the site's clock, which the daemon cannot see.
    Platform::ListedDaemon self;
    DaemonBook book;
    std::unique_ptr<TopicFollower> follower;
    SiteView view;
    std::uint64_t newsOffset { 0 };
    std::uint64_t sequence { 0 };
    std::uint64_t call { 0 }; ///< Number of the current store call; answers to older ones are dropped.
    std::uint64_t question { 0 }; ///< The same for peer queries.
    std::uint64_t life { 0 }; ///< Process incarnation; events of earlier ones are discarded.
    std::uint64_t looks { 0 };
    bool hasConnection { true }; ///< Connection to the store.
    bool wasReading { false };
    bool isDown { false };
    bool beaconRequested { false }; ///< Its next beacon is sent ahead of schedule.
    Time sentAt {}; ///< Send time of its last beacon.
    Time roundEndsAt {}; ///< When that beacon has been sent to all.
    bool isRoundDue { false }; ///< The next beacon waits for that.
    struct Answer {
        std::size_t asker { 0 };
        std::uint64_t question { 0 };
        StoreReplica::Extract extract;
        std::optional<std::chrono::milliseconds> age; ///< Of the copy when it was extracted.
    };
    std::unique_ptr<RecordUploads> uploads;
    std::map<RecordUploads::Id, Answer> answers; ///< That are being sent.
    Time heardAnswerAt {}; ///< When the last part of the answer to the current query arrived.
    Time queryEndsAt {};
    Time uplinkFreeAt {}; ///< When its link has sent everything queued.
    Time downlinkFreeAt {}; ///< When its link has received everything sent to it.
};

VirtualSite::VirtualSite(VirtualSiteSettings const& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_now(origin)
{
    std::size_t perZone = (settings.daemons + settings.zones - 1) / settings.zones;
    for (std::size_t n = 0; n < settings.daemons; ++n) {
        std::unique_ptr<Daemon> daemon = std::make_unique<Daemon>();
        daemon->index = n;
        daemon->clockDifference = std::chrono::milliseconds(std::uniform_int_distribution<int>(-1'000'000, 1'000'000)(m_random));
        std::string zone = "zone-" + std::to_string(n / perZone);
        daemon->self.name = "entry-" + std::to_string(n / perZone) + "-" + std::to_string(n % perZone);
        daemon->self.availabilityZone = zone;
        m_daemons.push_back(std::move(daemon));
    }
    for (std::unique_ptr<Daemon> const& daemon : m_daemons)
        start(*daemon);
}

VirtualSite::~VirtualSite() = default;

std::string const& VirtualSite::nameOf(std::size_t daemon) const
{
    return m_daemons[daemon]->self.name;
}

void VirtualSite::at(Time time, std::function<void()> run)
{
    m_events.push({ std::max(time, m_now), ++m_order, std::move(run) });
}

// Runs an event at a daemon once the daemon is not stalled, unless it has been killed since.
void VirtualSite::atDaemon(Daemon& daemon, Time time, std::function<void()> run)
{
    at(time, [this, &daemon, life = daemon.life, run = std::move(run)] {
        if (daemon.life != life)
            return;
        std::optional<Time> thaw = thawTime(daemon.index, m_now);
        if (thaw)
            atDaemon(daemon, *thaw, run);
        else
            run();
    });
}

void VirtualSite::strike(std::size_t daemon, Fault fault, Time from, Time to)
{
    m_strikes.push_back({ daemon, fault, from, to });
    if (fault != Fault::Restart)
        return;
    Daemon& struck = *m_daemons[daemon];
    at(from, [&struck] {
        ++struck.life;
        struck.isDown = true;
    });
    at(to, [this, &struck] { start(struck); });
}

bool VirtualSite::isStruck(std::size_t daemon, Fault fault, Time time) const
{
    return std::any_of(m_strikes.begin(), m_strikes.end(), [&](Strike const& it) { return it.daemon == daemon && it.fault == fault && it.from <= time && time < it.to; });
}

std::optional<Time> VirtualSite::thawTime(std::size_t daemon, Time time) const
{
    std::optional<Time> thaw;
    for (Strike const& it : m_strikes) {
        if (it.daemon == daemon && it.fault == Fault::Freeze && it.from <= time && time < it.to)
            thaw = std::max(thaw.value_or(it.to), it.to);
    }
    return thaw;
}

bool VirtualSite::isUntouched(std::size_t daemon, Time from, Time to) const
{
    return std::none_of(m_strikes.begin(), m_strikes.end(), [&](Strike const& it) { return it.daemon == daemon && it.from <= to && it.to >= from; });
}

void VirtualSite::change(Time time)
{
    at(time, [this] {
        Change change { "target-" + std::to_string(m_changes.size()), m_now, m_log.size(), std::vector<std::optional<Time>>(m_daemons.size()) };
        m_log.push_back({ change.offset, change.key, "leaving" });
        m_changes.push_back(std::move(change));
        std::vector<WaitingRead> waiting = std::exchange(m_waiting, {});
        for (WaitingRead const& it : waiting) {
            if (m_now < it.until)
                it.answer();
        }
    });
}

void VirtualSite::run(Time until)
{
    while (!m_events.empty() && m_events.top().at <= until) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    m_now = until;
}

std::chrono::milliseconds VirtualSite::transit()
{
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(1, static_cast<int>(longestTransit.count()))(m_random));
}

Time::duration VirtualSite::transmissionTime(std::size_t bytes) const
{
    if (m_settings.linkBytesPerSecond == 0)
        return {};
    return std::chrono::duration_cast<Time::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(m_settings.linkBytesPerSecond)));
}

// Queues a message on the daemon's link. Returns when its last byte has left.
Time VirtualSite::send(Daemon& daemon, std::size_t bytes)
{
    daemon.uplinkFreeAt = std::max(daemon.uplinkFreeAt, m_now) + transmissionTime(bytes);
    m_longestLinkQueue = std::max(m_longestLinkQueue, daemon.uplinkFreeAt - m_now);
    return daemon.uplinkFreeAt;
}

// Returns when a daemon has received a message whose last byte was sent at `sentAt`.
Time VirtualSite::arrival(Daemon& daemon, Time sentAt, std::size_t bytes)
{
    daemon.downlinkFreeAt = std::max(daemon.downlinkFreeAt, sentAt) + transmissionTime(bytes);
    return daemon.downlinkFreeAt + transit();
}

// A starting daemon gets the list of daemons from the store and learns the rest from its peers.
void VirtualSite::start(Daemon& daemon)
{
    ++daemon.life;
    daemon.isDown = false;
    daemon.self.incarnation = daemon.life;
    daemon.startedAt = m_now;
    daemon.book = DaemonBook();
    daemon.view = SiteView();
    daemon.newsOffset = daemon.sequence = 0;
    daemon.hasConnection = true;
    daemon.wasReading = daemon.beaconRequested = daemon.isRoundDue = false;
    daemon.roundEndsAt = {};
    RecordUploadSettings uploads;
    uploads.bytesPerSecond = m_settings.linkBytesPerSecond / uploadShareDivisor;
    daemon.uploads = std::make_unique<RecordUploads>(uploads);
    daemon.answers.clear();
    TopicFollowerSettings settings = TopicFollowerSettings::create({}, m_settings.newsWithin);
    settings.daemon = daemon.self.name;
    settings.availabilityZone = daemon.self.availabilityZone;
    TopicFollower::NewsTest isNews = [&daemon](DaemonState const& said) { return said.targetsChanged > daemon.follower->replica().nextOffset(); };
    daemon.follower = std::make_unique<TopicFollower>(settings, isNews, [](DaemonState const& said) { return said.targetsAge; }, m_random());
    for (std::unique_ptr<Daemon> const& other : m_daemons) {
        if (other->index == daemon.index)
            continue;
        daemon.book.list(other->self, m_now);
        other->book.list(daemon.self, m_now);
    }
    std::chrono::milliseconds phase(std::uniform_int_distribution<std::int64_t>(0, daemon.book.beaconInterval().count())(m_random));
    atDaemon(daemon, m_now + phase, [this, &daemon] { sendRegularly(daemon); });
    atDaemon(daemon, m_now + phase % tickInterval, [this, &daemon] { tick(daemon); });
    atDaemon(daemon, m_now + startupDelay, [this, &daemon] { look(daemon); });
}

void VirtualSite::checkAge(Daemon const& daemon)
{
    std::optional<Time> asOf = daemon.follower->asOf();
    for (Change const& change : m_changes) {
        bool isMissing = !change.knownAt[daemon.index];
        if (asOf && isMissing && *asOf > change.at)
            m_worstAgeError = std::max(m_worstAgeError, *asOf - change.at);
    }
}

void VirtualSite::tick(Daemon& daemon)
{
    checkAge(daemon);
    SiteView before = std::exchange(daemon.view, daemon.book.view(daemon.self.name, m_now));
    if (before.isReader != daemon.view.isReader || before.hasLiveReader != daemon.view.hasLiveReader || daemon.follower->hasNews(daemon.view))
        look(daemon);
    if (isReading(daemon) != daemon.wasReading) {
        daemon.wasReading = !daemon.wasReading;
        sendBeacons(daemon);
    }
    atDaemon(daemon, m_now + tickInterval, [this, &daemon] { tick(daemon); });
}

void VirtualSite::look(Daemon& daemon)
{
    std::optional<PeerQuery> question = daemon.follower->beginPeerQuery(daemon.book, daemon.view, m_now);
    if (question)
        ask(daemon, *question);
    std::optional<StoreRead> due = daemon.follower->beginRead(daemon.view, m_now);
    if (due)
        read(daemon, *due);
    std::uint64_t number = ++daemon.looks;
    atDaemon(daemon, daemon.follower->nextCheckAt(m_now), [this, &daemon, number] {
        if (daemon.looks == number)
            look(daemon);
    });
}

bool VirtualSite::isReading(Daemon const& daemon) const
{
    return daemon.view.isReader && daemon.follower->isReadLately(m_now);
}

DaemonState VirtualSite::describe(Daemon const& daemon) const
{
    DaemonState state;
    state.isReading = isReading(daemon);
    state.targetsChanged = daemon.newsOffset;
    state.targetsAge = daemon.follower->ownReadAge(m_now);
    state.saidAt = m_now + daemon.clockDifference;
    state.runningFor = std::chrono::floor<std::chrono::milliseconds>(m_now - daemon.startedAt);
    if (daemon.view.isReader && daemon.follower->failingSince())
        state.storeFailingFor = std::chrono::ceil<std::chrono::milliseconds>(m_now - *daemon.follower->failingSince());
    return state;
}

void VirtualSite::sendRegularly(Daemon& daemon)
{
    sendBeacons(daemon);
    atDaemon(daemon, m_now + daemon.book.beaconInterval(), [this, &daemon] { sendRegularly(daemon); });
}

void VirtualSite::tellSoon(Daemon& daemon)
{
    Time soonest = daemon.sentAt + daemon.book.promptInterval();
    if (m_now >= soonest) {
        sendBeacons(daemon);
        return;
    }
    if (std::exchange(daemon.beaconRequested, true))
        return;
    atDaemon(daemon, soonest, [this, &daemon] {
        if (daemon.beaconRequested)
            sendBeacons(daemon);
    });
}

void VirtualSite::sendBeacons(Daemon& daemon)
{
    // A beacon goes out once the one before has been sent to all.
    if (m_now < daemon.roundEndsAt) {
        if (!std::exchange(daemon.isRoundDue, true))
            atDaemon(daemon, daemon.roundEndsAt, [this, &daemon] { sendBeacons(daemon); });
        return;
    }
    daemon.beaconRequested = daemon.isRoundDue = false;
    daemon.sentAt = m_now;
    daemon.roundEndsAt = m_now + static_cast<int>(m_daemons.size()) * beaconShareDivisor * transmissionTime(beaconBytes);
    DaemonState state = describe(daemon);
    ++daemon.sequence;
    bool isCut = isStruck(daemon.index, Fault::PeerCut, m_now);
    // Beacons go out one after the other, from a different recipient on each time.
    Time sendAt = m_now;
    std::size_t first = m_random() % m_daemons.size();
    for (std::size_t n = 0; n < m_daemons.size(); ++n) {
        std::unique_ptr<Daemon> const& other = m_daemons[(first + n) % m_daemons.size()];
        ++m_beacons;
        bool isLost = other->isDown || isCut || isStruck(other->index, Fault::PeerCut, m_now) || std::bernoulli_distribution(m_settings.beaconLoss)(m_random);
        if (other->index == daemon.index || isLost)
            continue;
        Daemon& to = *other;
        sendAt += beaconShareDivisor * transmissionTime(beaconBytes);
        atDaemon(daemon, sendAt, [this, &daemon, &to, from = daemon.self, sequence = daemon.sequence, state] {
            atDaemon(to, arrival(to, send(daemon, beaconBytes), beaconBytes), [this, &to, from, sequence, state] { receive(to, from, sequence, state); });
        });
    }
}

void VirtualSite::receive(Daemon& daemon, Platform::ListedDaemon const& from, std::uint64_t sequence, DaemonState const& said)
{
    if (!daemon.book.hear(from, sequence, said, m_now))
        return;
    daemon.follower->hear(daemon.book.daemons().at(from.name).said, m_now);
    bool isNews = said.targetsChanged > daemon.view.newest.targetsChanged;
    daemon.view.newest.targetsChanged = std::max(daemon.view.newest.targetsChanged, said.targetsChanged);
    if (isNews)
        look(daemon);
}

void VirtualSite::ask(Daemon& daemon, PeerQuery const& question)
{
    std::uint64_t number = ++daemon.question;
    daemon.heardAnswerAt = m_now;
    daemon.queryEndsAt = m_now + TopicFollowerSettings::create({}, m_settings.newsWithin).staleAfter;
    awaitAnswer(daemon, number);
    std::vector<std::unique_ptr<Daemon>>::iterator found = std::find_if(m_daemons.begin(), m_daemons.end(), [&](std::unique_ptr<Daemon> const& it) { return it->self.name == question.peer.listed.name; });
    Daemon& peer = **found;
    if (peer.isDown || isStruck(daemon.index, Fault::PeerCut, m_now) || isStruck(peer.index, Fault::PeerCut, m_now))
        return;
    atDaemon(peer, arrival(peer, send(daemon, callBytes), callBytes), [this, &daemon, &peer, number, step = question.step] { answerQuery(daemon, peer, number, step); });
}

// Gives the query up after a silence, or when it has taken too long.
void VirtualSite::awaitAnswer(Daemon& daemon, std::uint64_t question)
{
    atDaemon(daemon, std::min(daemon.heardAnswerAt + silenceTimeout, daemon.queryEndsAt), [this, &daemon, question] {
        if (daemon.question != question)
            return;
        if (m_now < daemon.heardAnswerAt + silenceTimeout && m_now < daemon.queryEndsAt) {
            awaitAnswer(daemon, question);
            return;
        }
        endQuery(daemon, question, [this, &daemon] { daemon.follower->noteFailedPeerQuery(m_now); });
    });
}

void VirtualSite::endQuery(Daemon& daemon, std::uint64_t question, std::function<void()> end)
{
    if (daemon.question != question)
        return;
    ++daemon.question;
    end();
    look(daemon);
}

void VirtualSite::answerQuery(Daemon& asker, Daemon& peer, std::uint64_t question, StoreReplica::Step const& step)
{
    if (!peer.follower->replica().isComplete())
        return;
    StoreReplica::Extract extract = peer.follower->replica().extract(step.from, step.isNewest);
    std::size_t bytes = sizeOf(extract.records, m_settings.recordBytes);
    std::variant<RecordUploads::Id, Deferral> begun = peer.uploads->begin(Platform::StoreTopic::Targets, extract.next, asker.self.name, bytes, m_now);
    if (Deferral const* deferral = std::get_if<Deferral>(&begun)) {
        atDaemon(asker, arrival(asker, send(peer, callBytes), callBytes), [this, &asker, question, deferral = *deferral] { endQuery(asker, question, [this, &asker, &deferral] { asker.follower->noteDeferral(deferral, m_now); }); });
        return;
    }
    peer.answers[std::get<RecordUploads::Id>(begun)] = { asker.index, question, std::move(extract), peer.follower->age(m_now) };
    sendChunks(peer);
}

void VirtualSite::sendChunks(Daemon& daemon)
{
    while (std::optional<RecordUploads::Chunk> chunk = daemon.uploads->takeChunk(m_now)) {
        Daemon::Answer answer = daemon.answers.at(chunk->upload);
        Daemon& asker = *m_daemons[answer.asker];
        if (asker.question != answer.question) {
            // The asker has reset the stream.
            daemon.uploads->cancel(chunk->upload);
            daemon.answers.erase(chunk->upload);
            continue;
        }
        Time at = arrival(asker, send(daemon, chunk->bytes), chunk->bytes);
        atDaemon(asker, at, [this, &asker, question = answer.question] {
            if (asker.question == question)
                asker.heardAnswerAt = m_now;
        });
        if (!chunk->isLast)
            continue;
        daemon.answers.erase(chunk->upload);
        atDaemon(asker, at, [this, &asker, answer] { endQuery(asker, answer.question, [this, &asker, &answer] { take(asker, asker.follower->takeAnswer(answer.extract, answer.age)); }); });
    }
    std::optional<Time> next = daemon.uploads->nextChunkAt();
    if (next)
        atDaemon(daemon, *next, [this, &daemon] { sendChunks(daemon); });
}

// A connection with a hung call is closed, and no new one can be established during the partition.
void VirtualSite::read(Daemon& daemon, StoreRead const& due)
{
    ++m_storeCalls;
    std::uint64_t call = ++daemon.call;
    // An answer that is arriving is waited for.
    std::size_t expectedBytes = due.step.isNewest || due.step.from < m_log.size() ? m_settings.recordBytes : 0;
    Time::duration patience = daemon.hasConnection ? due.wait + readSlack + 2 * transmissionTime(expectedBytes) : Time::duration(connectTimeout);
    atDaemon(daemon, m_now + patience, [this, &daemon, call] { fail(daemon, call); });
    if (isStruck(daemon.index, Fault::StoreCut, m_now))
        return;
    daemon.hasConnection = true;
    at(send(daemon, callBytes) + transit(), [this, &daemon, due, call, life = daemon.life] {
        std::function<void()> answer = [this, &daemon, due, call, life] {
            if (daemon.life == life)
                answerRead(daemon, due, call);
        };
        bool hasNews = due.step.isNewest || due.step.from < m_log.size();
        if (hasNews) {
            answer();
            return;
        }
        m_waiting.push_back({ due.step.from, m_now + due.wait, answer });
        at(m_now + due.wait, [this, due, answer] {
            bool isNothingNew = due.step.from >= m_log.size();
            if (isNothingNew)
                answer();
        });
    });
}

void VirtualSite::answerRead(Daemon& daemon, StoreRead const& due, std::uint64_t call)
{
    if (isStruck(daemon.index, Fault::StoreCut, m_now))
        return;
    Platform::KeyedPage page { m_log, m_log.size(), false };
    Platform::KeyedBatch batch { 0, m_log.size(), {}, false };
    if (!due.step.isNewest)
        batch.records.assign(m_log.begin() + static_cast<std::ptrdiff_t>(due.step.from), m_log.end());
    std::size_t bytes = sizeOf(due.step.isNewest ? page.records : batch.records, m_settings.recordBytes);
    atDaemon(daemon, arrival(daemon, m_now, bytes), [this, &daemon, due, call, page, batch] {
        if (daemon.call != call)
            return;
        ++daemon.call;
        std::vector<Platform::KeyedRecord> news = due.step.isNewest ? daemon.follower->takeRead(page, m_now) : daemon.follower->takeRead(batch, m_now);
        take(daemon, news);
        tellSoon(daemon);
        look(daemon);
    });
}

void VirtualSite::fail(Daemon& daemon, std::uint64_t call)
{
    if (daemon.call != call)
        return;
    ++daemon.call;
    daemon.hasConnection = false;
    daemon.follower->noteFailedRead(daemon.view, m_now);
    look(daemon);
}

void VirtualSite::take(Daemon& daemon, std::vector<Platform::KeyedRecord> const& news)
{
    for (Platform::KeyedRecord const& record : news) {
        daemon.newsOffset = std::max(daemon.newsOffset, record.offset + 1);
        std::optional<Time>& knownAt = m_changes[record.offset].knownAt[daemon.index];
        knownAt = knownAt.value_or(m_now);
    }
}

std::vector<VirtualSite::Breach> VirtualSite::breaches(std::chrono::milliseconds within, std::chrono::milliseconds calmTime) const
{
    std::vector<Breach> breaches;
    for (Change const& change : m_changes) {
        Time bound = change.at + within;
        if (bound > m_now)
            break;
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            bool isInTime = change.knownAt[n] && *change.knownAt[n] <= bound;
            if (isInTime || !isUntouched(n, bound - calmTime, bound))
                continue;
            std::optional<std::chrono::milliseconds> after;
            if (change.knownAt[n])
                after = std::chrono::ceil<std::chrono::milliseconds>(*change.knownAt[n] - change.at);
            breaches.push_back({ nameOf(n), change.at, after });
        }
    }
    return breaches;
}

std::chrono::milliseconds VirtualSite::worstDelay(std::chrono::milliseconds calmTime) const
{
    std::chrono::milliseconds worst { 0 };
    for (Change const& change : m_changes) {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            if (change.knownAt[n] && isUntouched(n, *change.knownAt[n] - calmTime, *change.knownAt[n]))
                worst = std::max(worst, std::chrono::ceil<std::chrono::milliseconds>(*change.knownAt[n] - change.at));
        }
    }
    return worst;
}

}
