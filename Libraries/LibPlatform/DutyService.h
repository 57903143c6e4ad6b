#pragma once

#include <LibCore/Result.h>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Platform {

/// Who makes a call that is one daemon's duty at a time, and what proves it.
struct DutyHolder {
    std::string daemon;
    std::uint64_t fencing { 0 }; ///< Grows with each change of the holder.
};

/// How many requests of each organisation began to run in one window of true time.
struct UsageOfWindow {
    std::uint64_t window { 0 };
    std::map<std::string, std::uint64_t> counts;
};

/// How many engines of one kind a service is to have in an availability zone.
struct EngineCount {
    std::string service;
    std::string availabilityZone;
    std::uint32_t count { 0 };
    bool isReclaimable { false }; ///< Cheaper ones, which the platform may take back at short notice.
};

/// How the platform answered a call.
enum class DutyReply : std::uint8_t {
    Accepted,
    Refused, ///< Another holder has shown a higher number, or, to an order for engines, none are to be had there now.
};

/// Calls to the platform that are the duty of one daemon at a time. `mayWrite` is asked once the connection stands, right before
/// the call is written. Use from its client's thread. Errors: Overloaded or Unavailable with verdict NotRun: it was not carried
/// out; LostAuthority: `mayWrite` denied it; with verdict MayHaveRun: it may be carried out, also seconds later.
class DutyService {
public:
    virtual ~DutyService() = default;

    /// Reports a window. An exact repeat is harmless.
    virtual boost::asio::awaitable<Core::Result<DutyReply>> reportUsage(DutyHolder, UsageOfWindow, std::function<bool()> mayWrite) = 0;

    /// Orders engines: the number that is to run, not a difference.
    virtual boost::asio::awaitable<Core::Result<DutyReply>> orderEngines(DutyHolder, EngineCount, std::function<bool()> mayWrite) = 0;
};

}
