#include <LibDaemon/TargetProtocol.h>
#include <LibPlatform/Json.h>

namespace Daemon {

namespace {

constexpr std::string_view refusalCode = "not-serving";

std::string attemptId(Work const& work, TargetSend const& send)
{
    return work.requestId + "." + std::to_string(send.attempt);
}

Http::Request makeRequest(Work const& work, TargetSend const& send)
{
    Http::Request request = work.upstream;
    request.fields.set("X-Request-Id", attemptId(work, send));
    if (work.kind == Work::Kind::Model)
        request.fields.set("X-Priority", std::to_string(work.priority));
    if (work.isAuthenticated)
        request.fields.set(std::string(organisationHeader), work.organisation);
    if (!send.kvSource.empty())
        request.fields.set("X-KV-Source", send.kvSource);
    return request;
}

Http::Request makePrefill(Work const& work, TargetSend const& send)
{
    Http::Request request = makeRequest(work, send);
    request.fields.set("X-Request-Id", attemptId(work, send) + ".prefill");
    request.fields.add("X-Phase", "prefill");
    return request;
}

Core::Result<std::string> readPrefill(FleetTarget const& target, Work const&, Http::Response const& response)
{
    Core::Result<boost::json::object> body = Platform::parseObject(response.body);
    std::string handle = body.has_value() ? Platform::stringOf(body.value(), "kv") : std::string();
    if (response.status != static_cast<std::uint16_t>(Http::Status::Ok) || handle.empty())
        return Core::fail(Core::ErrorCode::Unavailable, "the target answered " + std::to_string(response.status) + " to a prefill");
    return Http::toString(target.endpoint) + "/" + handle;
}

bool isRefusal(std::string_view body)
{
    Core::Result<boost::json::object> object = Platform::parseObject(body);
    if (object.has_error())
        return false;
    boost::json::value const* error = object.value().if_contains("error");
    return error && error->is_object() && Platform::stringOf(error->get_object(), "code") == refusalCode;
}

AnswerProof judge(Work const& work, TargetSend const&, Http::ResponseHead const& head, std::string const* body)
{
    bool isEngine = work.kind == Work::Kind::Model;
    bool isUnavailable = head.status == static_cast<std::uint16_t>(Http::Status::ServiceUnavailable);
    return isEngine && isUnavailable && body && isRefusal(*body) ? AnswerProof::NotRun : AnswerProof::Answer;
}

}

TargetProtocol ownTargetProtocol()
{
    TargetProtocol protocol;
    protocol.request = makeRequest;
    protocol.prefillRequest = makePrefill;
    protocol.readPrefill = readPrefill;
    protocol.judge = judge;
    return protocol;
}

}
