#include <LibOperator/Commands.h>

#include <LibOperator/ChangeReport.h>
#include <LibOperator/Codec.h>
#include <LibOperator/Printing.h>
#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <sstream>

namespace Operator {

using std::chrono::milliseconds;

namespace {

/// How often a change that lost a race is planned anew before the operator hears of it.
constexpr int mostTries = 5;
constexpr milliseconds progressInterval { 100 };

Core::Result<std::string> readFile(std::string const& name)
{
    std::ifstream file(name, std::ios::binary);
    std::stringstream text;
    if (!file || !(text << file.rdbuf()))
        return Core::fail(Core::ErrorCode::BadInput, "the file '" + name + "' can't be read or is empty");
    return text.str();
}

ExitCode exitCodeOf(Core::Error const& error)
{
    switch (error.code) {
    case Core::ErrorCode::BadInput:
        return ExitCode::BadInput;
    case Core::ErrorCode::Conflict:
        return ExitCode::Refused;
    case Core::ErrorCode::Unauthorized:
        return ExitCode::Unauthorized;
    case Core::ErrorCode::NotFound:
        return ExitCode::NotFound;
    case Core::ErrorCode::Unavailable:
    case Core::ErrorCode::Timeout:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Failed;
    }
}

ExitCode exitCodeOf(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return ExitCode::Ok;
    case ChangeOutcome::Refused:
        return ExitCode::Refused;
    case ChangeOutcome::Unknown:
        break;
    }
    return ExitCode::Unknown;
}

/// Whether the status names the target; true when it does not list targets.
bool isListed(boost::json::object const& status, std::string_view target)
{
    boost::json::value const* targets = status.if_contains("targets");
    if (!targets || !targets->is_array())
        return true;
    return std::ranges::any_of(targets->get_array(), [&](boost::json::value const& it) {
        boost::json::value const* name = it.is_object() ? it.get_object().if_contains("name") : nullptr;
        return name && name->is_string() && std::string_view(name->get_string()) == target;
    });
}

}

Commands::Commands(Client& client, CommandLine const& line, std::function<std::uint64_t()> randomNumber, std::ostream& out, std::ostream& err)
    : m_client(client)
    , m_line(line)
    , m_randomNumber(std::move(randomNumber))
    , m_out(out)
    , m_err(err)
{
}

ExitCode Commands::run()
{
    switch (m_line.command) {
    case Command::Story:
        break; // It asks no server: Story reads the files.
    case Command::Apply:
        return apply();
    case Command::Get:
        return get();
    case Command::Diff:
        return diff();
    case Command::History:
        return history();
    case Command::Status:
        return print(m_client.status());
    case Command::Duties:
        return print(m_client.duties());
    case Command::Suspects:
        return print(m_client.suspects());
    case Command::Limits:
        return print(m_client.limits());
    case Command::Paces:
        return print(m_client.paces());
    case Command::Drain:
        return drain(true);
    case Command::Undrain:
        return drain(false);
    case Command::Delete:
        return remove();
    case Command::Explain:
        return explain();
    }
    return ExitCode::Failed;
}

ExitCode Commands::report(Core::Error const& error)
{
    m_err << "currantctl: " << error.message << "\n";
    return exitCodeOf(error);
}

void Commands::printPlan(ChangePlan const& plan)
{
    std::vector<State::Difference> changed;
    for (State::Difference const& it : plan.differences) {
        if (std::ranges::find(plan.edits, it.key, &State::Edit::key) != plan.edits.end())
            changed.push_back(it);
    }
    if (m_line.output == Output::Text)
        m_out << State::toString(changed);
    for (std::string const& it : plan.notes)
        m_err << "currantctl: " << it << "\n";
}

ExitCode Commands::change(Planner const& planner, bool mayReplan)
{
    for (int i = 1;; ++i) {
        Core::Result<ConfigDocument> document = m_client.config();
        if (!document)
            return report(document.error());
        Core::Result<ChangePlan> plan = planner(document.value());
        if (!plan)
            return report(plan.error());
        State::RecordId id = m_line.id.value_or(State::RecordId { plan.value().readNext, m_randomNumber() });
        ChangeReply nothing { ChangeOutcome::Accepted, 0, {}, {} };
        if (m_line.isDryRun || plan.value().edits.empty()) {
            printPlan(plan.value());
            return finish(plan.value(), id, nothing);
        }
        State::ConfigRecord record { id, m_line.author, plan.value().edits };
        Core::Result<std::vector<std::optional<State::Content>>> valid = State::validate(record);
        if (!valid)
            return report(valid.error());
        Core::Result<ChangeReply> reply = m_client.submit(record);
        if (!reply)
            return report(reply.error());
        bool lostRace = reply.value().outcome == ChangeOutcome::Refused && reply.value().currentRevision;
        if (lostRace && mayReplan && !m_line.id && i < mostTries)
            continue;
        printPlan(plan.value());
        return finish(plan.value(), id, reply.value());
    }
}

ExitCode Commands::finish(ChangePlan const& plan, State::RecordId id, ChangeReply const& reply)
{
    ChangeReport report { plan, id, reply, !m_line.isDryRun && !plan.edits.empty(), std::nullopt, {} };
    ExitCode code = exitCodeOf(reply.outcome);
    bool hasRevision = report.isSent || plan.readNext > 0;
    if (m_line.waits && !m_line.isDryRun && code == ExitCode::Ok && hasRevision) {
        code = waitInForce(report.isSent ? reply.revision : plan.readNext - 1, report.laggards);
        report.isInForce = code == ExitCode::Ok;
    }
    m_out << (m_line.output == Output::Json ? printJson(report) : printText(report));
    return code;
}

ExitCode Commands::waitInForce(std::uint64_t revision, std::string& laggards)
{
    milliseconds waited { 0 };
    while (true) {
        Core::Result<Progress> progress = m_client.progress(revision);
        if (progress && progress.value().isInForce)
            return ExitCode::Ok;
        laggards = progress ? "" : progress.error().message;
        if (progress) {
            for (DaemonProgress const& it : progress.value().daemons) {
                if (it.offset <= revision)
                    laggards += (laggards.empty() ? "" : ", ") + it.name + " at offset " + std::to_string(it.offset);
            }
        }
        if (waited >= m_line.waitTime)
            return ExitCode::NotInForce;
        m_client.wait(progressInterval);
        waited += progressInterval;
    }
}

ExitCode Commands::apply()
{
    std::string const& name = m_line.operands.front();
    Core::Result<std::string> text = readFile(name);
    if (!text)
        return report(text.error());
    Core::Result<State::ConfigFile> file = State::ConfigFile::parse(text.value(), name);
    if (!file)
        return report(file.error());
    ApplyOptions options { m_line.prunes, m_line.base ? m_line.base : baseOf(text.value()) };
    return change([&](ConfigDocument const& document) { return planApply(file.value(), document, options); }, false);
}

ExitCode Commands::diff()
{
    std::string const& name = m_line.operands.front();
    Core::Result<std::string> text = readFile(name);
    if (!text)
        return report(text.error());
    Core::Result<State::ConfigFile> file = State::ConfigFile::parse(text.value(), name);
    if (!file)
        return report(file.error());
    Core::Result<ConfigDocument> document = m_client.config();
    if (!document)
        return report(document.error());
    Core::Result<ChangePlan> plan = planApply(file.value(), document.value(), { m_line.prunes, std::nullopt });
    if (!plan)
        return report(plan.error());
    printPlan(plan.value());
    if (m_line.output == Output::Json)
        m_out << printJson(plan.value());
    return plan.value().edits.empty() ? ExitCode::Ok : ExitCode::Refused;
}

ExitCode Commands::get()
{
    Core::Result<ConfigDocument> document = m_client.config();
    if (!document)
        return report(document.error());
    std::vector<ObjectEntry>& objects = document.value().objects;
    std::erase_if(objects, [&](ObjectEntry const& it) {
        bool isOtherKind = !m_line.operands.empty() && Core::nameOf(State::kindNames, it.key.kind) != m_line.operands[0];
        bool isOtherName = m_line.operands.size() > 1 && it.key.name != m_line.operands[1];
        return isOtherKind || isOtherName;
    });
    if (m_line.operands.size() > 1 && objects.empty())
        return report(Core::makeError(Core::ErrorCode::NotFound, "there is no [" + m_line.operands[0] + " " + m_line.operands[1] + "]"));
    if (m_line.output == Output::Json)
        m_out << encode(document.value()) << "\n";
    else
        m_out << printFile(document.value().offset, objects);
    return ExitCode::Ok;
}

ExitCode Commands::history()
{
    Core::Result<std::vector<HistoryEntry>> entries = m_client.history(m_line.limit);
    if (!entries)
        return report(entries.error());
    if (m_line.output == Output::Json)
        m_out << encode(entries.value()) << "\n";
    else
        m_out << printHistory(std::move(entries.value()));
    return ExitCode::Ok;
}

ExitCode Commands::print(Core::Result<boost::json::object> const& answer)
{
    if (!answer)
        return report(answer.error());
    m_out << (m_line.output == Output::Json ? boost::json::serialize(answer.value()) + "\n" : printObject(answer.value()));
    return ExitCode::Ok;
}

void Commands::warnOfUnknownTarget()
{
    Core::Result<boost::json::object> status = m_client.status();
    if (status && !isListed(status.value(), m_line.operands.front()))
        m_err << "currantctl: the VM list has no target '" << m_line.operands.front() << "' now; the label is set all the same.\n";
}

ExitCode Commands::drain(bool isDrained)
{
    std::string const& target = m_line.operands.front();
    if (isDrained)
        warnOfUnknownTarget();
    return change([&](ConfigDocument const& document) { return isDrained ? planDrain(document, target) : planUndrain(document, target); }, true);
}

ExitCode Commands::remove()
{
    State::ObjectKey key { *Core::valueOf(State::kindNames, m_line.operands[0]), m_line.operands[1] };
    return change([&](ConfigDocument const& document) { return planDelete(document, key); }, false);
}

ExitCode Commands::explain()
{
    Core::Result<boost::json::object> answer = m_client.explain({ { "labels", m_line.labels }, { "path", m_line.path }, { "model", m_line.model } });
    if (!answer)
        return report(answer.error());
    boost::json::value const* text = answer.value().if_contains("text");
    if (m_line.output == Output::Json)
        m_out << boost::json::serialize(answer.value()) << "\n";
    else if (text && text->is_string())
        m_out << std::string_view(text->get_string()) << "\n";
    else
        m_out << printObject(answer.value());
    return ExitCode::Ok;
}

}
