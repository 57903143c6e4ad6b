#include "Runner.h"
#include <algorithm>

namespace RequestTest {

namespace {

constexpr Millis silenceLimit = 200ms;
constexpr Millis cancelTimeout = 300ms;

}

Runner::Runner(RequestSimulation& simulation, NodeId node, int call, Request::RequestProfile profile, std::optional<NodeId> home)
    : m_simulation(simulation)
    , m_node(node)
    , m_incarnation(simulation.m_nodes[node].incarnation)
    , m_call(call)
    , m_number(static_cast<int>(simulation.m_runners.size()))
    , m_home(home)
    , m_profile(profile)
    , m_machine(profile, *simulation.m_daemons[node].budget)
{
}

void Runner::start()
{
    m_simulation.m_runners.push_back(shared_from_this());
    m_simulation.timer(m_node, std::chrono::duration_cast<Millis>(m_profile.deadline - m_simulation.now()), [self = shared_from_this()] { self->feed(Request::DeadlineReached {}); });
    if (!m_home)
        m_simulation.step(Step::Queued, m_call);
    m_simulation.timer(m_node, 1ms, [self = shared_from_this()] { self->feed(Request::Admitted {}); });
}

std::optional<NodeId> Runner::currentTarget() const
{
    auto it = m_targets.find(m_leg.attempt);
    return it == m_targets.end() || m_machine.isFinished() ? std::nullopt : std::optional(it->second);
}

bool Runner::isLive() const
{
    Node const& node = m_simulation.m_nodes[m_node];
    return node.isAlive && node.incarnation == m_incarnation;
}

void Runner::feed(Request::RequestEvent event)
{
    if (!isLive())
        return;
    m_heardAt = m_simulation.now();
    for (Request::RequestAction const& action : m_machine.handle(std::move(event), m_simulation.now()))
        std::visit([this](auto const& it) { act(it); }, action);
}

std::string Runner::key(std::uint32_t attempt) const
{
    return std::to_string(m_number) + "/" + std::to_string(attempt);
}

void Runner::connectTo(Request::Leg leg, NodeId target, Task const& whenConnected)
{
    m_leg = leg;
    m_connection = m_simulation.connect(m_node, target);
    m_heardAt = m_simulation.now();
    std::shared_ptr<Runner> self = shared_from_this();
    m_simulation.send(m_connection, m_node, whenConnected, [self, leg] { self->feed(Request::ConnectFailed { leg }); });
    watch(leg);
}

void Runner::watch(Request::Leg leg)
{
    m_simulation.timer(m_node, silenceLimit, [self = shared_from_this(), leg] {
        if (self->m_machine.isFinished() || leg != self->m_leg)
            return;
        if (self->m_simulation.now() - self->m_heardAt >= silenceLimit)
            self->feed(Request::SilentConnection { leg });
        if (!self->m_machine.isFinished() && leg == self->m_leg)
            self->watch(leg);
    });
}

void Runner::attempt(std::uint32_t number, std::vector<std::string> const& excluded)
{
    NodeId target = m_home.value_or(firstTarget);
    while (!m_home && std::find(excluded.begin(), excluded.end(), std::to_string(target)) != excluded.end())
        ++target;
    std::shared_ptr<Runner> self = shared_from_this();
    if (!m_home && !m_simulation.m_nodes.contains(target)) {
        m_simulation.timer(m_node, 0ms, [self, number] {
            self->feed(Request::NoTarget { number, Core::makeError(Core::ErrorCode::Unavailable, "No target is left."), 1s });
        });
        return;
    }
    Request::Leg leg { number, 1 };
    m_targets[number] = target;
    m_base = m_delivered;
    ++m_simulation.m_dispatches;
    m_simulation.timer(m_node, 0ms, [self, number, target] { self->feed(Request::TargetPicked { number, std::to_string(target) }); });
    if (!m_home) {
        m_simulation.step(Step::Picked, m_call);
        m_simulation.step(Step::Connecting, m_call);
    }
    connectTo(leg, target, [self, leg, target] {
        self->m_simulation.send(self->m_connection, target, [self, leg, incarnation = std::to_string(self->m_simulation.m_nodes[target].incarnation)] { self->feed(Request::Connected { leg, incarnation }); });
    });
}

void Runner::act(Request::Dispatch const& it)
{
    m_simulation.timer(m_node, it.delay, [self = shared_from_this(), it] { self->attempt(it.attempt, it.excluded); });
}

void Runner::act(Request::Continue const& it)
{
    attempt(it.attempt, it.excluded);
}

void Runner::act(Request::WriteRequest const& it)
{
    if (m_home) {
        follow(it.leg, 0);
        return;
    }
    m_simulation.step(Step::Written, m_call);
    std::shared_ptr<Runner> self = shared_from_this();
    NodeId target = m_targets[it.leg.attempt];
    m_simulation.send(m_connection, m_node, [self, target, leg = it.leg, connection = m_connection, first = m_base] { self->m_simulation.targetReceives(target, self->key(leg.attempt), self->m_call, first, self, leg, connection); }, [self, leg = it.leg] { self->feed(Request::StreamBroken { leg }); });
}

/// Sends the request, or its continuation, to its home.
void Runner::follow(Request::Leg leg, std::uint64_t from)
{
    std::shared_ptr<Runner> self = shared_from_this();
    ConnectionPtr connection = m_connection;
    std::shared_ptr<Reader> reader = std::make_shared<Reader>();
    reader->next = firstPiece + from;
    auto toEntry = [self, connection](Request::RequestEvent const& event) {
        self->m_simulation.send(connection, *self->m_home, [self, event] { self->feed(event); });
    };
    bool isFirst = true;
    reader->onPiece = [self, leg, toEntry, isFirst](std::uint64_t position, std::string bytes) mutable {
        if (std::exchange(isFirst, false))
            toEntry(Request::ResponseHead { leg, 200 });
        toEntry(Request::Piece { leg, position - self->firstPiece, std::move(bytes), true });
    };
    Reader* raw = reader.get();
    reader->onEnd = [self, leg, toEntry, raw](Request::AnswerEnd const& end) {
        if (end.error) {
            toEntry(Request::HomeAnswered { leg, *end.error, 1s });
            return;
        }
        toEntry(Request::ResponseHead { leg, 200 });
        toEntry(Request::StreamEnded { leg, raw->next - self->firstPiece });
    };
    m_simulation.send(
        connection, m_node, [self, reader] { self->m_simulation.homeReceives(*self->m_home, self->m_call, reader); },
        [self, leg] { self->feed(Request::StreamBroken { leg }); });
}

void Runner::act(Request::Resume const& it)
{
    std::shared_ptr<Runner> self = shared_from_this();
    m_leg = it.leg;
    m_simulation.timer(m_node, it.delay, [self, it] {
        if (self->m_machine.isFinished() || it.leg != self->m_leg)
            return;
        NodeId target = self->m_targets[it.leg.attempt];
        self->connectTo(it.leg, target, [self, it, target] {
            ConnectionPtr connection = self->m_connection;
            if (self->m_home) {
                self->m_simulation.send(connection, target, [self, it] {
                    self->feed(Request::ResumeAccepted { it.leg });
                    self->follow(it.leg, it.from);
                });
                return;
            }
            std::string key = self->key(it.leg.attempt);
            bool isKnown = self->m_simulation.m_targets[target].streams.contains(key);
            self->m_simulation.send(connection, target, [self, it, isKnown] {
                if (isKnown)
                    self->feed(Request::ResumeAccepted { it.leg });
                else
                    self->feed(Request::ResumeUnknown { it.leg });
            });
            if (isKnown)
                self->m_simulation.emit(target, key, it.from, self, it.leg, connection);
        });
    });
}

void Runner::act(Request::CancelAtTarget const& it)
{
    std::shared_ptr<Runner> self = shared_from_this();
    NodeId target = m_targets[it.attempt];
    ConnectionPtr connection = m_simulation.connect(m_node, target);
    auto answer = [self, it](Request::CancelOutcome outcome, std::string const& incarnation) { self->feed(Request::CancelAcknowledged { it.attempt, outcome, incarnation }); };
    m_simulation.timer(m_node, cancelTimeout, [answer] { answer(Request::CancelOutcome::Unknown, ""); });
    m_simulation.send(connection, m_node, [self, it, target, connection, answer] {
        Target& state = self->m_simulation.m_targets[target];
        std::string key = self->key(it.attempt);
        auto stream = state.streams.find(key);
        Request::CancelOutcome outcome = Request::CancelOutcome::Canceled;
        if (stream != state.streams.end()) {
            stream->second.isCanceled = true;
        } else {
            state.fenced.insert(key);
            outcome = Request::CancelOutcome::NeverSeen;
        }
        std::string incarnation = std::to_string(self->m_simulation.m_nodes[target].incarnation);
        self->m_simulation.send(connection, target, [answer, outcome, incarnation] { answer(outcome, incarnation); });
    });
}

void Runner::act(Request::DeliverPiece const& it)
{
    ++m_delivered;
    if (onPiece)
        onPiece(it.position, it.bytes);
    if (!m_home && m_delivered == 2)
        m_simulation.step(Step::Streaming, m_call);
    if (!m_home && m_delivered == pieceCount)
        m_simulation.step(Step::Ending, m_call);
}

void Runner::act(Request::Finish const& it)
{
    if (!m_home)
        m_simulation.step(Step::Kept, m_call);
    if (onFinish)
        onFinish(it);
}

}
