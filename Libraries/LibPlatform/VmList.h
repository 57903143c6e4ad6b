#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Client.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Platform {

/// What runs on a VM.
enum class VmKind : std::uint8_t { Entry,
    Engine,
    Service };

inline constexpr Core::EnumNames<VmKind, 3> vmKindNames { {
    { VmKind::Entry, "entry" },
    { VmKind::Engine, "engine" },
    { VmKind::Service, "service" },
} };

/// What the platform says of a VM's life.
enum class VmState : std::uint8_t { Live,
    Leaving };

inline constexpr Core::EnumNames<VmState, 2> vmStateNames { {
    { VmState::Live, "live" },
    { VmState::Leaving, "leaving" },
} };

/// One VM of the platform's list.
struct Vm {
    std::string name;
    VmKind kind { VmKind::Engine };
    VmState state { VmState::Live };
    boost::asio::ip::tcp::endpoint address; ///< Of an entry VM: where its peers connect.
    boost::asio::ip::tcp::endpoint callerAddress; ///< Of an entry VM: where callers connect.
    std::string availabilityZone;
    std::string region;
    std::string pool; ///< The lease that an engine belongs to; its name when the platform gives none.

    bool operator==(Vm const&) const = default;
};

/// The platform's list of VMs, which lags behind reality. Use from its client's thread.
class VmList {
public:
    virtual ~VmList() = default;

    /// Reads the whole list, sorted by name. Errors: Unavailable, Timeout, BadInput.
    virtual boost::asio::awaitable<Core::Result<std::vector<Vm>>> read() = 0;
};

/// Parses the list's JSON document. Errors (BadInput) name the VM and field. Thread-safe.
Core::Result<std::vector<Vm>> parseVms(std::string_view json);

/// Creates the adapter that speaks docs/design/platform-protocols.md over HTTP.
/// Precondition: the client outlives it.
std::unique_ptr<VmList> createHttpVmList(Http::Client&, boost::asio::ip::tcp::endpoint);

}
