#pragma once

#include <LibAdmission/PlaceShares.h>
#include <LibRouting/PaceBook.h>
#include <LibRouting/ServiceReport.h>
#include <optional>

namespace currantvale::control {

class PaceSample;
class PlaceDemand;
class ServiceReport;

}

namespace Daemon {

namespace Proto = currantvale::control;

/// Forms of what beacons tell of engines' speeds, demand and scarce places. Thread-safe.
void fillReport(Proto::ServiceReport&, Routing::ServiceReport const&);
/// Whether all amounts are such: a datagram may hold anything, and what is none would spoil every sum that it is added to.
bool isUsable(Proto::ServiceReport const&);
Routing::ServiceReport readReport(Proto::ServiceReport const&);
void fillPlaceDemand(Proto::PlaceDemand&, Admission::PlaceDemand const&);
Admission::PlaceDemand readPlaceDemand(Proto::PlaceDemand const&);
void fillPaceSample(Proto::PaceSample&, Routing::PaceSample const&);
/// Empty if the sample cannot be used.
std::optional<Routing::PaceSample> readPaceSample(Proto::PaceSample const&);

}
