#include <Control.pb.h>
#include <LibDaemon/ControlMessages.h>

namespace Daemon {

namespace {

namespace Proto = currantvale::control;

template <typename Message>
Core::Result<Message> parse(std::string_view bytes)
{
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "a control message cannot be decoded");
    return message;
}

}

std::string encode(CloseRequest const& request)
{
    Proto::CloseEngine message;
    message.set_engine(request.engine);
    message.set_fencing(request.fencing);
    message.set_round(request.round);
    message.set_time_to_live_ms(static_cast<std::uint64_t>(request.timeToLive.count()));
    message.set_is_open(request.isOpening);
    return message.SerializeAsString();
}

std::string encode(CloseReply const& reply)
{
    Proto::CloseReply message;
    message.set_daemon(reply.daemon);
    message.set_incarnation(reply.incarnation);
    message.set_is_done(reply.isDone);
    return message.SerializeAsString();
}

std::string encode(MixReport const& report)
{
    Proto::MixReport message;
    message.set_pool(report.pool);
    for (Roles::ClassCounts const& counts : report.counts) {
        Proto::ClassCounts* one = message.add_classes();
        one->set_requests(counts.requests);
        one->set_prompt_tokens(counts.promptTokens);
        one->set_ended_requests(counts.endedRequests);
        one->set_output_tokens(counts.outputTokens);
    }
    return message.SerializeAsString();
}

Core::Result<CloseRequest> decodeCloseRequest(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(Proto::CloseEngine message, parse<Proto::CloseEngine>(bytes));
    return CloseRequest { message.engine(), message.fencing(), message.round(), std::chrono::milliseconds(message.time_to_live_ms()), message.is_open() };
}

Core::Result<CloseReply> decodeCloseReply(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(Proto::CloseReply message, parse<Proto::CloseReply>(bytes));
    return CloseReply { message.daemon(), message.incarnation(), message.is_done() };
}

Core::Result<MixReport> decodeMixReport(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(Proto::MixReport message, parse<Proto::MixReport>(bytes));
    MixReport report;
    report.pool = message.pool();
    if (static_cast<std::size_t>(message.classes_size()) != report.counts.size())
        return Core::fail(Core::ErrorCode::Corrupt, "a report of the mix has another number of classes");
    for (std::size_t n = 0; n < report.counts.size(); ++n) {
        Proto::ClassCounts const& one = message.classes(static_cast<int>(n));
        report.counts[n] = { one.requests(), one.prompt_tokens(), one.ended_requests(), one.output_tokens() };
    }
    return report;
}

}
