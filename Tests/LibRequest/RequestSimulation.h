#pragma once

#include <LibRequest/Home.h>
#include <LibRequest/RequestMachine.h>
#include <LibRequest/TicketIssuer.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace RequestTest {

using namespace std::chrono_literals;
using Millis = std::chrono::milliseconds;
using Request::TimePoint;

/// Kinds of request: with and without a ticket, at engines and at plain services.
enum class Kind { RepeatableStream,
    ServiceOnce,
    EngineOnce };

/// The progress of a request at the daemon that runs it.
enum class Step { Received,
    Queued,
    Picked,
    Connecting,
    Written,
    AwaitingHead,
    Streaming,
    Ending,
    Kept,
    Collected };

using NodeId = int;
inline constexpr NodeId firstTarget = 10;
inline constexpr NodeId callerNode = 20;
inline constexpr std::uint64_t pieceCount = 5;

/// How the network treats one message.
struct MessageFault {
    int copies { 1 };
    Millis delay { 0 }; ///< Also delays later messages on the connection.
    Millis overtakenFor { 0 }; ///< Later messages arrive first.
    bool breaksConnection { false }; ///< The message is lost and the connection closes.
};

struct Node {
    bool isAlive { true };
    bool refuses { false };
    std::uint64_t incarnation { 1 };
    TimePoint pausedUntil;
};

struct Connection {
    NodeId from { 0 };
    NodeId to { 0 };
    std::uint64_t fromIncarnation { 0 };
    std::uint64_t toIncarnation { 0 };
    bool isSilent { false };
    bool isBroken { false };
    TimePoint lastDelivery;
};
using ConnectionPtr = std::shared_ptr<Connection>;
using Task = std::function<void()>;

/// One caller's request and what the caller saw.
struct Call {
    int id { 0 };
    Kind kind { Kind::RepeatableStream };
    NodeId entry { 0 };
    std::string ticket;
    std::vector<std::string> received;
    int sends { 0 };
    int finals { 0 }; ///< Of the current send.
    bool wasToldNotRun { false };
    bool isGone { false };
    std::optional<Core::Error> error;
    Core::Verdict verdict { Core::Verdict::MayHaveRun };
    TimePoint startedAt;
    TimePoint endedAt;
    ConnectionPtr connection;
    std::function<void()> notifyDisconnected; ///< Tells the entry that the caller's connection ended.
};

class Runner;
class RequestSimulation;

/// A target's stream, by the attempt's unique id.
struct Stream {
    int call { 0 };
    std::uint64_t first { 0 };
    bool isCanceled { false };
    bool isFinished { false };
};

struct Target {
    std::map<std::string, Stream> streams;
    std::set<std::string> fenced;
};

/// Follows an answer at its home.
struct Reader {
    Request::TicketNonce nonce {};
    std::uint64_t next { 0 };
    std::function<void(std::uint64_t position, std::string bytes)> onPiece;
    std::function<void(Request::AnswerEnd const&)> onEnd;
    bool isDone { false };
};

struct Daemon {
    std::unique_ptr<Request::TicketIssuer> issuer;
    std::unique_ptr<Request::Home> home;
    std::vector<std::shared_ptr<Reader>> readers;
    std::unique_ptr<Request::RetryBudget> budget;
};

/// Simulates daemons, targets, callers and a faulty network in virtual time around the real request machine, ticket home
/// and answer store. The test controls every message.
class RequestSimulation {
public:
    RequestSimulation(int daemons, int targets);

    void start(int call, Kind, NodeId home, NodeId entry);
    void run(Millis until);

    void kill(NodeId);
    void restart(NodeId);
    void pause(NodeId, Millis);
    void block(NodeId from, NodeId to, bool isBlocked);
    void shutDown(NodeId);
    void callerLeaves(int call);
    void silence(NodeId from, NodeId to);
    void refuse(NodeId target, bool refuses) { m_nodes[target].refuses = refuses; }

    /// Whether callers retry (with their ticket) after any error.
    bool callersInsist { false };

    /// Faults of messages; the default is none.
    std::function<MessageFault(NodeId from, NodeId to)> messageFault;
    std::function<void(Step, int call)> onStep;

    /// Violated invariants, one per line; empty if all hold. Precondition: all deadlines have passed.
    std::string violations() const;

    /// W complete, N not run, M may have run, G caller disconnected, - no final answer.
    char outcome(int call) const;

    TimePoint now() const { return m_now; }
    int runs(int call) const { return m_runs.contains(call) ? m_runs.at(call) : 0; }
    int dispatches() const { return m_dispatches; }

private:
    friend class Runner;

    struct Scheduled {
        TimePoint at;
        std::uint64_t number { 0 };
        Task task;
        bool operator<(Scheduled const& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    void at(TimePoint, Task);
    void timer(NodeId, Millis, Task);
    ConnectionPtr connect(NodeId from, NodeId to);
    void send(ConnectionPtr const&, NodeId from, Task const&, Task const& onReset = {});
    void deliver(ConnectionPtr const&, NodeId to, Task const&, Task const& onReset);
    static std::string violationsOf(Call const&);
    void step(Step step, int call);
    void startDaemon(NodeId);
    bool isDaemon(NodeId id) const { return id < firstTarget; }

    void callerSends(int call);
    void callerLost(int call, int send);
    void callerGets(int call, int send, std::uint64_t position, std::string bytes);
    void callerEnds(int call, int send, Core::Verdict, std::optional<Core::Error>);
    void entryReceives(int call, int send, ConnectionPtr const&, std::uint64_t from);
    void homeReceives(NodeId, int call, std::shared_ptr<Reader> const&);
    void runAtHome(NodeId, int call, Request::TicketNonce const&);
    void pump(NodeId);
    void targetReceives(NodeId, std::string const& key, int call, std::uint64_t first, std::shared_ptr<Runner> const&, Request::Leg, ConnectionPtr const&);
    void emit(NodeId, std::string const& key, std::uint64_t from, std::shared_ptr<Runner> const&, Request::Leg, ConnectionPtr const&);

    TimePoint m_now { 1s };
    std::uint64_t m_number { 0 };
    std::priority_queue<Scheduled> m_tasks;
    std::map<NodeId, Node> m_nodes;
    std::map<NodeId, Daemon> m_daemons;
    std::map<NodeId, Target> m_targets;
    std::map<int, Call> m_calls;
    std::map<int, int> m_runs;
    std::vector<ConnectionPtr> m_connections;
    std::set<std::pair<NodeId, NodeId>> m_blocked;
    std::vector<std::shared_ptr<Runner>> m_runners;
    std::string m_violations;
    int m_dispatches { 0 };
};

Request::RequestProfile profileOf(Kind, TimePoint deadline);
/// A piece's text, which ends with the name of the run that produced it.
std::string pieceOf(int call, std::uint64_t position, std::string const& run);

}
