#include <Control.pb.h>
#include <LibDaemon/SuspectMessages.h>
#include <algorithm>

namespace Daemon {

namespace {

namespace Proto = currantvale::control;

// Bounds ages read from a message, so that arithmetic with them cannot overflow the clock's representation.
constexpr std::chrono::milliseconds maxAge = std::chrono::days(10 * 365);

std::uint64_t ageOf(Quarantine::Time at, Quarantine::Time now)
{
    return static_cast<std::uint64_t>(std::max<std::chrono::milliseconds::rep>(0, std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count()));
}

Quarantine::Time timeOf(std::uint64_t age, Quarantine::Time now)
{
    return now - std::chrono::milliseconds(std::min<std::uint64_t>(age, maxAge.count()));
}

}

std::string encode(Quarantine::Suspect const& suspect, Quarantine::Time now)
{
    Proto::Suspect message;
    for (Quarantine::TargetEnd const& end : suspect.ends) {
        Proto::Suspect::End* added = message.add_ends();
        added->set_target(end.target.incarnation);
        added->set_service(end.target.service);
        added->set_release(end.target.release);
        added->set_name(end.target.name);
        added->set_age_ms(ageOf(end.at, now));
        added->set_begun_age_ms(ageOf(end.begunAt, now));
    }
    if (suspect.survivedAt != Quarantine::Time())
        message.set_survived_age_ms(ageOf(suspect.survivedAt, now));
    return message.SerializeAsString();
}

Core::Result<Quarantine::Suspect> decodeSuspect(std::string_view key, std::string_view bytes, Quarantine::Time now)
{
    Quarantine::Suspect suspect;
    Proto::Suspect message;
    std::optional<Request::Fingerprint> fingerprint = Request::fingerprintFrom(key);
    if (!fingerprint || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "a suspected request cannot be decoded");
    suspect.key = *fingerprint;
    for (Proto::Suspect::End const& end : message.ends())
        suspect.ends.push_back({ { end.target(), end.service(), end.release(), end.name() }, timeOf(end.begun_age_ms(), now), timeOf(end.age_ms(), now) });
    if (message.has_survived_age_ms())
        suspect.survivedAt = timeOf(message.survived_age_ms(), now);
    return suspect;
}

}
