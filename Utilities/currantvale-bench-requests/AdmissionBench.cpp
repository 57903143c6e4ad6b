#include "Bench.h"
#include <LibAdmission/Controller.h>
#include <cstdio>
#include <deque>
#include <random>

namespace Bench {

namespace {

constexpr std::uint32_t targetCount = 64;
constexpr std::uint32_t inFlightPerTarget = 16;
constexpr std::uint64_t operations = 200'000;

/// A controller whose targets are full and in which each organisation has one request waiting.
struct Saturated {
    std::unique_ptr<Admission::Controller> controller;
    std::vector<std::string> organisations;
    std::deque<Admission::RequestId> running;
    std::mt19937_64 random { 1 };
    Admission::RequestId nextId { 1 };
    Admission::TimePoint now { std::chrono::seconds(1) };

    explicit Saturated(std::uint32_t organisationCount)
    {
        Admission::Controller::Limits limits;
        limits.queuedPerGroup = 100'000;
        limits.inFlightPerOrganisation = 2048;
        controller = Admission::Controller::create(limits, [this](Admission::RequestId, Admission::GroupId) { return choose(); }).value();
        for (std::uint32_t i = 0; i < targetCount; ++i)
            controller->setTarget(i, inFlightPerTarget, { 0 });
        for (std::uint32_t i = 0; i < organisationCount; ++i)
            organisations.push_back("organisation-" + std::to_string(i));
        for (std::uint32_t i = 0; i < targetCount * inFlightPerTarget; ++i)
            ask(i % organisationCount);
        for (std::uint32_t i = 0; i < organisationCount; ++i)
            ask(i);
    }

    std::optional<Admission::TargetId> choose()
    {
        std::uint32_t first = static_cast<std::uint32_t>(random() % targetCount);
        for (std::uint32_t i = 0; i < targetCount; ++i) {
            Admission::TargetId id = (first + i) % targetCount;
            if (controller->hasRoom(id))
                return id;
        }
        return std::nullopt;
    }

    void ask(std::size_t organisation)
    {
        Admission::Demand demand { nextId++, organisations[organisation], 0, static_cast<int>(random() % 10), 200 + random() % 2000, now + std::chrono::hours(1) };
        Admission::Controller::Decision decision = controller->enter(demand, now);
        if (Admission::Grant* grant = std::get_if<Admission::Grant>(&decision))
            running.push_back(grant->id);
    }

    /// One request ends, the next one starts, a new one waits.
    void step()
    {
        now += std::chrono::microseconds(100);
        Admission::RequestId ended = running.front();
        running.pop_front();
        for (Admission::Grant const& grant : controller->release(ended, now))
            running.push_back(grant.id);
        ask(random() % organisations.size());
    }
};

}

void runAdmission()
{
    for (std::uint32_t organisations : { 10U, 1'000U, 24'000U }) {
        std::uint64_t before = heapBytes();
        Saturated state(organisations);
        std::uint64_t bytes = heapBytes() - before;
        double ns = nanosecondsEach(operations, [&state] {
            for (std::uint64_t i = 0; i < operations; ++i)
                state.step();
        });
        std::printf("admission organisations=%u waiting=%zu enter_and_release_ns=%.0f bytes_per_organisation=%.0f\n",
            organisations, state.controller->queued(0), ns, static_cast<double>(bytes) / organisations);
    }
}

}
