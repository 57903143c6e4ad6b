#include "Bench.h"
#include <LibAdmission/Controller.h>
#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>

namespace Bench {

namespace {

using Admission::TimePoint;
using Millis = std::chrono::milliseconds;

constexpr std::uint32_t targets = 9;
constexpr std::uint32_t placesPerTarget = 8;
constexpr double tokensPerSecondOfPlace = 400;
constexpr double meanTokens = 400;
constexpr double runSeconds = 120;
constexpr Millis patience(4000); ///< From arrival to the whole answer.
constexpr int organisations = 20;
constexpr double capacityPerSecond = targets * placesPerTarget * tokensPerSecondOfPlace / meanTokens;

struct Request {
    TimePoint arrival;
    std::uint64_t tokens { 0 };
    int organisation { 0 };
};

struct Result {
    std::array<std::uint64_t, 2> offered {}; ///< By organisation 0, and by all others.
    std::array<std::uint64_t, 2> inTime {};
};

Millis serviceTime(std::uint64_t tokens) { return Millis(static_cast<std::int64_t>(1000.0 * static_cast<double>(tokens) / tokensPerSecondOfPlace)); }

/// One fleet in virtual time; with `controller` the real admission, else one first-come queue without an end.
class Fleet {
public:
    Fleet(double load, bool isFlooded, bool hasController)
        : m_hasController(hasController)
    {
        Admission::Controller::Limits limits { .inFlightPerOrganisation = 72, .queuedPerOrganisation = 200, .queuedPerGroup = 400 };
        m_controller = Admission::Controller::create(limits, [this](Admission::RequestId, Admission::GroupId) { return choose(); }).value();
        for (std::uint32_t i = 0; i < targets; ++i)
            m_controller->setTarget(i, placesPerTarget, { 0 });
        generate(load, isFlooded);
    }

    Result run()
    {
        for (Admission::RequestId id = 0; id < m_requests.size(); ++id) {
            endUntil(m_requests[id].arrival);
            m_now = m_requests[id].arrival;
            arrive(id);
        }
        return m_result;
    }

private:
    void generate(double load, bool isFlooded)
    {
        std::mt19937_64 random(20261202);
        std::exponential_distribution<double> gap(load * capacityPerSecond);
        std::exponential_distribution<double> size(1 / meanTokens);
        for (double time = gap(random); time < runSeconds; time += gap(random)) {
            int organisation = static_cast<int>(random() % organisations);
            if (isFlooded && random() % 2 == 0)
                organisation = 0;
            std::uint64_t tokens = 1 + static_cast<std::uint64_t>(std::min(size(random), 1200.0));
            m_requests.push_back({ TimePoint(Millis(1000 + static_cast<std::int64_t>(time * 1000))), tokens, organisation });
        }
    }

    std::optional<Admission::TargetId> choose() const
    {
        for (Admission::TargetId id = 0; id < targets; ++id) {
            if (m_controller->hasRoom(id))
                return id;
        }
        return std::nullopt;
    }

    void arrive(Admission::RequestId id)
    {
        Request const& it = m_requests[id];
        ++m_result.offered[it.organisation == 0 ? 0 : 1];
        if (!m_hasController) {
            m_waiting.push_back(id);
            startWaiting();
            return;
        }
        m_controller->expire(m_now);
        std::string name = std::to_string(it.organisation);
        Admission::Controller::Decision decision = m_controller->enter({ id, name, 0, 5, it.tokens, it.arrival + patience - serviceTime(it.tokens) }, m_now);
        if (std::holds_alternative<Admission::Grant>(decision))
            begin(id);
    }

    void begin(Admission::RequestId id)
    {
        ++m_running;
        m_ends.emplace(m_now + serviceTime(m_requests[id].tokens), id);
    }

    void startWaiting()
    {
        while (!m_waiting.empty() && m_running < targets * placesPerTarget) {
            begin(m_waiting.front());
            m_waiting.pop_front();
        }
    }

    void endUntil(TimePoint time)
    {
        while (!m_ends.empty() && m_ends.top().first <= time) {
            std::pair<TimePoint, Admission::RequestId> end = m_ends.top();
            m_ends.pop();
            m_now = end.first;
            --m_running;
            Request const& it = m_requests[end.second];
            if (m_now <= it.arrival + patience)
                ++m_result.inTime[it.organisation == 0 ? 0 : 1];
            if (!m_hasController) {
                startWaiting();
                continue;
            }
            m_controller->expire(m_now);
            for (Admission::Grant const& grant : m_controller->release(end.second, m_now))
                begin(grant.id);
        }
    }

    bool m_hasController { false };
    std::unique_ptr<Admission::Controller> m_controller;
    std::vector<Request> m_requests;
    std::deque<Admission::RequestId> m_waiting;
    std::priority_queue<std::pair<TimePoint, Admission::RequestId>, std::vector<std::pair<TimePoint, Admission::RequestId>>, std::greater<>> m_ends;
    std::uint32_t m_running { 0 };
    TimePoint m_now;
    Result m_result;
};

}

void runOverloadTrial()
{
    for (bool isFlooded : { false, true }) {
        for (double load : { 0.5, 0.8, 1.0, 1.2, 1.5 }) {
            for (bool hasController : { false, true }) {
                Result it = Fleet(load, isFlooded, hasController).run();
                double goodput = static_cast<double>(it.inTime[0] + it.inTime[1]) / runSeconds;
                double others = static_cast<double>(it.inTime[1]) / static_cast<double>(it.offered[1]);
                std::printf("overload load=%.1f flood=%s admission=%s in_time_per_s=%.1f others_in_time=%.1f%%\n", load, isFlooded ? "yes" : "no",
                    hasController ? "controller" : "first-come", goodput, 100 * others);
            }
        }
    }
}

}
