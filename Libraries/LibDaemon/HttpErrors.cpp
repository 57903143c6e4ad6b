#include <LibDaemon/HttpErrors.h>

namespace Daemon {

Http::Response toResponse(Request::HttpError error, std::string_view requestId)
{
    Http::Response response;
    response.status = static_cast<std::uint16_t>(error.status);
    for (std::pair<std::string, std::string>& header : error.headers)
        response.fields.set(std::move(header.first), std::move(header.second));
    if (!requestId.empty())
        response.fields.set(std::string(requestIdHeader), std::string(requestId));
    response.body = std::move(error.body);
    return response;
}

Http::Response errorResponse(Core::Error const& error, Request::HttpErrorContext const& context)
{
    return toResponse(Request::toHttpError(error, context), context.requestId);
}

Http::Response rejectionResponse(Http::Status status, std::string_view message)
{
    Core::ErrorCode code = status == Http::Status::ServiceUnavailable ? Core::ErrorCode::Unavailable : Core::ErrorCode::BadInput;
    Core::Error error = Core::makeError(code, std::string(message));
    Http::Response response = errorResponse(error, Request::HttpErrorContext());
    response.status = static_cast<std::uint16_t>(status);
    return response;
}

}
