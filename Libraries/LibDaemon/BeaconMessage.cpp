#include <Control.pb.h>
#include <LibDaemon/BeaconMessage.h>
#include <LibDaemon/BeaconParts.h>
#include <LibHttp/Client.h>
#include <algorithm>
#include <cmath>

namespace Daemon {

namespace {

constexpr double microsecondsPerSecond = 1e6;
// No clock since boot says more; a datagram may hold anything, and this does not overflow the clock's own unit.
constexpr std::chrono::milliseconds latestClock = std::chrono::days(10 * 365);

constexpr std::chrono::milliseconds latestWallClock = std::chrono::days(200 * 365);

template <typename Message>
Core::Result<Message> parse(std::string_view bytes)
{
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "a message between daemons cannot be decoded");
    return message;
}

// Beacons and entries carry the same fields of a daemon.
template <typename Message>
void fillDaemon(Message& message, Platform::ListedDaemon const& daemon)
{
    message.set_incarnation(daemon.incarnation);
    message.set_availability_zone(daemon.availabilityZone);
    message.set_region(daemon.region);
    message.set_caller_address(Http::toString(daemon.callerAddress));
    message.set_beacon_address(Http::toString({ daemon.beaconAddress.address(), daemon.beaconAddress.port() }));
    message.set_peer_address(Http::toString(daemon.peerAddress));
}

template <typename Message>
Core::Result<Platform::ListedDaemon> readDaemon(std::string const& name, Message const& message)
{
    Platform::ListedDaemon daemon;
    daemon.name = name;
    daemon.incarnation = message.incarnation();
    daemon.availabilityZone = message.availability_zone();
    daemon.region = message.region();
    BOOST_OUTCOME_TRY(daemon.callerAddress, Http::parseEndpoint(message.caller_address()));
    BOOST_OUTCOME_TRY(daemon.peerAddress, Http::parseEndpoint(message.peer_address()));
    BOOST_OUTCOME_TRY(boost::asio::ip::tcp::endpoint beacon, Http::parseEndpoint(message.beacon_address()));
    daemon.beaconAddress = { beacon.address(), beacon.port() };
    return daemon;
}

std::uint32_t toMilliseconds(std::chrono::milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<std::chrono::milliseconds::rep>(time.count(), 0, UINT32_MAX));
}

std::uint64_t toWire(Fleet::Time time)
{
    return static_cast<std::uint64_t>(std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

Fleet::Time fromWire(std::uint64_t milliseconds)
{
    return Fleet::Time(std::chrono::milliseconds(std::min<std::uint64_t>(milliseconds, latestClock.count())));
}

void fillState(Proto::Beacon& message, Fleet::DaemonState const& state)
{
    message.set_is_leaving(state.isLeaving);
    message.set_config_version(state.configVersion);
    message.set_targets_changed(state.targetsChanged);
    message.set_is_reading(state.isReading);
    message.set_cannot_plan(state.cannotPlan);
    message.set_lease_claimed(state.leaseClaimed);
    message.set_records_streams(state.recordsStreams);
    message.set_cannot_hold_duties(state.cannotHoldDuties);
    message.set_store_failing_ms(toMilliseconds(state.storeFailingFor));
    message.set_said_at_ms(toWire(state.saidAt));
    message.set_running_for_ms(static_cast<std::uint64_t>(state.runningFor.count()));
    message.set_started_at_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, state.startedAt.count())));
    if (state.configAge)
        message.set_config_age_ms(toMilliseconds(*state.configAge));
    if (state.targetsAge)
        message.set_targets_age_ms(toMilliseconds(*state.targetsAge));
}

Fleet::DaemonState readState(Proto::Beacon const& message)
{
    Fleet::DaemonState state;
    state.isLeaving = message.is_leaving();
    state.configVersion = message.config_version();
    state.targetsChanged = message.targets_changed();
    state.isReading = message.is_reading();
    state.cannotPlan = message.cannot_plan();
    state.leaseClaimed = message.lease_claimed();
    state.recordsStreams = message.records_streams();
    state.cannotHoldDuties = message.cannot_hold_duties();
    state.storeFailingFor = std::chrono::milliseconds(message.store_failing_ms());
    state.saidAt = fromWire(message.said_at_ms());
    state.runningFor = std::chrono::milliseconds(std::min<std::uint64_t>(message.running_for_ms(), latestClock.count()));
    state.startedAt = std::chrono::milliseconds(std::min<std::uint64_t>(message.started_at_ms(), latestWallClock.count()));
    if (message.has_config_age_ms())
        state.configAge = std::chrono::milliseconds(message.config_age_ms());
    if (message.has_targets_age_ms())
        state.targetsAge = std::chrono::milliseconds(message.targets_age_ms());
    return state;
}

void fillReleases(Proto::StreamReleases& message, std::string const& service, Streams::ReleaseRecord const& record)
{
    message.set_service(service);
    message.set_offset(record.offset);
    for (std::string const& release : record.releases)
        message.add_releases(release);
}

void fillWindow(Proto::UsageWindow& message, Duties::WindowNumber window, Duties::OrganisationCounts const& counts)
{
    message.set_window(window);
    for (std::pair<std::string const, std::uint64_t> const& it : counts) {
        Proto::OrganisationCount* added = message.add_counts();
        added->set_organisation(it.first);
        added->set_count(it.second);
    }
}

Duties::OrganisationCounts readCounts(Proto::UsageWindow const& message)
{
    Duties::OrganisationCounts counts;
    for (Proto::OrganisationCount const& it : message.counts())
        counts[it.organisation()] += it.count();
    return counts;
}

void fillNews(Proto::SuspectNews& message, Quarantine::SuspectNews const& news)
{
    message.set_key_low(news.key.low);
    message.set_key_high(news.key.high);
    message.set_is_survived(!news.ended.has_value());
    if (news.ended) {
        message.set_target(news.ended->incarnation);
        message.set_service(news.ended->service);
        message.set_release(news.ended->release);
        message.set_name(news.ended->name);
    }
    message.set_at_ms(toWire(news.at));
    message.set_begun_ms(toWire(news.begunAt));
}

Quarantine::SuspectNews readNews(Proto::SuspectNews const& message)
{
    Quarantine::SuspectNews news;
    news.key = { message.key_low(), message.key_high() };
    if (!message.is_survived())
        news.ended = Quarantine::SuspectTarget { message.target(), message.service(), message.release(), message.name() };
    news.at = fromWire(message.at_ms());
    news.begunAt = fromWire(message.begun_ms());
    return news;
}

}

std::string encode(BeaconMessage const& beacon)
{
    Proto::Beacon message;
    message.set_name(beacon.sender.name);
    message.set_is_brief(beacon.isBrief);
    if (beacon.isBrief)
        message.set_incarnation(beacon.sender.incarnation);
    else
        fillDaemon(message, beacon.sender);
    message.set_sequence(beacon.sequence);
    fillState(message, beacon.state);
    message.set_lapse_grace_ms(static_cast<std::uint32_t>(beacon.lapseGrace.count()));
    for (Routing::TargetShare const& share : beacon.shares) {
        Proto::TargetShare* added = message.add_shares();
        added->set_target(share.target);
        added->set_prefill_us(static_cast<std::uint32_t>(std::lround(share.work.prefillSeconds * microsecondsPerSecond)));
        added->set_requests(share.work.requests);
        added->set_kv_tokens(share.work.kvTokens);
    }
    for (Routing::OutcomeCounts const& outcomes : beacon.outcomes) {
        Proto::Outcomes* added = message.add_outcomes();
        added->set_target(outcomes.target);
        added->set_good(outcomes.good);
        added->set_bad(outcomes.bad);
    }
    for (Routing::HeldPart const& part : beacon.heldParts) {
        Proto::HeldPart* added = message.add_held_parts();
        added->set_hash(part.hash);
        added->set_target(part.target);
    }
    for (Routing::ServiceReport const& report : beacon.services) {
        if (!beacon.isBrief)
            fillReport(*message.add_services(), report);
    }
    for (std::uint64_t target : beacon.leaving)
        message.add_leaving(target);
    for (Quarantine::SuspectNews const& news : beacon.suspectNews)
        fillNews(*message.add_suspect_news(), news);
    if (beacon.suspectDigest)
        message.set_suspect_digest(*beacon.suspectDigest);
    message.set_wall_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(0, beacon.wallClock.count())));
    message.set_usage_closed_before(beacon.usage.closedBefore);
    message.set_usage_settled_before(beacon.usage.settledBefore);
    for (std::pair<Duties::WindowNumber const, Duties::OrganisationCounts> const& it : beacon.usage.windows)
        fillWindow(*message.add_usage(), it.first, it.second);
    for (std::pair<std::string const, double> const& it : beacon.sizedDemands) {
        Proto::SizedDemand* added = message.add_sized_demands();
        added->set_service(it.first);
        added->set_engines(static_cast<float>(it.second));
    }
    for (Routing::RateLimitReport const& it : beacon.rateLimits) {
        Proto::RateLimit* added = message.add_rate_limits();
        added->set_target(it.target);
        if (it.perSecond)
            added->set_per_second(*it.perSecond);
        added->set_age_ms(toMilliseconds(it.age));
    }
    for (std::uint64_t target : beacon.changing) {
        message.add_changing(target);
        std::map<std::uint64_t, Routing::TargetRole>::const_iterator role = beacon.changingTo.find(target);
        message.add_changing_to(role == beacon.changingTo.end() ? std::string() : std::string(Core::nameOf(Routing::targetRoleNames, role->second)));
    }
    for (std::uint64_t target : beacon.suspects)
        message.add_suspects(target);
    for (Routing::PathCounts const& it : beacon.paths) {
        Proto::PathCounts* added = message.add_paths();
        added->set_service(it.service);
        added->set_reached(it.reached);
        added->set_failed(it.failed);
    }
    for (Admission::PlaceDemand const& it : beacon.placeDemands)
        fillPlaceDemand(*message.add_place_demands(), it);
    for (Routing::PaceSample const& it : beacon.paceSamples)
        fillPaceSample(*message.add_pace_samples(), it);
    for (Routing::PartUse const& it : beacon.partUses) {
        Proto::PartUse* added = message.add_part_uses();
        added->set_part(it.part);
        added->set_uses(it.uses);
    }
    for (std::pair<std::string const, Streams::ReleaseRecord> const& it : beacon.streamReleases) {
        if (!beacon.isBrief || beacon.hasReleaseNews)
            fillReleases(*message.add_stream_releases(), it.first, it.second);
    }
    return message.SerializeAsString();
}

Core::Result<BeaconMessage> decodeBeacon(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(Proto::Beacon message, parse<Proto::Beacon>(bytes));
    BeaconMessage beacon;
    beacon.isBrief = message.is_brief();
    if (beacon.isBrief) {
        beacon.sender.name = message.name();
        beacon.sender.incarnation = message.incarnation();
    } else {
        BOOST_OUTCOME_TRY(beacon.sender, readDaemon(message.name(), message));
    }
    beacon.sequence = message.sequence();
    beacon.state = readState(message);
    beacon.lapseGrace = std::chrono::milliseconds(message.lapse_grace_ms());
    for (Proto::TargetShare const& share : message.shares())
        beacon.shares.push_back({ share.target(), { share.prefill_us() / microsecondsPerSecond, share.requests(), share.kv_tokens() } });
    for (Proto::Outcomes const& outcomes : message.outcomes())
        beacon.outcomes.push_back({ outcomes.target(), outcomes.good(), outcomes.bad() });
    for (Proto::HeldPart const& part : message.held_parts())
        beacon.heldParts.push_back({ part.hash(), part.target() });
    for (Proto::ServiceReport const& report : message.services()) {
        if (isUsable(report))
            beacon.services.push_back(readReport(report));
    }
    beacon.leaving.assign(message.leaving().begin(), message.leaving().end());
    for (Proto::SuspectNews const& news : message.suspect_news())
        beacon.suspectNews.push_back(readNews(news));
    if (message.has_suspect_digest())
        beacon.suspectDigest = message.suspect_digest();
    beacon.wallClock = std::chrono::milliseconds(std::min<std::uint64_t>(message.wall_ms(), latestWallClock.count()));
    beacon.usage.closedBefore = message.usage_closed_before();
    beacon.usage.settledBefore = message.usage_settled_before();
    for (Proto::UsageWindow const& window : message.usage())
        beacon.usage.windows[window.window()] = readCounts(window);
    for (Proto::SizedDemand const& it : message.sized_demands()) {
        if (std::isfinite(it.engines()) && it.engines() >= 0)
            beacon.sizedDemands[it.service()] = it.engines();
    }
    for (Proto::RateLimit const& it : message.rate_limits()) {
        bool isUsable = !it.has_per_second() || (std::isfinite(it.per_second()) && it.per_second() >= 0);
        if (isUsable)
            beacon.rateLimits.push_back({ it.target(), it.has_per_second() ? std::optional<double>(it.per_second()) : std::nullopt, std::chrono::milliseconds(it.age_ms()) });
    }
    beacon.changing.assign(message.changing().begin(), message.changing().end());
    for (int n = 0; n < std::min(message.changing_size(), message.changing_to_size()); ++n) {
        if (std::optional<Routing::TargetRole> role = Core::valueOf(Routing::targetRoleNames, message.changing_to(n)))
            beacon.changingTo.emplace(message.changing(n), *role);
    }
    beacon.suspects.assign(message.suspects().begin(), message.suspects().end());
    for (Proto::PathCounts const& it : message.paths())
        beacon.paths.push_back({ it.service(), it.reached(), it.failed() });
    for (Proto::PlaceDemand const& it : message.place_demands())
        beacon.placeDemands.push_back(readPlaceDemand(it));
    for (Proto::PaceSample const& it : message.pace_samples()) {
        if (std::optional<Routing::PaceSample> sample = readPaceSample(it))
            beacon.paceSamples.push_back(*sample);
    }
    for (Proto::PartUse const& it : message.part_uses())
        beacon.partUses.push_back({ it.part(), it.uses() });
    for (Proto::StreamReleases const& it : message.stream_releases())
        beacon.streamReleases.emplace(it.service(), Streams::ReleaseRecord { it.offset(), { it.releases().begin(), it.releases().end() } });
    return beacon;
}

std::string encode(Duties::UsageReport const& report)
{
    Proto::UsageWindow message;
    fillWindow(message, report.window, report.counts);
    return message.SerializeAsString();
}

Core::Result<Duties::UsageReport> decodeUsageReport(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(Proto::UsageWindow message, parse<Proto::UsageWindow>(bytes));
    return Duties::UsageReport { message.window(), readCounts(message) };
}

std::string encode(Platform::ListedDaemon const& daemon)
{
    Proto::DaemonEntry message;
    fillDaemon(message, daemon);
    return message.SerializeAsString();
}

Core::Result<Platform::ListedDaemon> decodeListedDaemon(std::string const& name, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(Proto::DaemonEntry message, parse<Proto::DaemonEntry>(bytes));
    return readDaemon(name, message);
}

std::string encode(Authority::StoreLeaseHolder const& holder)
{
    Proto::LeaseClaim message;
    message.set_daemon(holder.daemon);
    message.set_incarnation(holder.incarnation);
    return message.SerializeAsString();
}

Core::Result<Authority::StoreLeaseHolder> decodeLeaseHolder(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(Proto::LeaseClaim message, parse<Proto::LeaseClaim>(bytes));
    return Authority::StoreLeaseHolder { message.daemon(), message.incarnation() };
}

}
