#include <LibOperator/ChangeReport.h>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace Operator {

namespace {

boost::json::object toJson(ChangePlan const& plan)
{
    boost::json::array edits;
    for (State::Edit const& it : plan.edits)
        edits.push_back(boost::json::object { { "kind", Core::nameOf(State::kindNames, it.key.kind) }, { "name", it.key.name }, { "action", it.fields ? "set" : "delete" } });
    return { { "edits", std::move(edits) } };
}

std::string printOutcome(ChangeReport const& report)
{
    ChangeReply const& reply = report.reply;
    if (!report.isSent)
        return report.plan.edits.empty() ? "nothing to change\n" : "dry run: nothing was sent\n";
    switch (reply.outcome) {
    case ChangeOutcome::Accepted:
        return "accepted as revision " + std::to_string(reply.revision) + "\n";
    case ChangeOutcome::Refused:
        return "refused: " + reply.reason + (reply.currentRevision ? " (revision " + std::to_string(*reply.currentRevision) + " won)" : "") + "\n";
    case ChangeOutcome::Unknown:
        break;
    }
    return "outcome unknown: " + reply.reason + "\nIt may have been accepted. Repeat the command with --id " + report.id.toString() + ", which does no harm.\n";
}

}

std::string printText(ChangeReport const& report)
{
    std::string text = printOutcome(report);
    if (report.isInForce)
        text += *report.isInForce ? "in force on every live daemon\n" : "not yet in force everywhere: " + report.laggards + "\n";
    return text;
}

std::string printJson(ChangeReport const& report)
{
    boost::json::object json = toJson(report.plan);
    json["sent"] = report.isSent;
    if (report.isSent) {
        json["id"] = report.id.toString();
        json["outcome"] = Core::nameOf(changeOutcomeNames, report.reply.outcome);
        if (report.reply.outcome == ChangeOutcome::Accepted)
            json["revision"] = report.reply.revision;
        else
            json["reason"] = report.reply.reason;
        if (report.reply.currentRevision)
            json["current_revision"] = *report.reply.currentRevision;
    }
    if (report.isInForce)
        json["in_force"] = *report.isInForce;
    return boost::json::serialize(json) + "\n";
}

std::string printJson(ChangePlan const& plan)
{
    return boost::json::serialize(toJson(plan)) + "\n";
}

}
