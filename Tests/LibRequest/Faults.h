#pragma once

#include "RequestSimulation.h"
#include <array>

namespace RequestTest {

inline constexpr NodeId homeNode = 0;
inline constexpr NodeId otherEntry = 1;
inline constexpr std::size_t stepCount = 10;
inline constexpr std::size_t faultCount = 19;
inline constexpr std::array<char const*, stepCount> stepNames { "received", "queued", "picked", "connecting", "written", "awaiting_head", "streaming", "ending", "kept", "collected" };

/// A fault injected once a step is reached; node 0 is the ticket's home (or the entry), node 10 the first target.
struct Fault {
    std::string name;
    std::function<void(RequestSimulation&)> inject;
    /// Expected outcomes at the ten steps, for each kind of request, as returned by `RequestSimulation::outcome`.
    std::string repeatableStream;
    std::string serviceOnce;
    std::string engineOnce;
};

std::vector<Fault> const& faults();

/// Returns a simulation in which `fault` is injected when `step` is reached, and `second` (if any) 30 ms later.
std::unique_ptr<RequestSimulation> runFault(Kind, std::size_t step, Fault const& fault, Fault const* second = nullptr);

}
