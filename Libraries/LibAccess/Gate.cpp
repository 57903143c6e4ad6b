#include <LibAccess/Gate.h>

namespace Access {

namespace {

bool isWithin(std::optional<std::chrono::milliseconds> age, std::chrono::milliseconds bound)
{
    return age && *age <= bound;
}

}

Admittance judge(Organisations const* organisations, Credentials const& credentials, GateSettings const& settings)
{
    if (!organisations || credentials.isPublicRoute)
        return { Verdict::NotAsked };
    if (settings.isStrict && !isWithin(credentials.configurationAge, settings.acceptWithin))
        return { Verdict::NotKnownYet };
    bool hasOneKey = credentials.keys.size() == 1 && !credentials.keys.front().empty();
    if (hasOneKey) {
        if (Organisation const* organisation = organisations->find(credentials.keys.front()))
            return { Verdict::Allowed, organisation };
    }
    if (!isWithin(credentials.configurationAge, settings.refuseWithin))
        return { Verdict::NotKnownYet };
    return { hasOneKey ? Verdict::Unknown : Verdict::Missing };
}

Core::Error errorOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Missing:
        return Core::makeError(Core::ErrorCode::Unauthenticated, "the request has no key, or more than one; allowed is one key of the organisation that it is for");
    case Verdict::NotKnownYet:
        return Core::makeError(Core::ErrorCode::Unavailable, "this daemon cannot tell now which keys are in force");
    case Verdict::Allowed:
    case Verdict::NotAsked:
    case Verdict::Unknown:
        break;
    }
    return Core::makeError(Core::ErrorCode::Unauthenticated, "no organisation holds the request's key");
}

}
