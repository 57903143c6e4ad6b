#pragma once

#include <span>
#include <vector>

namespace Routing {

/// Divides work among targets of different speeds so that the mean time in the system is least, where each target does one request after
/// the other and requests arrive at random (Bell and Stidham, Individual versus Social Optimization in the Allocation of Customers to
/// Alternative Servers, 1983). With little work only the fast targets get some, with more the slower ones as well.
///
/// Returns the work of each target, in the unit of `load`: the targets of speed 1 that all work keeps busy. Without a known load, with next to none, and where
/// it comes close to what all targets can do, the parts are those of the speeds. Thread-safe. Precondition: speeds are positive and finite.
std::vector<double> leastTimeWork(std::span<double const> speeds, double load);

/// Returns how long others wait in all for one more second of work at targets that are busy for that part of the time, by the same model;
/// infinite from 1 on. Thread-safe.
double delayOfOthers(double utilisation);

}
