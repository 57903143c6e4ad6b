#pragma once

#include <LibHttp/Server.h>
#include <LibJson/Reader.h>
#include <LibOperator/Codec.h>
#include <LibState/Fold.h>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

/// How a fake daemon answers a change.
enum class Fault : std::uint8_t { None,
    Unknown, ///< Appends it and says that the outcome is unknown.
    Lost, ///< Appends it and closes the connection.
    NotReady, ///< Answers 503 to everything.
    RefusesChanges, ///< Answers 503 with "not-run" to changes, and appends nothing.
    FailsChanges, ///< Appends them, and answers 503 with "may-have-run".
    Race, ///< Another operator's edit of the same object is accepted first, once.
};

/// The configuration that several fake daemons share: LibState's own fold.
struct SharedLog {
    State::Fold fold;

    State::Outcome append(State::ConfigRecord const& record)
    {
        std::string bytes = State::encode(State::LogRecord(record)).value();
        (void)fold.apply(fold.nextOffset(), bytes).value();
        return fold.outcome(record.id);
    }
};

/// The operators' listener of one daemon, on the test's own io_context.
class FakeDaemon {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    FakeDaemon(boost::asio::io_context& context, SharedLog& log)
        : m_log(log)
    {
        Http::Handler handler = [this](Http::Request& request, Http::ResponseWriter& writer) { return serve(this, request, writer); };
        Http::RejectionHandler rejection = [](Http::Status status, std::string_view) { return Http::jsonResponse(status, "{}"); };
        m_server = Http::Server::create(context, any(), {}, std::move(handler), std::move(rejection)).value();
        m_server->start();
    }

    Endpoint endpoint() const { return { any().address(), m_server->port() }; }

    Fault fault { Fault::None };
    int progressCallsUntilInForce { 0 };
    std::string status { R"({"daemons":[{"name":"d1","zone":"a"}],"targets":[{"name":"t1"}],"blocked":[]})" };
    int calls { 0 };

private:
    static Endpoint any() { return { boost::asio::ip::address_v4::loopback(), 0 }; }

    static boost::asio::awaitable<void> serve(FakeDaemon* self, Http::Request& request, Http::ResponseWriter& writer)
    {
        ++self->calls;
        Http::Response response = self->respond(request);
        if (self->fault == Fault::Lost && request.method == "POST")
            writer.abort();
        else
            (void)co_await writer.send(std::move(response));
    }

    Http::Response respond(Http::Request const& request)
    {
        if (request.fields.find("Authorization") != "Bearer secret")
            return Http::jsonResponse(Http::Status::Unauthorized, "{}");
        if (fault == Fault::NotReady)
            return Http::jsonResponse(Http::Status::ServiceUnavailable, R"({"error":{"code":"unavailable","message":"not ready"}})");
        if (request.target == "/v1/config")
            return Http::jsonResponse(Http::Status::Ok, Operator::encode(document()));
        if (request.target == "/v1/status")
            return Http::jsonResponse(Http::Status::Ok, status);
        if (request.target == "/duties")
            return Http::jsonResponse(Http::Status::Ok, R"({"holder":"d1","next_holders":["d1","d2"],"usage":{"missed":0},"engines":[{"service":"llm","wanted":3}]})");
        if (request.target == "/paces")
            return Http::jsonResponse(Http::Status::Ok, R"({"paces":[{"target":"t1","kind":"prompt","time_factor":1.5,"knee":null}]})");
        if (request.target == "/v1/explain")
            return Http::jsonResponse(Http::Status::Ok, R"({"text":"to t1"})");
        if (request.target.starts_with("/v1/config/progress?revision="))
            return Http::jsonResponse(Http::Status::Ok, Operator::encode(Operator::Progress { { { "d1", m_log.fold.nextOffset() }, { "d2", 0 } }, progressCallsUntilInForce-- <= 0 }));
        if (request.target == "/v1/config/records")
            return change(Operator::decodeRecord(request.body).value());
        if (request.target == "/v1/config/history?limit=7")
            return Http::jsonResponse(Http::Status::Ok, Operator::encode(std::vector<Operator::HistoryEntry> { { 5, State::Applied::Repeated, "again", { { 3, 1 }, "clerk", {} } }, { 4, State::Applied::Accepted, "now", { { 3, 1 }, "clerk", {} } } }));
        return Http::jsonResponse(Http::Status::NotFound, "{}");
    }

    Operator::ConfigDocument document() const
    {
        Operator::ConfigDocument document { m_log.fold.nextOffset(), {} };
        for (std::pair<State::ObjectKey const, State::ObjectPointer> const& it : m_log.fold.state().objects)
            document.objects.push_back({ it.first, it.second->revision, State::fieldsOf(it.second->content) });
        return document;
    }

    Http::Response change(State::ConfigRecord const& record)
    {
        if (fault == Fault::Race) {
            fault = Fault::None;
            State::ConfigRecord other { { record.id.readNext, 1 }, "other", { record.edits.front() } };
            other.edits.front().fields = State::Fields { { "labels", "by=other" } };
            m_log.append(other);
        }
        if (fault == Fault::RefusesChanges)
            return Http::jsonResponse(Http::Status::ServiceUnavailable, R"({"error":{"code":"unavailable","message":"the log is down","verdict":"not-run"}})");
        State::Outcome outcome = m_log.append(record);
        if (fault == Fault::FailsChanges)
            return Http::jsonResponse(Http::Status::ServiceUnavailable, R"({"error":{"code":"timeout","message":"no answer","verdict":"may-have-run"}})");
        if (fault == Fault::Unknown)
            return Http::jsonResponse(Http::Status::ServiceUnavailable, Operator::encode(Operator::ChangeReply { Operator::ChangeOutcome::Unknown, 0, "the log is down", {} }));
        if (outcome.kind == State::OutcomeKind::Accepted)
            return Http::jsonResponse(Http::Status::Ok, Operator::encode(Operator::ChangeReply { Operator::ChangeOutcome::Accepted, outcome.revision, "", {} }));
        return Http::jsonResponse(Http::Status::Conflict, Operator::encode(Operator::ChangeReply { Operator::ChangeOutcome::Refused, 0, outcome.message(), outcome.currentRevision }));
    }

    SharedLog& m_log;
    std::unique_ptr<Http::Server> m_server;
};
