#include <LibSettings/DaemonSettings.h>
#include <LibSettings/IniReader.h>
#include <LibSettings/Key.h>
#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace Settings {

namespace {

using Owned = DaemonSettings;
using DaemonKey = Key<DaemonSettings>;

constexpr std::uint64_t maximumBytes = 1U << 30U;
constexpr std::uint64_t maximumMilliseconds = 24ULL * 3600 * 1000;
constexpr std::size_t maximumNameLength = 63;
constexpr std::size_t minimumTokenLength = 16;

auto const daemonOf = [](Owned& it) -> Owned::Daemon& { return it.daemon; };
auto const callersOf = [](Owned& it) -> Owned::Callers& { return it.callers; };
auto const serverOf = [](Owned& it) -> Http::ServerSettings& { return it.callers.server; };
auto const keysOf = [](Owned& it) -> Access::GateSettings& { return it.callers.keys; };
auto const operatorsOf = [](Owned& it) -> Owned::Operators& { return it.operators; };
auto const peersOf = [](Owned& it) -> Owned::Peers& { return it.peers; };
auto const platformOf = [](Owned& it) -> Owned::Platform& { return it.platform; };
auto const dutiesOf = [](Owned& it) -> Owned::Duties& { return it.duties; };
auto const limitsOf = [](Owned& it) -> Owned::Limits& { return it.limits; };
auto const splitOf = [](Owned& it) -> Roles::SplitSettings& { return it.split; };
auto const sizerOf = [](Owned& it) -> Roles::FleetSizerSettings& { return it.sizer; };
auto const targetsOf = [](Owned& it) -> Http::ClientSettings& { return it.targets; };
auto const targetLivenessOf = [](Owned& it) -> Http::SocketLiveness& { return it.targets.liveness; };
auto const callerLivenessOf = [](Owned& it) -> Http::SocketLiveness& { return it.callers.server.liveness; };
auto const routingOf = [](Owned& it) -> Routing::Settings& { return it.routing; };

template <typename Owner, typename Struct>
DaemonKey endpointKey(std::string section, std::string name, std::string description, Owner owner, Owned::Endpoint Struct::* member)
{
    DaemonKey key { std::move(section), std::move(name), "an IP address and a port, such as 127.0.0.1:8080", std::move(description), true, {}, {} };
    key.read = [=](Owned& settings, std::string_view text) -> Core::Result<void> {
        BOOST_OUTCOME_TRY(Owned::Endpoint endpoint, Http::parseEndpoint(text));
        owner(settings).*member = endpoint;
        return Core::ok();
    };
    key.print = [=](Owned const& settings) { return Http::toString(owner(const_cast<Owned&>(settings)).*member); };
    return key;
}

DaemonKey optional(DaemonKey key)
{
    key.isRequired = false;
    key.print = [print = key.print](Owned const& settings) {
        std::string text = print(settings);
        return text.ends_with(":0") ? std::string() : text;
    };
    return key;
}

template <typename Owner, typename Struct>
DaemonKey addressKey(std::string section, std::string name, std::string description, Owner owner, std::optional<boost::asio::ip::address> Struct::* member)
{
    DaemonKey key { std::move(section), std::move(name), "an IP address, such as 10.0.0.1", std::move(description), false, {}, {} };
    key.read = [=](Owned& settings, std::string_view text) -> Core::Result<void> {
        boost::system::error_code ec;
        boost::asio::ip::address address = boost::asio::ip::make_address(std::string(text), ec);
        if (ec)
            return Core::fail(Core::ErrorCode::BadInput, "read \"" + std::string(text) + "\"; allowed is an IP address, such as 10.0.0.1");
        owner(settings).*member = address;
        return Core::ok();
    };
    key.print = [=](Owned const& settings) {
        std::optional<boost::asio::ip::address> const& address = owner(const_cast<Owned&>(settings)).*member;
        return address ? address->to_string() : std::string();
    };
    return key;
}

template <typename Owner, typename Struct>
DaemonKey nameKey(std::string section, std::string name, std::string description, Owner owner, std::string Struct::* member)
{
    DaemonKey key { std::move(section), std::move(name), "1 to 63 letters, digits, '-', '_' or '.'", std::move(description), true, {}, {} };
    key.read = [=](Owned& settings, std::string_view text) -> Core::Result<void> {
        bool isName = !text.empty() && text.size() <= maximumNameLength && std::all_of(text.begin(), text.end(), [](unsigned char c) {
            return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
        });
        if (!isName)
            return Core::fail(Core::ErrorCode::BadInput, "read \"" + std::string(text) + "\"; allowed is 1 to 63 letters, digits, '-', '_' or '.'");
        owner(settings).*member = std::string(text);
        return Core::ok();
    };
    key.print = [=](Owned const& settings) { return owner(const_cast<Owned&>(settings)).*member; };
    return key;
}

template <typename Owner, typename Struct>
DaemonKey fractionKey(std::string section, std::string name, std::string description, double low, double high, Owner owner, double Struct::* member)
{
    DaemonKey key { std::move(section), std::move(name), "a number from " + printFraction(low) + " to " + printFraction(high), std::move(description), false, {}, {} };
    key.read = [=](Owned& settings, std::string_view text) -> Core::Result<void> {
        BOOST_OUTCOME_TRY(double number, readFraction(text, low, high));
        owner(settings).*member = number;
        return Core::ok();
    };
    key.print = [=](Owned const& settings) { return printFraction(owner(const_cast<Owned&>(settings)).*member); };
    return key;
}

template <typename Enum, std::size_t Size, typename Owner, typename Struct>
DaemonKey choiceKey(std::string section, std::string name, std::string description, Core::EnumNames<Enum, Size> const& names, Owner owner, Enum Struct::* member)
{
    std::string allowed = "one of";
    for (std::pair<Enum, std::string_view> const& entry : names)
        allowed += " " + std::string(entry.second);
    DaemonKey key { std::move(section), std::move(name), allowed, std::move(description), false, {}, {} };
    key.read = [=](Owned& settings, std::string_view text) -> Core::Result<void> {
        std::optional<Enum> value = Core::valueOf(names, text);
        if (!value)
            return Core::fail(Core::ErrorCode::BadInput, "read \"" + std::string(text) + "\"; allowed is " + allowed);
        owner(settings).*member = *value;
        return Core::ok();
    };
    key.print = [=](Owned const& settings) { return std::string(Core::nameOf(names, owner(const_cast<Owned&>(settings)).*member)); };
    return key;
}

template <typename Owner, typename Struct>
DaemonKey secondsKey(std::string section, std::string name, std::string description, Owner owner, Owned::Milliseconds Struct::* member)
{
    constexpr double mostSeconds = 24 * 3600;
    constexpr double millisecondsPerSecond = 1'000;
    DaemonKey key { std::move(section), std::move(name), "a number of seconds from 0 to " + printFraction(mostSeconds), std::move(description), false, {}, {} };
    key.read = [=](Owned& settings, std::string_view text) -> Core::Result<void> {
        BOOST_OUTCOME_TRY(double seconds, readFraction(text, 0, mostSeconds));
        owner(settings).*member = Owned::Milliseconds(std::llround(seconds * millisecondsPerSecond));
        return Core::ok();
    };
    key.print = [=](Owned const& settings) { return printFraction(static_cast<double>((owner(const_cast<Owned&>(settings)).*member).count()) / millisecondsPerSecond); };
    return key;
}

template <typename Owner, typename Struct>
DaemonKey flagKey(std::string section, std::string name, std::string description, Owner owner, bool Struct::* member)
{
    DaemonKey key { std::move(section), std::move(name), "yes or no", std::move(description), false, {}, {} };
    key.read = [=](Owned& settings, std::string_view text) -> Core::Result<void> {
        if (text != "yes" && text != "no")
            return Core::fail(Core::ErrorCode::BadInput, "read \"" + std::string(text) + "\"; allowed is yes or no");
        owner(settings).*member = text == "yes";
        return Core::ok();
    };
    key.print = [=](Owned const& settings) { return owner(const_cast<Owned&>(settings)).*member ? "yes" : "no"; };
    return key;
}

DaemonKey tokenKey()
{
    std::string allowed = "16 or more printable characters without spaces";
    DaemonKey key { "operators", "token", allowed, "The bearer token that operators show (kind log-and-list).", false, {}, {} };
    key.read = [allowed](Owned& settings, std::string_view text) -> Core::Result<void> {
        bool isToken = text.size() >= minimumTokenLength && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isgraph(c) != 0; });
        if (!isToken)
            return Core::fail(Core::ErrorCode::BadInput, "read " + std::to_string(text.size()) + " characters; allowed is " + allowed);
        settings.operators.token = std::string(text);
        return Core::ok();
    };
    key.print = [](Owned const&) { return std::string(); };
    return key;
}

void addDaemonKeys(std::vector<DaemonKey>& keys)
{
    keys.push_back(nameKey("daemon", "name", "This daemon's name, as in the VM list.", daemonOf, &Owned::Daemon::name));
    keys.push_back(nameKey("daemon", "availability_zone", "The availability zone of this VM.", daemonOf, &Owned::Daemon::availabilityZone));
    keys.push_back(nameKey("daemon", "region", "The region of this VM.", daemonOf, &Owned::Daemon::region));
    keys.push_back(numberKey<Owned>("daemon", "traffic_threads", "Threads that serve requests, beside the control thread.", 1, 64, daemonOf, &Owned::Daemon::trafficThreads));
    keys.push_back(secondsKey("daemon", "stop_within_s", "A process that was asked to stop is killed after this time; 0: it is not.", daemonOf, &Owned::Daemon::stopWithin));
    keys.push_back(choiceKey("daemon", "log_level", "The least severity that is logged.", Core::severityNames, daemonOf, &Owned::Daemon::logLevel));
}

void addListenerKeys(std::vector<DaemonKey>& keys)
{
    keys.push_back(endpointKey("callers", "listen", "Where callers connect; also the address that they are told.", callersOf, &Owned::Callers::listen));
    keys.push_back(numberKey<Owned>("callers", "head_limit_bytes", "Largest request line and fields.", 1024, maximumBytes, serverOf, &Http::ServerSettings::headLimit));
    keys.push_back(numberKey<Owned>("callers", "body_limit_bytes", "Largest request body.", 1, maximumBytes, serverOf, &Http::ServerSettings::bodyLimit));
    keys.push_back(numberKey<Owned>("callers", "head_timeout_ms", "Time for a request's head to arrive.", 1, maximumMilliseconds, serverOf, &Http::ServerSettings::headTimeout));
    keys.push_back(numberKey<Owned>("callers", "body_timeout_ms", "Time for a request's body to arrive.", 1, maximumMilliseconds, serverOf, &Http::ServerSettings::bodyTimeout));
    keys.push_back(numberKey<Owned>("callers", "idle_timeout_ms", "How long an unused connection is kept.", 1, maximumMilliseconds, serverOf, &Http::ServerSettings::idleTimeout));
    keys.push_back(numberKey<Owned>("callers", "connection_limit", "Most open connections per traffic thread; all threads together use three quarters of the process's descriptors at the most.", 1, 1'000'000, serverOf, &Http::ServerSettings::connectionLimit));
    keys.push_back(numberKey<Owned>("callers", "list_hold_ms", "How long callers may keep the list of addresses; a leaving daemon serves at least that long.", 100, maximumMilliseconds, callersOf, &Owned::Callers::listHold));
    keys.push_back(numberKey<Owned>("callers", "leave_hold_ms", "How long a leaving daemon goes on accepting, where callers keep the list for longer than they are told; 0: for list_hold_ms.", 0, maximumMilliseconds, callersOf, &Owned::Callers::leaveHold));
    keys.push_back(numberKey<Owned>("callers", "default_deadline_ms", "Deadline of a request that names none.", 1, maximumMilliseconds, callersOf, &Owned::Callers::defaultDeadline));
    keys.push_back(numberKey<Owned>("callers", "longest_deadline_ms", "Longest deadline that a request may ask for.", 1, maximumMilliseconds, callersOf, &Owned::Callers::longestDeadline));
    keys.push_back(optional(endpointKey("callers", "directory", "Where callers ask which daemons to use.", callersOf, &Owned::Callers::directory)));
    keys.push_back(optional(endpointKey("callers", "ready", "Where the platform asks whether this daemon takes requests.", callersOf, &Owned::Callers::ready)));
    keys.push_back(numberKey<Owned>("callers", "key_refused_within_ms", "A caller's key is only refused by a configuration that is no older; by an older one the request gets 503 (kind keyed-store).", 1, maximumMilliseconds, keysOf, &Access::GateSettings::refuseWithin));
    keys.push_back(flagKey("callers", "key_strict", "Whether keys are accepted, too, only by a configuration that is no older than key_accepted_within_ms: a key that was taken away ends everywhere, and a daemon that is cut off from the store serves nobody who needs a key (kind keyed-store).", keysOf, &Access::GateSettings::isStrict));
    keys.push_back(numberKey<Owned>("callers", "key_accepted_within_ms", "The oldest configuration by which keys are accepted, with key_strict.", 1, maximumMilliseconds, keysOf, &Access::GateSettings::acceptWithin));
    keys.push_back(endpointKey("operators", "listen", "Where operators, metrics and health checks connect.", operatorsOf, &Owned::Operators::listen));
    keys.push_back(optional(endpointKey("operators", "metrics", "Where metrics are fetched, beside [operators] listen (kind keyed-store).", operatorsOf, &Owned::Operators::metrics)));
    keys.push_back(tokenKey());
    keys.push_back(endpointKey("peers", "listen", "Where other daemons connect.", peersOf, &Owned::Peers::listen));
    keys.push_back(optional(endpointKey("peers", "beacon", "Where other daemons' beacons come in, over UDP (kind keyed-store).", peersOf, &Owned::Peers::beacon)));
    keys.push_back(fractionKey("peers", "link_mbps", "Bandwidth of the VM's link in Mbit/s; what goes to other daemons is paced by it.", 0.1, 1e6, peersOf, &Owned::Peers::linkMegabitsPerSecond));
}

void addPlatformKeys(std::vector<DaemonKey>& keys)
{
    keys.push_back(choiceKey("platform", "kind", "Which services the platform has.", Owned::platformKindNames, platformOf, &Owned::Platform::kind));
    keys.push_back(optional(endpointKey("platform", "store", "The platform's store of keyed records (kind keyed-store).", platformOf, &Owned::Platform::store)));
    keys.push_back(optional(endpointKey("platform", "log", "The platform's log service (kind log-and-list).", platformOf, &Owned::Platform::log)));
    keys.push_back(optional(endpointKey("platform", "vms", "The platform's list of VMs (kind log-and-list).", platformOf, &Owned::Platform::vms)));
    keys.push_back(numberKey<Owned>("platform", "news_within_ms", "How soon after a change in the store every daemon is to act on it (kind keyed-store).", 1'000, maximumMilliseconds, platformOf, &Owned::Platform::newsWithin));
    keys.push_back(numberKey<Owned>("platform", "leaving_within_ms", "How soon after a target's word that it leaves, or its end, no request reaches it (kind keyed-store).", 1'000, maximumMilliseconds, platformOf, &Owned::Platform::leavingWithin));
    keys.push_back(numberKey<Owned>("platform", "lease_quiet_ms", "Least time between orders of two lease holders (kind keyed-store).", 0, maximumMilliseconds, platformOf, &Owned::Platform::leaseQuiet));
    keys.push_back(flagKey("platform", "orders_fenced", "Whether targets refuse each number of a lease below one that they have seen; if not, a former holder is waited for (kind keyed-store).", platformOf, &Owned::Platform::areOrdersFenced));
    keys.push_back(numberKey<Owned>("platform", "vms_interval_ms", "Time between two reads of the VM list.", 10, maximumMilliseconds, platformOf, &Owned::Platform::vmsInterval));
    keys.push_back(numberKey<Owned>("platform", "state_interval_ms", "Time between two reads of a target's state.", 10, maximumMilliseconds, platformOf, &Owned::Platform::stateInterval));
    keys.push_back(numberKey<Owned>("platform", "retry_delay_ms", "Time before another try when the platform does not answer.", 10, maximumMilliseconds, platformOf, &Owned::Platform::retryDelay));
    keys.push_back(numberKey<Owned>("platform", "retained_records", "How many records the log keeps of a stream; 0: no such limit.", 0, UINT32_MAX, platformOf, &Owned::Platform::retainedRecords));
}

void addDutyKeys(std::vector<DaemonKey>& keys)
{
    keys.push_back(optional(endpointKey("duties", "service", "What takes the calls that one daemon at a time makes: reports of usage, orders for engines (kind keyed-store).", dutiesOf, &Owned::Duties::service)));
    keys.push_back(fractionKey("duties", "calls_per_s", "Calls that it takes, of all daemons together.", 0.1, 1e6, dutiesOf, &Owned::Duties::callsPerSecond));
    keys.push_back(secondsKey("duties", "report_window_s", "The length of a window of usage; 0: usage is not reported.", dutiesOf, &Owned::Duties::usageWindow));
    keys.push_back(secondsKey("duties", "report_due_s", "When a window's report is due, after its end.", dutiesOf, &Owned::Duties::usageDue));
    keys.push_back(flagKey("duties", "fenced", "Whether the service refuses each number below one that it has seen; if not, a former holder is waited for.", dutiesOf, &Owned::Duties::isFenced));
}

void addLimitKeys(std::vector<DaemonKey>& keys)
{
    keys.push_back(numberKey<Owned>("limits", "in_flight_per_target", "Requests that this daemon has open at one target.", 1, 1'000'000, limitsOf, &Owned::Limits::inFlightPerTarget));
    keys.push_back(numberKey<Owned>("limits", "queued_per_target", "Requests that wait for one target.", 0, 1'000'000, limitsOf, &Owned::Limits::queuedPerTarget));
    keys.push_back(numberKey<Owned>("limits", "in_flight_per_organisation", "Requests that one organisation has open here.", 1, 1'000'000, limitsOf, &Owned::Limits::inFlightPerOrganisation));
    keys.push_back(numberKey<Owned>("limits", "queued_per_organisation", "Requests of one organisation that wait here.", 0, 1'000'000, limitsOf, &Owned::Limits::queuedPerOrganisation));
    keys.push_back(numberKey<Owned>("limits", "kept_answer_bytes", "Memory for answers kept until they are collected.", 1024, maximumBytes, limitsOf, &Owned::Limits::keptAnswerBytes));
    keys.push_back(fractionKey("limits", "retry_ratio", "Retries allowed per first send.", 0, 1, limitsOf, &Owned::Limits::retryRatio));
    keys.push_back(fractionKey("limits", "retry_extra", "Retries in a window beyond the ratio, for all daemons together; 0: each daemon has a few of its own.", 0, 1e6, limitsOf, &Owned::Limits::retryExtra));
    keys.push_back(secondsKey("limits", "retry_window_s", "The window that the extra retries are for.", limitsOf, &Owned::Limits::retryWindow));
    keys.push_back(flagKey("limits", "share_places", "Whether daemons divide the places of targets among themselves while these are scarce (kind keyed-store).", limitsOf, &Owned::Limits::sharesPlaces));
    keys.push_back(flagKey("limits", "repeat_overdue_prompts", "Whether a prompt that takes much longer than such prompts do is computed at another target, within the route's attempts and the retry budget.", limitsOf, &Owned::Limits::repeatsOverduePrompts));
    keys.push_back(numberKey<Owned>("limits", "event_bytes", "Longest event of a stream, which is held until it is whole; a stream with a longer one is broken off.", 1024, maximumBytes, limitsOf, &Owned::Limits::eventBytes));
    keys.push_back(numberKey<Owned>("limits", "memory_mb", "Memory that the process may hold, in MB. A quarter of it is for requests that arrive, wait or run: those that find no room are refused with 503, and what arrives slowest makes room first. 0: the machine's.", 0, 1'000'000, limitsOf, &Owned::Limits::memoryMegabytes));
    keys.push_back(numberKey<Owned>("limits", "held_answer_bytes", "Memory for answers that callers have not read yet; beyond it the slowest reader's connection is closed; 0: an eighth of memory_mb.", 0, maximumBytes, limitsOf, &Owned::Limits::heldAnswerBytes));
    keys.push_back(numberKey<Owned>("targets", "connect_timeout_ms", "Time for a connection to a target to be made.", 1, maximumMilliseconds, targetsOf, &Http::ClientSettings::connectTimeout));
    keys.push_back(addressKey("targets", "local_address", "The local address of connections to targets, on a VM with several; left out: the kernel chooses.", targetsOf, &Http::ClientSettings::localAddress));
    keys.push_back(numberKey<Owned>("targets", "keep_ms", "How long an unused connection to a target is kept.", 0, maximumMilliseconds, targetsOf, &Http::ClientSettings::keepTime));
    keys.push_back(numberKey<Owned>("targets", "unacknowledged_ms", "A target's host counts as silent when bytes wait for this long and it acknowledges nothing; one that does not read but acknowledges does not. What may be repeated is then sent elsewhere, and all else waits until the host answers new connections and still nothing on this one. 0: the kernel's time.", 0, maximumMilliseconds, targetLivenessOf, &Http::SocketLiveness::unacknowledged));
    keys.push_back(numberKey<Owned>("targets", "probe_s", "A connection without traffic is probed this often; three probes without an answer end it unless a request waits on it. 0: not at all.", 0, 3600, targetLivenessOf, &Http::SocketLiveness::probeAfter));
    keys.push_back(numberKey<Owned>("callers", "unacknowledged_ms", "A connection ends when bytes of an answer wait for this long and the caller's host acknowledges nothing. 0: the kernel's time.", 0, maximumMilliseconds, callerLivenessOf, &Http::SocketLiveness::unacknowledged));
    keys.push_back(numberKey<Owned>("callers", "probe_s", "As for [targets].", 0, 3600, callerLivenessOf, &Http::SocketLiveness::probeAfter));
    keys.push_back(choiceKey("routing", "policy", "How a target is chosen among the allowed ones.", Routing::policyNames, routingOf, &Routing::Settings::policy));
    keys.push_back(fractionKey("routing", "stray_weight", "How much more the cost of a shared part counts where it is not at home (policy prompt-home).", 0, 100, routingOf, &Routing::Settings::nonHomeWeight));
    keys.push_back(fractionKey("routing", "second_home_weight", "The same at its second home.", 0, 100, routingOf, &Routing::Settings::secondHomeWeight));
    keys.push_back(flagKey("routing", "learn_pace", "Whether daemons learn from their answers how fast each target is and how many requests at once it takes well.", routingOf, &Routing::Settings::learnsPace));
    keys.push_back(flagKey("routing", "spread_parts", "Whether, where targets clearly differ in speed, fast ones are home to most shared parts, and parts that many prompts ask for get more homes (policy prompt-home).", routingOf, &Routing::Settings::spreadsParts));
    keys.push_back(fractionKey("routing", "far_kv_s", "Extra wait accepted to fetch a prompt's KV cache within the availability zone.", 0, 60, routingOf, &Routing::Settings::crossZoneKvSeconds));
    keys.push_back(fractionKey("roles", "decode_share", "The part of the engines that decodes until the demand is known (kind keyed-store).", 0.01, 0.99, splitOf, &Roles::SplitSettings::decodeShare));
    keys.push_back(numberKey<Owned>("roles", "least_decode", "Engines that decode at least.", 1, 1'000, splitOf, &Roles::SplitSettings::leastDecode));
    keys.push_back(numberKey<Owned>("roles", "patience_ms", "How long a side is short before an engine changes its role.", 0, maximumMilliseconds, splitOf, &Roles::SplitSettings::patience));
    keys.push_back(fractionKey("engines", "utilisation", "How busy engines at the full price are to be, where they may be ordered; the cheaper they are, the less busy (kind keyed-store).", 0.05, 1, sizerOf, &Roles::FleetSizerSettings::utilisation));
    keys.push_back(fractionKey("engines", "strained_utilisation", "How busy engines may be when all that the platform can take back in one availability zone are gone.", 0.05, 1, sizerOf, &Roles::FleetSizerSettings::strainedUtilisation));
    keys.push_back(fractionKey("engines", "lasting_part", "The part of the demand that engines which the platform cannot take back are to carry alone, so strained.", 0, 1, sizerOf, &Roles::FleetSizerSettings::lastingPart));
    keys.push_back(numberKey<Owned>("engines", "patience_ms", "How long there are too many engines before fewer are ordered.", 0, maximumMilliseconds, sizerOf, &Roles::FleetSizerSettings::patience));
    keys.push_back(fractionKey("routing", "imbalance_s", "Extra wait accepted for a cached prefix.", 0, 60, routingOf, &Routing::Settings::imbalanceSeconds));
}

std::vector<DaemonKey> const& daemonKeys()
{
    static std::vector<DaemonKey> const keys = [] {
        std::vector<DaemonKey> all;
        addDaemonKeys(all);
        addListenerKeys(all);
        addPlatformKeys(all);
        addDutyKeys(all);
        addLimitKeys(all);
        return all;
    }();
    return keys;
}

std::string place(std::string_view fileName, IniEntry const& entry)
{
    return std::string(fileName) + ":" + std::to_string(entry.line) + ": [" + entry.section + "] " + entry.key + ": ";
}

std::string allowedKeys(std::string const& section)
{
    std::string names;
    for (DaemonKey const& key : daemonKeys()) {
        if (key.section == section)
            names += " " + key.name;
    }
    if (!names.empty())
        return "allowed keys are" + names;
    std::set<std::string> sections;
    for (DaemonKey const& key : daemonKeys())
        sections.insert(key.section);
    for (std::string const& name : sections)
        names += " [" + name + "]";
    return "allowed sections are" + names;
}

DaemonKey const* findKey(IniEntry const& entry)
{
    for (DaemonKey const& key : daemonKeys()) {
        if (key.section == entry.section && key.name == entry.key)
            return &key;
    }
    return nullptr;
}

// Collects every problem of a file, so that one run of the check shows them all.
class FileReader {
public:
    explicit FileReader(std::string_view fileName)
        : m_fileName(fileName)
    {
    }

    void read(IniFile const& file)
    {
        for (std::size_t line : file.malformedLines)
            m_problems += std::string(m_fileName) + ":" + std::to_string(line) + ": not INI; allowed are [section], key = value and comments\n";
        for (IniEntry const& entry : file.entries)
            readEntry(entry);
        for (DaemonKey const& key : daemonKeys()) {
            if (key.isRequired && !m_lines.contains(&key))
                m_problems += std::string(m_fileName) + ": [" + key.section + "] " + key.name + ": missing; allowed is " + key.allowed + "\n";
        }
        checkPlatform();
        if (m_settings.callers.keys.isStrict && m_settings.callers.keys.acceptWithin < m_settings.platform.newsWithin)
            m_problems += std::string(m_fileName) + ": [callers] key_accepted_within_ms: read " + std::to_string(m_settings.callers.keys.acceptWithin.count()) + "; allowed with key_strict is no less than [platform] news_within_ms, or keys would be refused while all is well\n";
        if (m_settings.callers.defaultDeadline > m_settings.callers.longestDeadline)
            m_problems += std::string(m_fileName) + ": [callers] default_deadline_ms: larger than longest_deadline_ms\n";
    }

    std::string const& problems() const { return m_problems; }
    DaemonSettings const& settings() const { return m_settings; }

private:
    // Which endpoints are needed depends on the kind of platform.
    void checkPlatform()
    {
        bool isStore = m_settings.platform.kind == Owned::PlatformKind::KeyedStore;
        require(isStore, "platform", "store", m_settings.platform.store);
        require(isStore, "peers", "beacon", m_settings.peers.beacon);
        require(!isStore, "platform", "log", m_settings.platform.log);
        require(!isStore, "platform", "vms", m_settings.platform.vms);
        if (!isStore && m_settings.operators.token.empty())
            m_problems += std::string(m_fileName) + ": [operators] token: missing; allowed is 16 or more printable characters without spaces\n";
    }

    void require(bool isNeeded, std::string_view section, std::string_view key, Owned::Endpoint const& endpoint)
    {
        if (isNeeded && endpoint.port() == 0)
            m_problems += std::string(m_fileName) + ": [" + std::string(section) + "] " + std::string(key) + ": missing; allowed is an IP address and a port, such as 127.0.0.1:8080\n";
    }

    void readEntry(IniEntry const& entry)
    {
        DaemonKey const* key = findKey(entry);
        if (!key) {
            m_problems += place(m_fileName, entry) + "unknown; " + allowedKeys(entry.section) + "\n";
            return;
        }
        std::pair<std::map<DaemonKey const*, std::size_t>::iterator, bool> added = m_lines.emplace(key, entry.line);
        if (!added.second) {
            m_problems += place(m_fileName, entry) + "given before on line " + std::to_string(added.first->second) + "; allowed is once\n";
            return;
        }
        Core::Result<void> outcome = key->read(m_settings, entry.value);
        if (outcome.has_error())
            m_problems += place(m_fileName, entry) + outcome.error().message + "\n";
    }

    std::string_view m_fileName;
    std::string m_problems;
    std::map<DaemonKey const*, std::size_t> m_lines;
    DaemonSettings m_settings;
};

}

Core::Result<DaemonSettings> DaemonSettings::parse(std::string_view text, std::string_view fileName)
{
    FileReader reader(fileName);
    reader.read(readIni(text));
    if (!reader.problems().empty())
        return Core::fail(Core::ErrorCode::BadInput, reader.problems());
    return reader.settings();
}

std::string DaemonSettings::print() const
{
    std::string text;
    std::string section;
    for (DaemonKey const& key : daemonKeys()) {
        if (key.section != section) {
            section = key.section;
            text += "[" + section + "]\n";
        }
        std::string value = key.print(*this);
        text += "# " + key.description + " Allowed: " + key.allowed + ".\n";
        text += (value.empty() ? "# " : "") + key.name + " = " + value + "\n";
    }
    return text;
}

}
