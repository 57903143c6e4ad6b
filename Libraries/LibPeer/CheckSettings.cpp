#include <LibPeer/CheckSettings.h>
#include <array>
#include <string_view>
#include <utility>

namespace Peer {

Core::Result<void> checkSettings(Settings const& settings)
{
    std::array<std::pair<std::string_view, std::chrono::milliseconds>, 4> const times { {
        { "connectTimeout", settings.connectTimeout },
        { "heartbeatInterval", settings.heartbeatInterval },
        { "heartbeatTimeout", settings.heartbeatTimeout },
        { "idleTimeout", settings.idleTimeout },
    } };
    for (std::pair<std::string_view, std::chrono::milliseconds> const& time : times) {
        if (time.second.count() <= 0)
            return Core::fail(Core::ErrorCode::BadInput, std::string(time.first) + " is not above zero.");
    }
    // RFC 9113, 6.9.1: a window is at most 2^31 - 1 bytes.
    constexpr std::uint32_t maxWindow = 0x7fffffff;
    if (settings.streamWindowBytes == 0 || settings.streamWindowBytes > maxWindow)
        return Core::fail(Core::ErrorCode::BadInput, "streamWindowBytes is not between 1 and 2147483647.");
    if (settings.connectionWindowBytes < 65535 || settings.connectionWindowBytes > maxWindow)
        return Core::fail(Core::ErrorCode::BadInput, "connectionWindowBytes is not between 65535 and 2147483647.");
    if (settings.maxStreamsPerConnection == 0 || settings.maxQueuedAnswerBytes == 0)
        return Core::fail(Core::ErrorCode::BadInput, "maxStreamsPerConnection and maxQueuedAnswerBytes are not above zero.");
    return Core::ok();
}

}
