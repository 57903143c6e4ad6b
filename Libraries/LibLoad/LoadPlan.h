#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Load {

/// The size of one request, in the tokens that the stand-ins count.
struct Shape {
    std::uint32_t promptTokens { 0 };
    std::uint32_t outputTokens { 0 };

    bool operator==(Shape const&) const = default;
};

/// What load is offered.
struct PlanSettings {
    std::uint64_t seed { 1 };
    double requestsPerSecond { 10 };
    std::chrono::milliseconds time { 10'000 };
    std::chrono::milliseconds phaseTime { 5'000 }; ///< Long prompts and short questions alternate after this time.
    std::uint64_t limit { 100'000 }; ///< The most requests.
    Shape longPrompt { 2000, 16 };
    Shape shortQuestion { 40, 64 };
};

/// One request to come.
struct Arrival {
    std::chrono::nanoseconds at { 0 }; ///< After the start.
    Shape shape;

    bool operator==(Arrival const&) const = default;
};

/// Returns the shape of requests that arrive so long after the start: long prompts first. Thread-safe.
Shape shapeAt(PlanSettings const&, std::chrono::nanoseconds at);

/// Returns Poisson arrivals at the given rate, sorted by time; the same seed gives the same ones. Preconditions: the
/// rate and the phase time are above 0. Thread-safe.
std::vector<Arrival> planArrivals(PlanSettings const&);

/// Returns the prompt of request `index`: of `tokens` tokens, and unlike that of any other index and seed. Thread-safe.
std::string promptOf(std::uint64_t seed, std::uint64_t index, std::uint32_t tokens);

}
