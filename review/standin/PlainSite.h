#pragma once

// Runners of a plain service and callers that keep their channels, for cases on requests without engines.

#include "Site.h"

namespace Standin {

/// The answer of a sound runner to a request, with the proof that a success needs.
inline Message soundAnswer(Message const& request, std::string const& runner)
{
    Message response;
    response.status = 200;
    response.fields = { { "X-Request-Id", request.field("X-Request-Id") }, { "X-Server-Seal", "seal-" + request.field("X-Request-Id") + "-" + runner }, { "X-Instance-Id", runner }, { "Content-Type", "text/plain" } };
    response.body = "answer to " + request.field("X-Request-Id") + std::string(760, '.');
    return response;
}

/// A request of a caller on a route of the plain service.
inline Message callerRequest(std::string const& method, std::string const& path, std::string const& id, int deadlineMs)
{
    Message request;
    request.method = method;
    request.target = path;
    request.fields = { { "Host", "a.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", std::to_string(deadlineMs) } };
    if (method != "GET")
        request.body = "body of " + id;
    return request;
}

/// Which runs began, by request id and runner.
class Runs {
public:
    void note(std::string const& id, std::string const& runner)
    {
        std::lock_guard lock(m_mutex);
        m_runs[id].push_back(runner);
    }
    std::vector<std::string> of(std::string const& id)
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, std::vector<std::string>>::const_iterator it = m_runs.find(id);
        return it == m_runs.end() ? std::vector<std::string>() : it->second;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<std::string>> m_runs;
};

inline std::string plainConfig(int version)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":["
        + R"({"name":"look-up","host":"a.example","path_prefix":"/s/","kind":"safe","timeout_ms":3000,"goal_ms":300,"priority":2,"service":"app","max_attempts":2},)"
        + R"({"name":"confirm","host":"a.example","path_prefix":"/c/","kind":"unsafe","timeout_ms":3000,"goal_ms":300,"priority":2,"service":"app","max_attempts":2}],)"
        + R"("services":[{"name":"app","health_path":"/health","max_conns":96}],)" + limitsJson() + "}";
}

}
