#include <LibRequest/HttpMapping.h>
#include <algorithm>
#include <boost/json.hpp>

namespace Request {

namespace {

int statusOfNotRun(Core::ErrorCode code)
{
    switch (code) {
    case Core::ErrorCode::BadInput:
        return 400;
    case Core::ErrorCode::NotFound:
        return 404;
    case Core::ErrorCode::Conflict:
        return 422;
    case Core::ErrorCode::Unauthenticated:
        return 401;
    case Core::ErrorCode::Unauthorized:
    case Core::ErrorCode::NotAllowed:
        return 403;
    case Core::ErrorCode::Overloaded:
        return 429;
    case Core::ErrorCode::Unavailable:
    case Core::ErrorCode::Canceled:
    case Core::ErrorCode::Quarantined:
        return 503;
    case Core::ErrorCode::Timeout:
        return 504;
    case Core::ErrorCode::LostAuthority:
    case Core::ErrorCode::Gap:
    case Core::ErrorCode::Corrupt:
    case Core::ErrorCode::Internal:
        break;
    }
    return 500;
}

int statusOfUncertain(Core::ErrorCode code, bool isRepeatable)
{
    // Gone: the request ran or may have run, and its answer is no longer kept.
    if (code == Core::ErrorCode::NotFound)
        return 410;
    if (code == Core::ErrorCode::BadInput)
        return 400;
    // RFC 4918, section 11.4: no client library was found that resends on it.
    if (!isRepeatable)
        return 424;
    return code == Core::ErrorCode::Timeout ? 504 : 502;
}

std::string secondsRoundedUp(std::chrono::milliseconds time)
{
    std::chrono::seconds seconds = std::chrono::ceil<std::chrono::seconds>(time);
    return std::to_string(std::max<std::chrono::seconds::rep>(1, seconds.count()));
}

bool hasRetryAfter(Core::ErrorCode code)
{
    return code == Core::ErrorCode::Overloaded || code == Core::ErrorCode::Unavailable || code == Core::ErrorCode::Canceled || code == Core::ErrorCode::Quarantined;
}

}

std::string errorBody(Core::Error const& error, std::string_view requestId)
{
    boost::json::object inner;
    inner["code"] = Core::toString(error.code);
    inner["message"] = error.message;
    inner["verdict"] = Core::toString(error.verdict);
    inner["request_id"] = requestId;
    boost::json::object outer;
    outer["error"] = std::move(inner);
    return boost::json::serialize(outer);
}

std::string streamErrorEvent(Core::Error const& error, std::string_view requestId)
{
    return "event: error\ndata: " + errorBody(error, requestId) + "\n\n";
}

HttpError toHttpError(Core::Error const& error, HttpErrorContext const& context)
{
    bool isNotRun = error.verdict == Core::Verdict::NotRun;
    HttpError result;
    result.status = isNotRun ? statusOfNotRun(error.code) : statusOfUncertain(error.code, context.isRepeatable);
    result.headers.emplace_back("Content-Type", "application/json");
    result.headers.emplace_back(verdictHeader, Core::toString(error.verdict));
    if (!isNotRun)
        result.headers.emplace_back(shouldRetryHeader, "false");
    if (isNotRun && error.code == Core::ErrorCode::Quarantined)
        result.headers.emplace_back(shouldRetryHeader, "false");
    if (isNotRun && hasRetryAfter(error.code))
        result.headers.emplace_back("Retry-After", secondsRoundedUp(context.retryAfter));
    result.body = errorBody(error, context.requestId);
    return result;
}

HttpError ticketRequired(std::string_view freshTicket, std::string_view requestId)
{
    Core::Error error = Core::makeError(Core::ErrorCode::BadInput,
        "An idempotency key needs a ticket: send again with the one in this answer's Currantvale-Ticket header.");
    HttpError result = toHttpError(error, HttpErrorContext { requestId });
    result.status = 428;
    result.headers.emplace_back(ticketHeader, freshTicket);
    return result;
}

}
