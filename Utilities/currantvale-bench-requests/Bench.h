#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace Bench {

/// Bytes on the heap now, by the C library's count.
std::uint64_t heapBytes();

/// Runs `body` and returns nanoseconds for each of its `count` operations, the best of five runs.
double nanosecondsEach(std::uint64_t count, std::function<void()> const& body);

/// Prints the nanoseconds in which the organisation that holds a key is found, at several numbers of organisations.
void runAccess();

/// Prints admission's nanoseconds and bytes at several numbers of active organisations.
void runAdmission();

/// Prints the microseconds of a placement at several numbers of targets and of peers that told of their work.
void runPlacement();

/// Prints the machine's events a second and the bytes for each open request, ticket and kept answer.
void runRequests();

/// Prints requests completed in time at 0.5 to 1.5 times a fleet's capacity, with admission and with one first-come queue,
/// without and with one organisation that sends half of the load. Virtual time, fixed seed.
void runOverloadTrial();

/// Prints the share of honest callers that end at 'may have run' when one daemon of eight is killed half-way through
/// 20 s of virtual time, for the ways weighed in docs/design/requests.md. A model of each way, not its code.
void runMayHaveRunTrial();

}
