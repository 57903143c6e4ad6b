// The part of StoreControl that takes what was read or heard and makes the fleet's snapshot of it.

#include <LibCore/EventLog.h>
#include <LibDaemon/StoreControl.h>
#include <algorithm>
#include <tuple>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// A daemon that is silent for this long has ended or is cut off, and its share of rate limits goes to others.
constexpr std::chrono::seconds sharerTimeout { 5 };
// Entries that cannot be used are remembered, so that each is logged once; more of them than this are no accident.
constexpr std::size_t mostUnusableEntries = 1'000;
// Of an entry that cannot be used, so much goes into the log.
constexpr std::size_t loggedEntryBytes = 200;
// Of the names of targets that are avoided, so many bytes go into the log.
constexpr std::size_t loggedNamesBytes = 500;

// All that was believed of the incarnation before stands under its own key, and counts no more.
std::uint64_t keyOf(Platform::ListedTarget const& listed)
{
    return targetKeyOf(listed.id, listed.bornAtMs);
}

}

// Whatever a read says, a version never goes back.
void StoreControl::takeConfiguration(Platform::KeyedRecord const& record)
{
    if (record.key != m_adapters.codec.configurationKey || !record.value)
        return;
    Core::Result<State::ServiceConfig> decoded = m_adapters.codec.decodeConfiguration(*record.value);
    if (decoded.has_error()) {
        Core::logEvent(Core::Severity::Error, Core::Event::ConfigurationRefused, { { "offset", std::to_string(record.offset) }, { "error", decoded.error().message } });
        return;
    }
    if (m_services && decoded.value().version <= m_services->version)
        return;
    Core::Result<std::shared_ptr<State::Config const>> labels = State::toLabelConfig(decoded.value(), record.offset);
    if (labels.has_error()) {
        Core::logEvent(Core::Severity::Error, Core::Event::ConfigurationRefused, { { "offset", std::to_string(record.offset) }, { "error", labels.error().message } });
        return;
    }
    m_services = std::make_shared<State::ServiceConfig const>(std::move(decoded.value()));
    m_labels = labels.value();
    Core::logEvent(Core::Severity::Info, Core::Event::ConfigurationAccepted, { { "revision", std::to_string(m_services->version) }, { "offset", std::to_string(record.offset) }, { "routes", std::to_string(m_services->routes.all().size()) }, { "services", std::to_string(m_services->services.size()) } });
    m_hooks.setLimits(m_services->limits);
    setStreamRoutes();
    rebuild();
}

void StoreControl::setStreamRoutes()
{
    m_streamServices.clear();
    std::set<std::string> drawnServices;
    std::chrono::milliseconds longestStream { 0 };
    for (State::EntryRoute const& route : m_services->routes.all()) {
        if (!route.isResumable)
            continue;
        longestStream = std::max(longestStream, route.timeout);
        for (State::RouteShare const& share : route.shares) {
            m_streamServices.insert(share.service);
            if (route.shares.size() > 1)
                drawnServices.insert(share.service);
        }
    }
    m_streams->setRoutes(std::move(drawnServices), longestStream);
}

// Returns whether the record changes anything but a heartbeat.
bool StoreControl::takeTarget(Platform::KeyedRecord const& record)
{
    if (!record.value) {
        if (m_targets.remove(record.key, Clock::now())) {
            Core::logEvent(Core::Severity::Info, Core::Event::TargetRemoved, { { "target", record.key } });
            m_isTargetListChanged = true;
        }
        return true;
    }
    Core::Result<Platform::ListedTarget> listed = m_adapters.codec.decodeTarget(record.key, *record.value);
    if (listed.has_error())
        return takeUnusableEntry(record, listed.error());
    m_unusableEntries.erase(std::hash<std::string>()(record.key));
    std::map<std::string, Fleet::BookedTarget>::const_iterator before = m_targets.targets().find(record.key);
    bool hasNewRole = before != m_targets.targets().end() && before->second.listed.role != listed.value().role;
    if (!m_targets.list(listed.value()))
        return false;
    m_isTargetListChanged = true;
    // The change of role has ended, and whoever ordered it says so soon.
    if (hasNewRole)
        m_changing.settle(keyOf(listed.value()));
    Core::logEvent(Core::Severity::Info, Core::Event::TargetAdded, { { "target", record.key }, { "address", Http::toString(listed.value().address) }, { "availability_zone", listed.value().availabilityZone }, { "leaving", listed.value().isLeaving ? "yes" : "no" }, { "release", listed.value().release.empty() ? "-" : listed.value().release }, { "role", listed.value().role ? std::string(Core::nameOf(Routing::targetRoleNames, *listed.value().role)) : "-" } });
    return true;
}

// Whoever wrote it: the newest entry under a name counts, and this one names no target. Other entries are not concerned.
bool StoreControl::takeUnusableEntry(Platform::KeyedRecord const& record, Core::Error const& error)
{
    bool isChanged = m_targets.drop(record.key);
    m_isTargetListChanged = m_isTargetListChanged || isChanged;
    bool isNew = m_unusableEntries.size() < mostUnusableEntries && m_unusableEntries.insert(std::hash<std::string>()(record.key)).second;
    if (isNew)
        Core::logEvent(Core::Severity::Error, Core::Event::TargetEntryUnusable, { { "target", record.key }, { "error", error.message }, { "read", record.value->substr(0, loggedEntryBytes) } });
    return isChanged;
}

void StoreControl::takeDaemon(Platform::KeyedRecord const& record)
{
    if (!record.value || record.key == m_settings.daemon.name)
        return;
    Core::Result<Platform::ListedDaemon> listed = decodeListedDaemon(record.key, *record.value);
    if (listed.has_value())
        m_beacons->book().list(listed.value(), Clock::now());
    else
        Core::logEvent(Core::Severity::Error, Core::Event::MemberChanged, { { "daemon", record.key }, { "from", "unknown" }, { "to", "unreadable" }, { "leaving", "no" } });
}

void StoreControl::takeBeacon(BeaconMessage const& beacon)
{
    m_firstHeardAt = m_firstHeardAt.value_or(Clock::now());
    m_quarantine->take(beacon, Clock::now());
    m_streams->take(beacon, Clock::now());
    if (m_usage)
        m_usage->hear(beacon, m_beacons->book().daemons().at(beacon.sender.name).heldUp, Clock::now());
    for (std::pair<std::string const, double> const& it : beacon.sizedDemands) {
        if (m_engineNumbers)
            m_engineNumbers->hear(it.first, it.second);
    }
    m_hooks.takePeerWork(beacon.sender.name, beacon.shares, m_beacons->book().livenessTimeout());
    m_hooks.takePeerPlaceDemands(beacon.sender.name, beacon.placeDemands, m_beacons->book().livenessTimeout());
    m_hooks.takePeerOutcomes(beacon.outcomes);
    m_hooks.takePeerParts(beacon.heldParts);
    m_hooks.takePeerPaces(beacon.paceSamples);
    m_hooks.takePeerPartUses(beacon.partUses);
    if (!beacon.rateLimits.empty())
        m_hooks.takePeerRateLimits(beacon.sender.name, beacon.rateLimits);
    if (beacon.suspects.empty())
        m_suspects.erase(beacon.sender.name);
    else
        m_suspects[beacon.sender.name] = beacon.suspects;
    m_peerPaths[beacon.sender.name] = beacon.paths;
    if (!beacon.isBrief) {
        m_hooks.takePeerReports(beacon.sender.name, beacon.services);
        m_reports[beacon.sender.name] = beacon.services;
    }
    Clock::time_point now = Clock::now();
    Fleet::DaemonState const& said = m_beacons->book().daemons().at(beacon.sender.name).said;
    // Who reads for this daemon knows whether the store is away; while another one is answered, it is not.
    if (said.isReading)
        m_targets.noteReadElsewhere(now);
    else if (said.storeFailingFor.count() > 0 && !m_view.hasLiveReader)
        m_targets.notePeerFailure(now, said.storeFailingFor);
    m_configuration.follower->hear(said, now);
    m_targetList.follower->hear(said, now);
    publishAge();
    m_engineLeases->hear(said.leaseClaimed);
    if (m_dutyLeases)
        m_dutyLeases->hear(said.leaseClaimed);
    bool isNews = said.configVersion > m_view.newest.configVersion || said.targetsChanged > m_view.newest.targetsChanged;
    m_view.newest.configVersion = std::max(m_view.newest.configVersion, said.configVersion);
    m_view.newest.targetsChanged = std::max(m_view.newest.targetsChanged, said.targetsChanged);
    if (isNews)
        wakeTopics();
    m_targets.noteReturnElsewhere(now, beacon.lapseGrace);
    bool isAnyLeaving = m_leaving.hear(beacon.leaving);
    if (isAnyLeaving)
        rebuild();
    bool isOther = m_changing.hear(beacon.sender.name, beacon.changing, beacon.changingTo, now, m_beacons->book().livenessTimeout());
    m_isTargetListChanged = m_isTargetListChanged || isOther;
    becomeReady();
}

void StoreControl::shareAmongDaemons(Clock::time_point now)
{
    m_hooks.setDaemons(m_beacons->book().knownCount());
    std::vector<std::string> sharers;
    for (std::pair<std::string const, Fleet::BookedDaemon> const& it : m_beacons->book().daemons()) {
        // A silent daemon may still send for a while, and a listed one may send before its first beacon.
        if (now - std::max(it.second.heardAt, it.second.knownSince) < sharerTimeout)
            sharers.push_back(it.first);
    }
    m_hooks.setSharers(sharers);
}

void StoreControl::noteLeaving(std::uint64_t target)
{
    if (!m_leaving.noteOwn(target))
        return;
    rebuild();
    m_beacons->sendSoon();
}

// What the requests of all daemons that are heard ask of a service's engines. An output takes a place in a batch and memory, and the
// scarcer of the two counts.
Roles::SplitDemand StoreControl::demandOf(std::string const& service) const
{
    Routing::EngineDemand sum;
    std::function<void(std::vector<Routing::ServiceReport> const&)> add = [&](std::vector<Routing::ServiceReport> const& reports) {
        for (Routing::ServiceReport const& it : reports) {
            if (it.service == service)
                sum += it.demand;
        }
    };
    add(m_hooks.serviceReports());
    Clock::time_point now = Clock::now();
    for (std::pair<std::string const, Fleet::BookedDaemon> const& it : m_beacons->book().daemons()) {
        std::map<std::string, std::vector<Routing::ServiceReport>>::const_iterator said = m_reports.find(it.first);
        if (said != m_reports.end() && m_beacons->book().isLive(it.second, now))
            add(said->second);
    }
    State::ServiceTerms const* terms = m_services ? m_services->find(service) : nullptr;
    // Until it is learnt how long outputs take they ask for nothing, which says nothing of the split.
    if (!terms || !terms->engine || sum.promptEngines <= 0 || sum.outputs <= 0)
        return {};
    double places = sum.outputs / std::max<std::uint32_t>(1, terms->engine->slots);
    double memory = sum.kvTokens / static_cast<double>(std::max<std::uint64_t>(1, terms->engine->kvCapacityTokens));
    return { sum.promptEngines, std::max(places, terms->engine->kvCapacityTokens != 0 ? memory : 0), true, sum.outputs };
}

// This daemon's and those of live peers that have anything to say against a target or a path.
std::vector<Routing::PathReport> StoreControl::pathReports(Clock::time_point now) const
{
    std::vector<Routing::PathReport> reports { { m_hooks.suspects(), m_hooks.paths() } };
    std::map<std::string, Fleet::BookedDaemon> const& daemons = m_beacons->book().daemons();
    for (std::pair<std::string const, std::vector<Routing::PathCounts>> const& it : m_peerPaths) {
        std::map<std::string, Fleet::BookedDaemon>::const_iterator peer = daemons.find(it.first);
        if (peer == daemons.end() || !m_beacons->book().isLive(peer->second, now))
            continue;
        std::map<std::string, std::vector<std::uint64_t>>::const_iterator suspects = m_suspects.find(it.first);
        bool hasFailed = std::any_of(it.second.begin(), it.second.end(), [](Routing::PathCounts const& counts) { return counts.failed > 0; });
        if (hasFailed || suspects != m_suspects.end())
            reports.push_back({ suspects == m_suspects.end() ? std::vector<std::uint64_t>() : suspects->second, it.second });
    }
    return reports;
}

void StoreControl::findUnreachable(Clock::time_point now)
{
    // Outcomes are told with the next beacon, so an answer that is heard later than two of them is younger than the first vote.
    std::chrono::milliseconds settle = 2 * m_beacons->book().beaconInterval();
    std::set<std::uint64_t> unreachable = m_hooks.decideUnreachable(pathReports(now), m_view.live, settle);
    if (unreachable == m_unreachable)
        return;
    m_unreachable = std::move(unreachable);
    logAvoided();
    m_hooks.setAvoided(m_unreachable);
}

std::vector<RelayPeer> StoreControl::relayPeers(Clock::time_point now) const
{
    std::vector<RelayPeer> peers;
    for (std::pair<std::string const, Fleet::BookedDaemon> const& it : m_beacons->book().daemons()) {
        if (!m_beacons->book().isLive(it.second, now) || it.second.said.isLeaving)
            continue;
        std::map<std::string, std::vector<Routing::PathCounts>>::const_iterator paths = m_peerPaths.find(it.first);
        peers.push_back({ it.first, it.second.listed.callerAddress, it.second.listed.availabilityZone == m_settings.daemon.availabilityZone, paths == m_peerPaths.end() ? std::vector<Routing::PathCounts>() : paths->second, it.second.said.recordsStreams });
    }
    return peers;
}

bool StoreControl::isCutOff(std::string const& peer) const
{
    std::map<std::string, std::vector<Routing::PathCounts>>::const_iterator paths = m_peerPaths.find(peer);
    return paths != m_peerPaths.end() && m_hooks.isCutOff(paths->second);
}

// Orders from here would not arrive, and what is known here of the targets is no base for a plan.
void StoreControl::leaveTargetsToPeers(bool isOutOfTouch)
{
    if (std::exchange(m_isOutOfTouch, isOutOfTouch) == isOutOfTouch || !isOutOfTouch)
        return;
    m_engineLeases->giveUp();
    m_beacons->sendSoon();
}

// The list of peers is made only while it is needed, because it takes time at a large site.
void StoreControl::pollPaths(Clock::time_point now)
{
    m_hooks.probePaths();
    bool isNeeded = m_hooks.needsRelays();
    if (isNeeded)
        m_hooks.setRelayPeers(relayPeers(now));
    else if (m_hasRelayPeers)
        m_hooks.setRelayPeers({});
    bool isPeerInTouch = isNeeded && std::any_of(m_beacons->book().daemons().begin(), m_beacons->book().daemons().end(), [&](std::pair<std::string const, Fleet::BookedDaemon> const& it) { return m_beacons->book().isLive(it.second, now) && !it.second.said.isLeaving && !isCutOff(it.first); });
    leaveTargetsToPeers(isPeerInTouch && m_hooks.isCutOff(m_hooks.paths()));
    // Peers must not choose a daemon that needs them itself.
    if (std::exchange(m_hasRelayPeers, isNeeded) != isNeeded)
        m_beacons->sendSoon();
}

void StoreControl::logAvoided() const
{
    std::string names;
    for (FleetTarget const& target : m_fleet->targets) {
        if (m_unreachable.contains(target.key))
            names += (names.empty() ? "" : ",") + target.name;
    }
    Core::logEvent(Core::Severity::Warning, Core::Event::TargetsAvoided, { { "targets", std::to_string(m_unreachable.size()) }, { "of", std::to_string(m_fleet->targets.size()) }, { "names", names.substr(0, loggedNamesBytes) } });
}

// A peer may not have seen yet that a change has ended.
std::optional<Routing::TargetRole> StoreControl::nextRole(Fleet::BookedTarget const& target, std::uint64_t key) const
{
    if (std::optional<Routing::TargetRole> own = m_roles->nextRole(key))
        return own;
    std::optional<Routing::TargetRole> role = m_changing.roleOf(key);
    return role == target.listed.role ? std::nullopt : role;
}

std::string StoreControl::whyClosed(Fleet::BookedTarget const& target, std::uint64_t key) const
{
    if (m_replacedTargets.contains(target.listed.id))
        return "replaced at its address";
    if (isLeaving(target, key))
        return "leaving";
    bool isRoleUnknown = m_changing.contains(key) && !m_changing.roleOf(key);
    if (nextRole(target, key) || isRoleUnknown)
        return "changing its role";
    return {};
}

FleetTarget StoreControl::describeTarget(Fleet::BookedTarget const& booked)
{
    Platform::ListedTarget const& listed = booked.listed;
    std::uint64_t key = keyOf(listed);
    std::pair<std::map<std::uint64_t, std::uint32_t>::iterator, bool> id = m_targetIds.try_emplace(key, m_nextTargetId);
    m_nextTargetId += id.second ? 1 : 0;
    State::ServiceTerms const* terms = m_services->find(listed.service);
    bool isEngine = terms && terms->engine;
    FleetTarget target;
    target.id = id.first->second;
    target.key = key;
    target.name = listed.id;
    target.incarnation = listed.id;
    target.bornAtMs = listed.bornAtMs;
    target.endpoint = listed.address;
    target.kind = isEngine ? Platform::VmKind::Engine : Platform::VmKind::Service;
    (isEngine ? target.model : target.service) = listed.service;
    target.pool = listed.service;
    target.role = isEngine ? listed.role.value_or(Routing::TargetRole::Mixed) : Routing::TargetRole::Mixed;
    target.availabilityZone = listed.availabilityZone;
    target.distance = listed.availabilityZone == m_settings.daemon.availabilityZone ? Routing::ZoneDistance::SameZone : Routing::ZoneDistance::SameRegion;
    target.slots = isEngine ? terms->engine->slots : listed.slots;
    target.kvCapacityTokens = isEngine ? terms->engine->kvCapacityTokens : 0;
    target.release = listed.release;
    target.streamRelease = listed.release;
    target.mayBeginStreams = !m_streamServices.contains(listed.service) || m_streams->mayBegin({ listed.service, listed.release });
    target.isReclaimable = listed.isReclaimable;
    target.isLeaving = isLeaving(booked, key);
    target.nextRole = nextRole(booked, key);
    target.closeReason = whyClosed(booked, key);
    return target;
}

// A target has ended when its entry is gone, or when another process has listed itself at its address since. What has ended as it had
// said it would ended for that.
void StoreControl::noteTargetsGone(FleetSnapshot const& fleet)
{
    std::set<std::uint64_t> before;
    for (FleetTarget const& target : m_fleet->targets)
        before.insert(target.key);
    std::set<std::uint64_t> keys;
    std::map<boost::asio::ip::tcp::endpoint, std::uint64_t> newcomers; // By address.
    for (FleetTarget const& target : fleet.targets) {
        keys.insert(target.key);
        if (!before.contains(target.key))
            newcomers.emplace(target.endpoint, target.key);
    }
    std::vector<std::uint64_t> gone;
    for (FleetTarget const& target : m_fleet->targets) {
        if (!target.isLeaving && (!keys.contains(target.key) || newcomers.contains(target.endpoint)))
            gone.push_back(target.key);
    }
    if (!gone.empty())
        m_hooks.onTargetsGone(gone);
}

// Whether this daemon may take requests: not before it knows which of them end the targets that run them, but for a bounded time.
bool StoreControl::knowsEnough(Clock::time_point now) const
{
    return m_fleet->isReady || (m_listedAt && hasHeardPeers(now) && ((m_quarantine->isCaughtUp() && m_streams->isLoaded()) || now - *m_listedAt >= longestCatchUp));
}

// An address belongs to the process that has listed itself there last. The entry of one that has crashed stays for seconds.
std::set<std::string> StoreControl::findReplacedTargets() const
{
    std::map<boost::asio::ip::tcp::endpoint, std::pair<std::uint64_t, std::string>> newest; // Offset and id, by address.
    std::set<std::string> replaced;
    for (std::pair<std::string const, Fleet::BookedTarget> const& it : m_targets.targets()) {
        Platform::KeyedRecord const* record = m_targetList.follower->replica().find(it.first);
        std::pair<std::uint64_t, std::string> entry { record && !it.second.isLapsed ? record->offset : 0, it.first };
        std::pair<std::uint64_t, std::string>& last = newest.try_emplace(it.second.listed.address, entry).first->second;
        if (last.second == it.first)
            continue;
        if (last.first < entry.first)
            std::swap(last, entry);
        replaced.insert(entry.second);
    }
    return replaced;
}

// A request that is sent there as to a target comes in again as a caller's.
std::set<boost::asio::ip::tcp::endpoint> StoreControl::findDaemonAddresses(Clock::time_point now) const
{
    std::set<boost::asio::ip::tcp::endpoint> addresses { m_settings.callers.listen, m_settings.callers.directory, m_settings.callers.ready, m_settings.peers.listen, m_settings.operators.listen, m_settings.operators.metrics };
    for (std::pair<std::string const, Fleet::BookedDaemon> const& it : m_beacons->book().daemons()) {
        if (m_beacons->book().isLive(it.second, now))
            addresses.insert({ it.second.listed.callerAddress, it.second.listed.peerAddress });
    }
    return addresses;
}

void StoreControl::logDaemonAddress(Platform::ListedTarget const& listed)
{
    bool isNew = m_unusableEntries.size() < mostUnusableEntries && m_unusableEntries.insert(std::hash<std::string>()(listed.id + " at " + Http::toString(listed.address))).second;
    if (isNew)
        Core::logEvent(Core::Severity::Error, Core::Event::TargetEntryUnusable, { { "target", listed.id }, { "error", "a daemon listens at its address" }, { "read", Http::toString(listed.address) } });
}

void StoreControl::rebuild()
{
    if (!m_labels)
        return;
    m_replacedTargets = findReplacedTargets();
    std::vector<State::PlatformTarget> platformTargets;
    std::shared_ptr<FleetSnapshot> fleet = std::make_shared<FleetSnapshot>();
    std::set<std::uint64_t> keys;
    std::map<std::string, std::set<std::string>> releases;
    std::set<boost::asio::ip::tcp::endpoint> daemonAddresses = findDaemonAddresses(Clock::now());
    for (std::pair<std::string const, Fleet::BookedTarget> const& it : m_targets.targets()) {
        if (daemonAddresses.contains(it.second.listed.address)) {
            logDaemonAddress(it.second.listed);
            continue;
        }
        State::ServiceTerms const* terms = m_services->find(it.second.listed.service);
        // An engine that does not say which part of a request it does is none to send work to.
        if (terms && terms->engine && !it.second.listed.role)
            continue;
        FleetTarget target = describeTarget(it.second);
        if (m_streamServices.contains(target.work()))
            releases[target.work()].insert(target.streamRelease);
        keys.insert(target.key);
        Label::LabelSet labels;
        // A value outside the label syntax is left out: no selector could name it.
        std::ignore = labels.set("name", target.name);
        std::ignore = labels.set("zone", it.second.listed.availabilityZone);
        std::ignore = labels.set("kind", Core::nameOf(Platform::vmKindNames, target.kind));
        std::ignore = labels.set(State::serviceLabel, it.second.listed.service);
        platformTargets.push_back({ target.name, std::move(labels) });
        fleet->targets.push_back(std::move(target));
    }
    m_streams->setListed(std::move(releases), Clock::now());
    m_leaving.keepListed(keys, Clock::now());
    noteTargetsGone(*fleet);
    std::erase_if(m_targetIds, [&keys](std::pair<std::uint64_t const, std::uint32_t> const& it) { return !keys.contains(it.first); });
    fleet->view = State::TargetView::create(m_labels, platformTargets);
    fleet->services = m_services;
    fleet->listConfirmedAt = m_listConfirmedAt;
    fleet->configConfirmedAt = m_configConfirmedAt;
    fleet->configVersion = m_services->version;
    Clock::time_point now = Clock::now();
    if (m_targetList.follower->replica().isComplete())
        m_listedAt = m_listedAt.value_or(now);
    fleet->isReady = knowsEnough(now);
    if (fleet->isReady && !m_fleet->isReady && !m_quarantine->isCaughtUp())
        Core::logEvent(Core::Severity::Warning, Core::Event::SuspectsUnknown, { { "waited_ms", std::to_string(longestCatchUp.count()) } });
    m_fleet = std::move(fleet);
    m_hooks.publish(m_fleet);
    if (m_fleet->isReady)
        noteStartStep(StartStep::Ready);
}

}
