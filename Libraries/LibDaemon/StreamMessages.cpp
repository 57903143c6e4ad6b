#include <Control.pb.h>
#include <LibDaemon/StreamMessages.h>
#include <map>

namespace Daemon {

namespace {

namespace Proto = currantvale::control;

}

std::string encode(std::vector<Streams::BegunStream> const& streams)
{
    std::map<Streams::StreamOrigin, Proto::BegunStreams::Origin*> origins;
    Proto::BegunStreams message;
    for (Streams::BegunStream const& stream : streams) {
        Proto::BegunStreams::Origin*& origin = origins[stream.origin];
        if (!origin) {
            origin = message.add_origins();
            origin->set_service(stream.origin.service);
            origin->set_release(stream.origin.release);
        }
        origin->add_streams(stream.key);
    }
    return message.SerializeAsString();
}

Core::Result<std::vector<Streams::BegunStream>> decodeBegunStreams(std::string_view bytes)
{
    Proto::BegunStreams message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "a list of streams that have begun cannot be decoded");
    std::vector<Streams::BegunStream> streams;
    for (Proto::BegunStreams::Origin const& origin : message.origins()) {
        for (Streams::StreamKey key : origin.streams())
            streams.push_back({ key, { origin.service(), origin.release() } });
    }
    return streams;
}

std::string encode(std::set<std::string> const& releases)
{
    Proto::StreamReleases message;
    for (std::string const& release : releases)
        message.add_releases(release);
    return message.SerializeAsString();
}

Core::Result<Streams::ReleaseRecord> decodeReleases(std::uint64_t offset, std::string_view bytes)
{
    Proto::StreamReleases message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "the releases of a service cannot be decoded");
    return Streams::ReleaseRecord { offset, { message.releases().begin(), message.releases().end() } };
}

}
