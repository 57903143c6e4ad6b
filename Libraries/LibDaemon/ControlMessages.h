#pragma once

#include <LibCore/Result.h>
#include <LibRoles/FleetView.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Daemon {

/// The holder of a lease asks a daemon to close an engine to new requests, or to open it again.
struct CloseRequest {
    std::string engine;
    std::uint64_t fencing { 0 };
    std::uint64_t round { 0 };
    std::chrono::milliseconds timeToLive { 0 };
    bool isOpening { false };
};

/// The answer: by whom, and whether it was done.
struct CloseReply {
    std::string daemon;
    std::string incarnation;
    bool isDone { false };
};

/// What a daemon counted for a pool since its last report.
struct MixReport {
    std::string pool;
    Roles::MixCounts counts {};
};

std::string encode(CloseRequest const&);
std::string encode(CloseReply const&);
std::string encode(MixReport const&);

/// Read messages back. Errors: Corrupt. Thread-safe, as all functions here.
Core::Result<CloseRequest> decodeCloseRequest(std::string_view bytes);
Core::Result<CloseReply> decodeCloseReply(std::string_view bytes);
Core::Result<MixReport> decodeMixReport(std::string_view bytes);

inline constexpr char const* closePath = "/v1/close";
inline constexpr char const* mixPath = "/v1/mix";
inline constexpr char const* identityPath = "/v1/identity";

}
