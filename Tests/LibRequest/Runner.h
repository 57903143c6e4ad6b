#pragma once

#include "RequestSimulation.h"

namespace RequestTest {

/// Performs one machine's actions in the simulation, as the daemon's I/O layer does.
class Runner : public std::enable_shared_from_this<Runner> {
public:
    Runner(RequestSimulation&, NodeId, int call, Request::RequestProfile, std::optional<NodeId> home);

    void feed(Request::RequestEvent);
    void start();

    std::function<void(std::uint64_t position, std::string bytes)> onPiece;
    std::function<void(Request::Finish const&)> onFinish;
    std::uint64_t firstPiece { 0 }; ///< Where the caller resumes, for a request forwarded to a home.

    NodeId node() const { return m_node; }
    int call() const { return m_call; }
    bool isFinished() const { return m_machine.isFinished(); }
    bool isLive() const; ///< Whether its process still runs.
    std::optional<NodeId> currentTarget() const;
    Request::Leg currentLeg() const { return m_leg; }

private:
    void act(Request::Dispatch const&);
    void act(Request::Continue const&);
    void act(Request::WriteRequest const&);
    void act(Request::Resume const&);
    void act(Request::CancelAtTarget const&);
    void act(Request::DeliverHead const&) { }
    void act(Request::DeliverPiece const&);
    void act(Request::Finish const&);
    void attempt(std::uint32_t number, std::vector<std::string> const& excluded);
    void connectTo(Request::Leg, NodeId, Task const& whenConnected);
    void watch(Request::Leg);
    void follow(Request::Leg, std::uint64_t from);
    std::string key(std::uint32_t attempt) const;

    RequestSimulation& m_simulation;
    NodeId m_node;
    std::uint64_t m_incarnation;
    int m_call;
    int m_number;
    std::optional<NodeId> m_home;
    Request::RequestProfile m_profile;
    Request::RequestMachine m_machine;
    Request::Leg m_leg;
    ConnectionPtr m_connection;
    std::map<std::uint32_t, NodeId> m_targets; ///< By attempt.
    std::uint64_t m_base { 0 };
    std::uint64_t m_delivered { 0 };
    TimePoint m_heardAt;
};

}
