#pragma once

#include <LibMembership/Protocol.h>
#include <deque>
#include <functional>
#include <memory>
#include <queue>

namespace MembershipTest {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// Simulates daemons in virtual time, connected by a network with delay, loss, partitions and pauses.
class Network {
public:
    struct Node {
        Membership::Profile profile;
        std::optional<Membership::Protocol> protocol;
        std::uint64_t incarnation { 0 };
        bool isUp { false }; ///< Whether the process runs.
        bool isVmUp { true }; ///< Whether its VM runs, and so refuses connections while the process does not run.
        bool isPaused { false };
        std::size_t bytes { 0 }; ///< Sent and received, including the overhead per message.
        TimePoint wakeAt { TimePoint::max() };
        std::deque<std::function<void()>> held; ///< Deliveries that arrived during a pause.
    };

    explicit Network(std::uint64_t seed, Membership::Settings const& settings = {})
        : m_settings(settings)
        , m_random(seed)
    {
    }

    /// Adds a daemon that does not run yet and returns its index.
    std::size_t add(std::string const& name, std::string const& zone, std::string const& region)
    {
        Node node;
        std::size_t const i = m_nodes.size();
        std::string const address = "10.0." + std::to_string(i / 250) + '.' + std::to_string(i % 250 + 1);
        node.profile = { name, address + ":7100", address + ":8080", zone, region };
        m_indexOfAddress[node.profile.address] = i;
        m_nodes.push_back(std::move(node));
        return i;
    }
    /// Starts all daemons with full knowledge of each other, as after a long time without faults.
    void startSettled()
    {
        startAll();
        std::vector<Membership::Message> messages;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (i % 100 == 0) {
                messages.emplace_back();
                messages.back().kind = Membership::Kind::Rumours;
                messages.back().sender = m_nodes[0].protocol->self();
            }
            messages.back().records.push_back(m_nodes[i].protocol->self());
        }
        for (Node& node : m_nodes) {
            for (Membership::Message const& message : messages)
                (void)node.protocol->handleMessage(Membership::encode(message), m_now);
        }
        // The first daemon ignores messages that carry its own ID as the sender.
        messages[0].sender = m_nodes[1].protocol->self();
        for (Membership::Message& message : messages) {
            message.sender = messages[0].sender;
            (void)m_nodes[0].protocol->handleMessage(Membership::encode(message), m_now);
        }
        run(std::chrono::seconds(12)); // Longer than the joining phase of a daemon.
        takeFalseDeaths();
    }
    /// Starts or restarts a daemon with a greater incarnation and the current VM list.
    void start(std::size_t i)
    {
        Node& node = m_nodes[i];
        node.incarnation = std::max(node.incarnation + 1, 1'700'000'000'000 + static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count()));
        node.protocol = Membership::Protocol::create(m_settings, node.profile, node.incarnation, m_random(), m_now).value();
        node.isUp = true;
        node.isVmUp = true;
        node.isPaused = false;
        node.held.clear();
        node.protocol->handleVmList(list, m_now);
        schedule(i);
    }
    void startAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }
    /// Stops the process, and its VM as well unless `isVmUp`.
    void kill(std::size_t i, bool isVmUp = false)
    {
        m_nodes[i].isUp = false;
        m_nodes[i].isVmUp = isVmUp;
        m_nodes[i].wakeAt = TimePoint::max();
    }
    void pause(std::size_t i) { m_nodes[i].isPaused = true; }
    void wake(std::size_t i)
    {
        m_nodes[i].isPaused = false;
        std::deque<std::function<void()>> held = std::move(m_nodes[i].held);
        m_nodes[i].held.clear();
        for (std::function<void()> const& action : held)
            action();
        schedule(i);
    }
    /// Passes the current `list` to every running daemon.
    void publishList()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            publishListTo(i);
    }
    void publishListTo(std::size_t i)
    {
        if (m_nodes[i].isUp && !m_nodes[i].isPaused)
            m_nodes[i].protocol->handleVmList(list, m_now);
    }
    /// Sets `list` to all nodes.
    void listAll()
    {
        list.clear();
        for (Node const& node : m_nodes)
            list.push_back({ node.profile, false });
    }

    void run(std::chrono::milliseconds time)
    {
        TimePoint const end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            Event const event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.at);
            event.action();
        }
        m_now = end;
    }
    /// Runs until `isDone`, checked every 100 ms. Returns the time taken, or nothing after `limit`.
    std::optional<std::chrono::milliseconds> runUntil(std::function<bool()> const& isDone, std::chrono::milliseconds limit)
    {
        constexpr std::chrono::milliseconds step { 100 };
        for (std::chrono::milliseconds passed { 0 }; passed <= limit; passed += step) {
            if (isDone())
                return passed;
            run(step);
        }
        return std::nullopt;
    }
    /// Sends the output of a protocol call made outside its own deadlines.
    void carryOut(std::size_t i, Membership::Output const& output)
    {
        for (Membership::Outgoing const& message : output.messages) {
            auto const it = m_indexOfAddress.find(message.address);
            if (it != m_indexOfAddress.end())
                transmit(i, it->second, message.bytes, message.to, true);
        }
    }

    Node& operator[](std::size_t i) { return m_nodes[i]; }
    std::size_t size() const { return m_nodes.size(); }
    TimePoint now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }
    /// Returns the status of `of` according to `by`.
    Membership::Status statusOf(std::size_t of, std::size_t by)
    {
        Membership::Member const* const member = m_nodes[by].protocol->table().find(Membership::memberIdOf(m_nodes[of].profile.name));
        return member ? member->record.status : Membership::Status::Unheard;
    }
    /// Returns whether every running daemon sees exactly the running ones as alive, with their current incarnation.
    bool isConverged()
    {
        for (std::size_t by = 0; by < m_nodes.size(); ++by) {
            for (std::size_t of = 0; m_nodes[by].isUp && of < m_nodes.size(); ++of) {
                if (of != by && !isSeenRightly(of, by))
                    return false;
            }
        }
        return true;
    }
    bool isSeenRightly(std::size_t of, std::size_t by)
    {
        Membership::Member const* const member = m_nodes[by].protocol->table().find(Membership::memberIdOf(m_nodes[of].profile.name));
        if (!m_nodes[of].isUp)
            return !member || !member->isPresent();
        return member && member->record.status == Membership::Status::Alive && member->record.incarnation == m_nodes[of].incarnation;
    }
    /// Returns whether every running daemon but those in `except` sees `of` with `status`.
    bool allSee(std::size_t of, Membership::Status status, std::vector<std::size_t> const& except = {})
    {
        for (std::size_t by = 0; by < m_nodes.size(); ++by) {
            bool const isAsked = m_nodes[by].isUp && by != of && std::find(except.begin(), except.end(), by) == except.end();
            if (isAsked && statusOf(of, by) != status)
                return false;
        }
        return true;
    }
    /// Returns and clears how often a daemon considered a running one dead or left.
    std::size_t takeFalseDeaths()
    {
        std::size_t n = 0;
        for (std::size_t by = 0; by < m_nodes.size(); ++by) {
            if (!m_nodes[by].isUp)
                continue;
            for (Membership::Change const& change : m_nodes[by].protocol->takeChanges()) {
                for (Node const& node : m_nodes)
                    n += change.to == Membership::Status::Dead && node.isUp && change.name == node.profile.name && change.incarnation == node.incarnation ? 1 : 0;
            }
        }
        return n;
    }
    void clearBytes()
    {
        for (Node& node : m_nodes)
            node.bytes = 0;
    }
    /// Returns the mean and the maximum bytes per second of a daemon over `time`, sent and received, since `clearBytes`.
    std::pair<double, double> bytesPerSecond(std::chrono::milliseconds time) const
    {
        double sum = 0;
        double most = 0;
        for (Node const& node : m_nodes) {
            double const rate = static_cast<double>(node.bytes) * 1000.0 / static_cast<double>(time.count());
            sum += rate;
            most = std::max(most, rate);
        }
        return { sum / static_cast<double>(m_nodes.size()), most };
    }

    std::vector<Membership::ListedVm> list;
    double loss { 0 }; ///< The fraction of messages that are lost.
    std::function<bool(std::size_t from, std::size_t to)> isCut; ///< Whether messages in that direction are dropped.

private:
    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(Event const& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void at(TimePoint time, std::function<void()> action) { m_events.push({ time, m_order++, std::move(action) }); }
    std::chrono::microseconds delay(std::size_t from, std::size_t to)
    {
        bool const isFar = m_nodes[from].profile.region != m_nodes[to].profile.region;
        return std::chrono::microseconds((isFar ? 20'000 : 500) + m_random() % 500);
    }
    bool passes(std::size_t from, std::size_t to)
    {
        bool const isLost = static_cast<double>(m_random() % 1'000'000) < loss * 1e6;
        return !isLost && !(isCut && isCut(from, to)) && m_nodes[to].isVmUp;
    }
    void schedule(std::size_t i)
    {
        Node& node = m_nodes[i];
        TimePoint const next = std::max(node.protocol->nextDeadline(), m_now);
        node.wakeAt = next;
        at(next, [this, i, next] {
            Node& due = m_nodes[i];
            if (!due.isUp || due.isPaused || due.wakeAt != next)
                return;
            carryOut(i, due.protocol->advance(m_now));
            schedule(i);
        });
    }
    void transmit(std::size_t from, std::size_t to, std::string const& bytes, std::uint64_t toId, bool isRequest)
    {
        m_nodes[from].bytes += bytes.size() + m_settings.overheadPerMessage;
        if (!passes(from, to))
            return;
        at(m_now + delay(from, to), [this, from, to, bytes, toId, isRequest] { arrive(from, to, bytes, toId, isRequest); });
    }
    void arrive(std::size_t from, std::size_t to, std::string const& bytes, std::uint64_t toId, bool isRequest)
    {
        Node& node = m_nodes[to];
        if (node.isUp && node.isPaused) {
            node.held.push_back([this, from, to, bytes, toId, isRequest] { arrive(from, to, bytes, toId, isRequest); });
            return;
        }
        if (!node.isUp) {
            bool const isRefused = isRequest && node.isVmUp && m_nodes[from].isUp && !m_nodes[from].isPaused && !(isCut && isCut(to, from));
            if (isRefused) {
                m_nodes[from].protocol->handleUnreachable(toId, m_now);
                schedule(from);
            }
            return;
        }
        node.bytes += bytes.size() + m_settings.overheadPerMessage;
        Membership::Output const output = node.protocol->handleMessage(bytes, m_now).value();
        if (output.reply)
            transmit(to, from, *output.reply, 0, false);
        carryOut(to, output);
        schedule(to);
    }

    Membership::Settings m_settings;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::unordered_map<std::string, std::size_t> m_indexOfAddress;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order { 0 };
    TimePoint m_now { std::chrono::seconds(1000) };
};

/// Eight daemons in three availability zones of one region, or 410 in 11 zones of 3 regions.
inline void build(Network& network, std::size_t count)
{
    std::size_t const zones = count <= 12 ? 3 : 11;
    for (std::size_t i = 0; i < count; ++i) {
        std::size_t const zone = i % zones;
        std::string const region = count <= 12 ? "delta-north" : "region-" + std::to_string(zone * 3 / zones);
        network.add("entry-" + std::to_string(i), "zone-" + std::to_string(zone), region);
    }
    network.listAll();
}

}
