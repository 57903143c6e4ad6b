#include "RequestSimulation.h"
#include "Runner.h"
#include <algorithm>

namespace RequestTest {

namespace {

constexpr Millis latency = 1ms;
constexpr Millis callerSilence = 2500ms;
constexpr Millis deadline = 8s;

}

Request::RequestProfile profileOf(Kind kind, TimePoint deadline)
{
    Request::RequestProfile profile;
    profile.isRepeatable = profile.mayContinue = kind == Kind::RepeatableStream;
    profile.canResume = profile.canCancel = kind != Kind::ServiceOnce;
    profile.outlivesCaller = kind != Kind::RepeatableStream;
    profile.deadline = deadline;
    return profile;
}

std::string pieceOf(int call, std::uint64_t position, std::string const& run)
{
    return "call " + std::to_string(call) + " piece " + std::to_string(position) + " by " + run + "\n";
}

RequestSimulation::RequestSimulation(int daemons, int targets)
{
    for (NodeId id = 0; id < daemons; ++id)
        startDaemon(id);
    for (NodeId id = firstTarget; id < firstTarget + targets; ++id)
        m_nodes[id] = Node {};
    m_nodes[callerNode] = Node {};
}

void RequestSimulation::startDaemon(NodeId id)
{
    std::uint64_t incarnation = m_nodes[id].incarnation;
    std::shared_ptr<std::uint64_t> counter = std::make_shared<std::uint64_t>(0);
    Daemon daemon;
    daemon.issuer = std::make_unique<Request::TicketIssuer>(Request::TicketIssuer::create({ std::to_string(id), incarnation, std::vector<std::uint8_t>(32, 1),
                                                                                              [counter](std::span<std::uint8_t> bytes) {
                                                                                                  ++*counter;
                                                                                                  for (std::size_t i = 0; i < bytes.size(); ++i)
                                                                                                      bytes[i] = static_cast<std::uint8_t>(*counter >> (8 * (i % 8)));
                                                                                              } })
            .value());
    daemon.home = std::make_unique<Request::Home>(Request::Home::create({}, {}).value());
    daemon.budget = std::make_unique<Request::RetryBudget>(Request::RetryBudget::Settings {});
    m_daemons[id] = std::move(daemon);
}

void RequestSimulation::at(TimePoint time, Task task)
{
    m_tasks.push({ time, m_number++, std::move(task) });
}

void RequestSimulation::run(Millis until)
{
    TimePoint end = m_now + until;
    while (!m_tasks.empty() && m_tasks.top().at <= end) {
        Scheduled next = m_tasks.top();
        m_tasks.pop();
        m_now = next.at;
        next.task();
    }
    m_now = end;
}

/// A timer of a node: it is discarded when its process dies, and deferred while the process is paused.
void RequestSimulation::timer(NodeId id, Millis delay, Task task)
{
    std::uint64_t incarnation = m_nodes[id].incarnation;
    at(m_now + delay, [this, id, incarnation, task = std::move(task)] {
        Node& node = m_nodes[id];
        if (!node.isAlive || node.incarnation != incarnation)
            return;
        if (m_now < node.pausedUntil)
            timer(id, std::chrono::ceil<Millis>(node.pausedUntil - m_now), task);
        else
            task();
    });
}

ConnectionPtr RequestSimulation::connect(NodeId from, NodeId to)
{
    ConnectionPtr connection = std::make_shared<Connection>();
    connection->from = from;
    connection->to = to;
    connection->fromIncarnation = m_nodes[from].incarnation;
    connection->toIncarnation = m_nodes[to].incarnation;
    m_connections.push_back(connection);
    return connection;
}

void RequestSimulation::send(ConnectionPtr const& connection, NodeId from, Task const& task, Task const& onReset)
{
    NodeId to = from == connection->from ? connection->to : connection->from;
    if (m_blocked.contains({ from, to }))
        connection->isSilent = true;
    if (connection->isSilent || connection->isBroken || !m_nodes[from].isAlive)
        return;
    MessageFault fault = this->messageFault ? this->messageFault(from, to) : MessageFault {};
    // Callers speak HTTP over one connection, which neither duplicates nor reorders messages.
    if (connection->from == callerNode)
        fault = MessageFault { .delay = fault.delay, .breaksConnection = fault.breaksConnection };
    if (fault.breaksConnection) {
        connection->isBroken = true;
        at(m_now + latency, [this, connection] {
            for (std::pair<int const, Call>& it : m_calls) {
                if (it.second.connection != connection)
                    continue;
                if (it.second.notifyDisconnected)
                    it.second.notifyDisconnected();
                callerLost(it.first, it.second.sends);
            }
            for (std::shared_ptr<Runner> const& runner : m_runners) {
                if (runner->node() == connection->from && runner->currentTarget() == connection->to)
                    runner->feed(Request::StreamBroken { runner->currentLeg() });
            }
        });
        return;
    }
    TimePoint due = std::max(m_now + latency + fault.delay, connection->lastDelivery);
    connection->lastDelivery = due;
    for (int i = 0; i < fault.copies; ++i)
        at(due + fault.overtakenFor, [=, this] { deliver(connection, to, task, onReset); });
}

void RequestSimulation::deliver(ConnectionPtr const& connection, NodeId to, Task const& task, Task const& onReset)
{
    if (connection->isSilent || connection->isBroken)
        return;
    Node& node = m_nodes[to];
    std::uint64_t incarnation = to == connection->to ? connection->toIncarnation : connection->fromIncarnation;
    if (!node.isAlive || node.incarnation != incarnation) {
        if (onReset)
            at(m_now + latency, onReset);
        return;
    }
    if (m_now < node.pausedUntil)
        at(node.pausedUntil, [=, this] { deliver(connection, to, task, onReset); });
    else
        task();
}

void RequestSimulation::step(Step step, int call)
{
    if (onStep)
        onStep(step, call);
}

void RequestSimulation::kill(NodeId id)
{
    m_nodes[id].isAlive = false;
    ++m_nodes[id].incarnation;
    m_targets.erase(id);
    // The peer's operating system resets each connection.
    for (std::shared_ptr<Runner> const& runner : m_runners) {
        if (runner->currentTarget() == id && !m_blocked.contains({ id, runner->node() }))
            at(m_now + latency, [runner, leg = runner->currentLeg()] { runner->feed(Request::StreamBroken { leg }); });
    }
    for (std::pair<int const, Call>& it : m_calls) {
        if (it.second.entry == id)
            at(m_now + latency, [this, call = it.first, send = it.second.sends] { callerLost(call, send); });
    }
}

void RequestSimulation::restart(NodeId id)
{
    if (m_nodes[id].isAlive)
        kill(id);
    m_nodes[id].isAlive = true;
    if (isDaemon(id))
        startDaemon(id);
}

void RequestSimulation::pause(NodeId id, Millis time)
{
    m_nodes[id].pausedUntil = m_now + time;
}

void RequestSimulation::block(NodeId from, NodeId to, bool isBlocked)
{
    if (isBlocked)
        m_blocked.emplace(from, to);
    else
        m_blocked.erase({ from, to });
}

void RequestSimulation::silence(NodeId from, NodeId to)
{
    for (ConnectionPtr const& it : m_connections) {
        if (it->from == from && it->to == to)
            it->isSilent = true;
    }
}

void RequestSimulation::shutDown(NodeId id)
{
    at(m_now, [this, id] {
        for (std::size_t i = 0; i < m_runners.size(); ++i) {
            std::shared_ptr<Runner> runner = m_runners[i];
            if (runner->node() == id)
                runner->feed(Request::ShutdownForced {});
        }
    });
    timer(id, 20ms, [this, id] { kill(id); });
}

void RequestSimulation::start(int id, Kind kind, NodeId home, NodeId entry)
{
    Call call;
    call.id = id;
    call.kind = kind;
    call.entry = entry;
    call.startedAt = m_now;
    if (kind != Kind::RepeatableStream)
        call.ticket = m_daemons[home].issuer->issue(m_now);
    m_calls[id] = std::move(call);
    callerSends(id);
}

void RequestSimulation::callerSends(int id)
{
    Call& call = m_calls[id];
    int send = ++call.sends;
    // Without a ticket, each send is a separate request.
    if (call.ticket.empty())
        call.received.clear();
    call.connection = connect(callerNode, call.entry);
    this->send(
        call.connection, callerNode,
        [this, id, send, connection = call.connection, from = call.received.size()] { entryReceives(id, send, connection, from); },
        [this, id, send] { callerLost(id, send); });
    timer(callerNode, callerSilence, [this, id, send] { callerLost(id, send); });
}

/// The caller's connection ended or timed out: it tries the next address.
void RequestSimulation::callerLost(int id, int send)
{
    Call& call = m_calls[id];
    if (call.finals > 0 || call.isGone || call.sends != send || call.sends > 4)
        return;
    call.entry = (call.entry + 1) % static_cast<NodeId>(m_daemons.size());
    callerSends(id);
}

void RequestSimulation::callerLeaves(int id)
{
    Call& call = m_calls[id];
    if (call.finals > 0)
        return;
    call.connection->isBroken = true;
    if (call.notifyDisconnected)
        call.notifyDisconnected();
    if (call.ticket.empty())
        call.isGone = true;
    else
        timer(callerNode, 300ms, [this, id, send = call.sends] { callerLost(id, send); });
}

void RequestSimulation::callerGets(int id, int send, std::uint64_t position, std::string bytes)
{
    Call& call = m_calls[id];
    if (call.sends != send || call.finals > 0)
        return;
    if (position != call.received.size())
        m_violations += "call " + std::to_string(id) + ": piece out of order\n";
    call.received.push_back(std::move(bytes));
}

void RequestSimulation::callerEnds(int id, int send, Core::Verdict verdict, std::optional<Core::Error> error)
{
    Call& call = m_calls[id];
    if (call.sends != send)
        return;
    if (++call.finals > 1) {
        m_violations += "call " + std::to_string(id) + ": more than one final answer\n";
        return;
    }
    call.verdict = verdict;
    call.error = std::move(error);
    call.endedAt = m_now;
    call.wasToldNotRun = call.wasToldNotRun || (call.error && call.error->verdict == Core::Verdict::NotRun);
    step(Step::Collected, id);
    if (!callersInsist || !call.error || call.sends > 4)
        return;
    call.finals = 0;
    callerLost(id, send);
}

void RequestSimulation::entryReceives(int id, int send, ConnectionPtr const& connection, std::uint64_t from)
{
    Call& call = m_calls[id];
    NodeId entry = connection->to;
    auto toCaller = [this, id, send, entry, connection](std::uint64_t position, std::string const& bytes) {
        this->send(connection, entry, [=, this] { callerGets(id, send, position, bytes); });
    };
    auto endCaller = [this, id, send, entry, connection](Core::Verdict verdict, std::optional<Core::Error> const& error) {
        this->send(connection, entry, [=, this] { callerEnds(id, send, verdict, error); });
    };
    Request::RequestProfile profile = profileOf(call.kind, m_now + deadline);
    std::optional<NodeId> home;
    if (!call.ticket.empty()) {
        home = std::stoi(Request::Ticket::parse(call.ticket).value().home);
        if (*home == entry) {
            std::shared_ptr<Reader> reader = std::make_shared<Reader>();
            reader->next = from;
            reader->onPiece = toCaller;
            reader->onEnd = [endCaller](Request::AnswerEnd const& end) { endCaller(end.verdict, end.error); };
            homeReceives(entry, id, reader);
            return;
        }
        profile = Request::RequestProfile { .canResume = true, .goesToHome = true, .maxResumes = 8, .deadline = profile.deadline };
    }
    std::shared_ptr<Runner> runner = std::make_shared<Runner>(*this, entry, id, profile, home);
    runner->firstPiece = from;
    runner->onPiece = [toCaller, from](std::uint64_t position, std::string const& bytes) { toCaller(from + position, bytes); };
    runner->onFinish = [endCaller](Request::Finish const& it) { endCaller(it.verdict, it.error); };
    call.notifyDisconnected = [runner] { runner->feed(Request::CallerGone {}); };
    if (!home)
        step(Step::Received, id);
    runner->start();
}

void RequestSimulation::homeReceives(NodeId node, int id, std::shared_ptr<Reader> const& reader)
{
    Daemon& daemon = m_daemons[node];
    Call& call = m_calls[id];
    Core::Result<Request::Ticket> ticket = daemon.issuer->verify(call.ticket);
    if (ticket.has_error()) {
        reader->onEnd({ ticket.error().verdict, ticket.error() });
        return;
    }
    Request::Fingerprint fingerprint = Request::fingerprintOf("POST", "/enrolments", std::to_string(id));
    Core::Result<Request::Home::Begun> begun = daemon.home->begin(ticket.value(), fingerprint, "utility", m_now);
    if (begun.has_error()) {
        reader->onEnd({ begun.error().verdict, begun.error() });
        return;
    }
    reader->nonce = ticket.value().nonce;
    daemon.readers.push_back(reader);
    if (begun.value().decision == Request::OnceDecision::Run) {
        step(Step::Received, id);
        if (m_nodes[node].isAlive)
            runAtHome(node, id, reader->nonce);
    }
    pump(node);
}

void RequestSimulation::runAtHome(NodeId node, int id, Request::TicketNonce const& nonce)
{
    std::shared_ptr<Runner> runner = std::make_shared<Runner>(*this, node, id, profileOf(m_calls[id].kind, m_now + deadline), std::nullopt);
    runner->onPiece = [this, node, nonce](std::uint64_t position, std::string const& bytes) {
        m_daemons[node].home->append(nonce, position, bytes);
        pump(node);
    };
    runner->onFinish = [this, node, nonce](Request::Finish const& it) {
        m_daemons[node].home->finish(nonce, { it.verdict, it.error }, m_now);
        pump(node);
    };
    runner->start();
}

/// Sends the stored pieces to all readers.
void RequestSimulation::pump(NodeId node)
{
    Daemon& daemon = m_daemons[node];
    for (std::shared_ptr<Reader> const& reader : std::vector<std::shared_ptr<Reader>>(daemon.readers)) {
        while (!reader->isDone) {
            Core::Result<Request::AnswerPart> part = daemon.home->read(reader->nonce, { Request::AnswerOffset::Unit::Pieces, reader->next }, 1);
            if (part.has_error()) {
                reader->isDone = true;
                reader->onEnd({ part.error().verdict, part.error() });
                break;
            }
            if (part.value().bytes.empty() && !part.value().end)
                break;
            if (!part.value().bytes.empty())
                reader->onPiece(reader->next, part.value().bytes);
            reader->next = part.value().nextPiece;
            reader->isDone = part.value().end.has_value();
            if (reader->isDone)
                reader->onEnd(*part.value().end);
        }
    }
    std::erase_if(daemon.readers, [](std::shared_ptr<Reader> const& it) { return it->isDone; });
}

void RequestSimulation::targetReceives(NodeId node, std::string const& key, int call, std::uint64_t first, std::shared_ptr<Runner> const& runner, Request::Leg leg, ConnectionPtr const& connection)
{
    Target& target = m_targets[node];
    if (target.streams.contains(key))
        return;
    if (m_nodes[node].refuses || target.fenced.contains(key)) {
        send(connection, node, [runner, leg] { runner->feed(Request::TargetRefused { leg }); });
        return;
    }
    ++m_runs[call];
    target.streams[key] = Stream { call, first };
    step(Step::AwaitingHead, call);
    if (m_targets[node].streams.contains(key))
        emit(node, key, 0, runner, leg, connection);
}

void RequestSimulation::emit(NodeId node, std::string const& key, std::uint64_t from, std::shared_ptr<Runner> const& runner, Request::Leg leg, ConnectionPtr const& connection)
{
    Stream const& stream = m_targets[node].streams[key];
    std::uint64_t count = pieceCount - stream.first;
    auto toDaemon = [this, node, key, runner, connection](Millis delay, Request::RequestEvent const& event) {
        timer(node, delay, [=, this] {
            if (!m_targets[node].streams[key].isCanceled)
                send(connection, node, [runner, event] { runner->feed(event); });
        });
    };
    toDaemon(1ms, Request::ResponseHead { leg, 200 });
    for (std::uint64_t i = from; i < count; ++i)
        toDaemon(Millis(2 * (i - from + 1)), Request::Piece { leg, i, pieceOf(stream.call, stream.first + i, key), true });
    toDaemon(Millis(2 * (count - from + 1)), Request::StreamEnded { leg, count });
}

char RequestSimulation::outcome(int id) const
{
    Call const& call = m_calls.at(id);
    if (call.isGone)
        return 'G';
    if (call.finals == 0)
        return '-';
    if (!call.error)
        return 'W';
    return call.error->verdict == Core::Verdict::NotRun ? 'N' : 'M';
}

/// Checks that an answer has its own pieces in order, and none from an abandoned run after the next one began.
std::string RequestSimulation::violationsOf(Call const& call)
{
    std::string result;
    std::set<std::string> runs;
    std::string current;
    for (std::uint64_t i = 0; i < call.received.size(); ++i) {
        std::string expected = pieceOf(call.id, i, "");
        expected.pop_back();
        std::string const& piece = call.received[i];
        std::string run = piece.substr(std::min(piece.size(), expected.size()));
        bool isMixed = run != current && !runs.insert(run).second;
        current = run;
        if (!piece.starts_with(expected) || isMixed)
            result += "call " + std::to_string(call.id) + ": got another answer's piece\n";
    }
    return result;
}

std::string RequestSimulation::violations() const
{
    std::string result = m_violations;
    for (std::pair<int const, Call> const& it : m_calls) {
        Call const& call = it.second;
        std::string name = "call " + std::to_string(it.first) + ": ";
        if (call.kind != Kind::RepeatableStream && runs(it.first) > 1)
            result += name + "ran " + std::to_string(runs(it.first)) + " times\n";
        bool isOneRequest = !call.ticket.empty() || call.sends == 1;
        if (call.wasToldNotRun && isOneRequest && runs(it.first) > 0)
            result += name + "told 'not run' but ran\n";
        if (call.finals > 0 && !call.error && call.received.size() != pieceCount)
            result += name + "cut answer told whole\n";
        if (call.finals > 0 && call.endedAt - call.startedAt > callerSilence * 4 + deadline)
            result += name + "answered after its deadline\n";
        if (call.finals > 0 && !call.error && runs(it.first) == 0)
            result += name + "answered but not run\n";
        result += violationsOf(call);
    }
    for (std::shared_ptr<Runner> const& runner : m_runners) {
        if (runner->isLive() && !runner->isFinished())
            result += "call " + std::to_string(runner->call()) + ": a request never ends\n";
    }
    return result;
}

}
