#include <LibState/Outcome.h>

namespace State {

namespace {

std::string refusalMessage(Outcome const& outcome)
{
    switch (outcome.refusal) {
    case Refusal::None:
        break;
    case Refusal::Conflict:
        if (!outcome.currentRevision)
            return "refused: " + outcome.object + " does not exist";
        return "refused: " + outcome.object + " was changed at revision " + std::to_string(*outcome.currentRevision);
    case Refusal::TooOld:
        return "refused: the configuration that it was based on is too old; read it again";
    case Refusal::FromTheFuture:
        return "refused: it is based on a configuration that did not exist yet";
    case Refusal::Invalid:
        return "refused: " + outcome.detail;
    }
    return "refused";
}

}

std::string Outcome::message() const
{
    switch (kind) {
    case OutcomeKind::Accepted:
        return "accepted as revision " + std::to_string(revision);
    case OutcomeKind::Refused:
        return refusalMessage(*this);
    case OutcomeKind::Unseen:
        return "unknown: not read from the log so far; sending the same id again is safe";
    case OutcomeKind::Forgotten:
        return "unknown: too old to be remembered; it can no longer take effect, so compare the objects";
    }
    return "unknown";
}

}
