#pragma once

#include "Fleet.h"
#include "Process.h"

#include <LibHttp/Message.h>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/resource.h>
#include <vector>

namespace Processes {

/// One engine of a site.
struct SiteEngine {
    std::string role;
    std::string release {}; ///< Of its software, which its events name; empty: v1, and they do not.
};

/// What a test varies of a site.
struct KeyedSiteSettings {
    std::vector<SiteEngine> engines { { "prefill" }, { "decode" }, { "decode" }, { "decode" } };
    bool hasFixedRoles { false }; ///< Engines refuse orders. Else the daemons bring them to two that decode.
    /// Daemons reach the store, and all reach the targets, through forwarders that can be held up and cut.
    bool hasForwarders { false };
    int stopWithinSeconds { 30 };
    std::string crashPart {}; ///< Engines end when they begin to answer a prompt that has this id among its shared parts; empty: none does.
    std::string crashPath {}; ///< Targets end when they begin to run a request whose path holds this; empty: none does.
    bool hasDuties { false }; ///< The platform has a service for singleton duties.
    bool isStrict { false }; ///< Daemons accept keys only by a configuration that was confirmed within two seconds.
    bool hasLongStreams { false }; ///< Streams last one to four seconds, by their engine, as on the sites; else a tenth of one.
    bool isUneven { false }; ///< Targets of a service differ in speed, and plain ones have few places.
    double processorShare { 1 }; ///< Of a daemon, as on small VMs; 1: no quota.
    std::size_t memoryMegabytes { 0 }; ///< Of a daemon's VM; 0: of this machine.
    rlim_t descriptorLimit { 0 }; ///< Of a daemon; 0: that of this process.
    int leaveHoldMs { 8'000 }; ///< How long a leaving daemon accepts: a slow machine needs time to ask it.
};

/// A platform with a keyed store: the store, four engines of which three decode at first, two plain services and three
/// daemons, each a process of its own on loopback. All of them end with this object. Not thread-safe but for `ask`.
class KeyedSite {
public:
    explicit KeyedSite(KeyedSiteSettings const& = {});
    virtual ~KeyedSite();
    KeyedSite(KeyedSite const&) = delete;
    KeyedSite& operator=(KeyedSite const&) = delete;

    /// Waits until all daemons serve and list each other, and the roles are split. Returns whether they do.
    bool waitUntilServing();

    static constexpr std::size_t daemonCount() { return 3; }
    static std::string daemonName(std::size_t n) { return "front-" + std::to_string(n); }
    static std::string storeForwarder(std::size_t daemon) { return "store-link-" + std::to_string(daemon); }
    static std::string targetForwarder(std::string const& target) { return target + "-link"; }

    Process& process(std::string const& name) { return *m_processes.at(name); }

    /// Cuts a daemon off from all targets, or no longer, from its next start on: it cannot make a connection to any of them, while
    /// callers, the store and the other daemons reach it.
    void setCutOff(std::size_t daemon, bool);

    /// Starts a daemon again, at its former addresses.
    void startDaemon(std::size_t n);
    /// Starts a target again, at its former address: under its former id where it has an odd number, else under a new one.
    void startTarget(std::string const& name);
    /// From its next start on, under a new id.
    void setRelease(std::string const& name, std::string const& release);
    /// Removes the entries of a service's targets from the store; those of live ones come back with their next heartbeat.
    void removeEntries(std::string const& service);
    static std::string targetId(std::string const& name) { return "i-" + name; }
    /// Writes a target's entry into the store, as any writer may.
    void writeEntry(std::string const& id, std::string const& entry);

    /// Returns the lines of a process's log that hold `text`.
    std::vector<std::string> logLines(std::string const& process, std::string const& text) const;

    /// Writes a whole configuration, as operators do. Calls below /c/ go to `service`.
    void configure(std::uint64_t version, std::string const& service);
    /// Writes the text of a configuration, whatever it is.
    void writeConfiguration(std::string const& text);

    /// Sets the organisations that configurations from now on have, as a JSON array; empty: none, and requests need no keys.
    void setOrganisations(std::string json) { m_organisations = std::move(json); }

    static Http::Request request(std::string const& method, std::string const& path, std::string const& id);
    Http::Response ask(std::size_t daemon, std::string const& method, std::string const& path, std::string const& id) const;
    bool isReady(std::size_t daemon) const;
    std::vector<std::string> listed(std::size_t daemon) const;
    std::size_t countEngines(std::string const& role) const;

    /// Returns how often a request ran at any of these, as far as those processes remember.
    std::uint64_t runs(std::vector<Endpoint> const& targets, std::string const& id) const;
    /// Returns how many requests have come to a target, whatever became of them.
    std::uint64_t arrivals(std::string const& target) const;
    /// Returns a metric of a daemon by its name with labels, or nothing while there is none.
    std::optional<double> metric(std::size_t daemon, std::string const& name) const;
    /// How many pieces an engine's stream has.
    std::uint32_t pieces() const { return m_settings.hasLongStreams ? 40 : 10; }
    static std::string wholeStream(std::uint32_t pieces, std::string const& release = {});

    Endpoint const& dutyService() const { return m_dutyService; }
    Endpoint const& store() const { return m_store; }
    Endpoint const& front(std::size_t daemon) const { return m_daemons.at(daemon).front; }
    Endpoint const& directory(std::size_t daemon) const { return m_daemons.at(daemon).directory; }
    Endpoint const& ready(std::size_t daemon) const { return m_daemons.at(daemon).ready; }
    Endpoint const& operators(std::size_t daemon) const { return m_daemons.at(daemon).operators; }
    std::vector<Endpoint> engines() const { return endpointsOf("engine-"); }
    std::vector<Endpoint> apps() const { return endpointsOf("app-"); }
    Endpoint const& target(std::string const& name) const { return m_targets.at(name).listen; }
    std::vector<std::string> targetNames() const;
    /// Where a forwarder takes its commands.
    Endpoint const& forwarderAdmin(std::string const& name) const { return m_forwarders.at(name); }

private:
    struct Addresses {
        Endpoint front;
        Endpoint directory;
        Endpoint ready;
        Endpoint operators;
        Endpoint peers;
        Endpoint store; ///< As this daemon is told.
    };

    struct Target {
        std::vector<std::string> arguments;
        Endpoint listen;
    };

    void spawn(std::string const& name, std::vector<std::string> const& arguments, double processorShare = 1);
    std::string spawnStandIn(std::string const& name, std::vector<std::string> arguments);
    Endpoint startForwarder(std::string const& name, Endpoint const& to);
    void addTarget(std::string const& name, std::string const& service, SiteEngine const&);
    std::vector<Endpoint> endpointsOf(std::string const& prefix) const;

    KeyedSiteSettings m_settings;
    std::filesystem::path m_folder;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    Endpoint m_store;
    Endpoint m_dutyService;
    std::map<std::string, Target> m_targets;
    std::map<std::string, Endpoint> m_forwarders;
    std::vector<Addresses> m_daemons;
    std::set<std::size_t> m_cutOff; ///< Daemons.
    std::string m_organisations;
};

}
