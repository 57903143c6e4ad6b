#include "FakeDaemon.h"
#include <LibOperator/Commands.h>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace {

using Operator::ExitCode;

class CommandsTest : public testing::Test {
protected:
    /// Runs the tool's command line against both daemons; `output()` and `errors()` are what it printed.
    ExitCode run(std::vector<std::string> arguments, std::string const& token = "secret")
    {
        for (std::string const& it : { "--server=" + Http::toString(m_first.endpoint()) + "," + Http::toString(m_second.endpoint()), std::string("--token-file=t"), std::string("--author=clerk") }) {
            if (!it.starts_with("--author") || isChange(arguments.front()))
                arguments.push_back(it);
        }
        Operator::CommandLine line = Operator::CommandLine::parse(arguments, [](char const*) { return nullptr; }).value();
        std::unique_ptr<Operator::Client> client = Operator::Client::create(m_context, { line.servers, token, line.timeout });
        m_out.str("");
        m_err.str("");
        return Operator::Commands(*client, line, [this] { return ++m_random; }, m_out, m_err).run();
    }

    ExitCode apply(std::string const& text, std::vector<std::string> const& options = {})
    {
        std::string name = testing::TempDir() + "test-commands.ini";
        std::ofstream(name) << text;
        std::vector<std::string> arguments { "apply", name };
        arguments.insert(arguments.end(), options.begin(), options.end());
        return run(std::move(arguments));
    }

    std::string labelsOf(std::string const& target) const
    {
        State::ObjectPointer object = m_log.fold.find({ State::Kind::Target, target });
        return object ? State::fieldsOf(object->content).at("labels") : "none";
    }

    std::string output() const { return m_out.str(); }
    std::string errors() const { return m_err.str(); }

    boost::asio::io_context m_context { 1 };
    SharedLog m_log;
    FakeDaemon m_first { m_context, m_log };
    FakeDaemon m_second { m_context, m_log };

private:
    static bool isChange(std::string const& command) { return command == "apply" || command == "drain" || command == "undrain" || command == "delete"; }

    std::uint64_t m_random { 100 };
    std::stringstream m_out;
    std::stringstream m_err;
};

}

TEST_F(CommandsTest, ApplyGetAndDiffAgree)
{
    EXPECT_EQ(apply("[target a]\nlabels = tier=night\n[route r]\nrequests = tier=night\ntargets = tier=night\n"), ExitCode::Ok);
    EXPECT_EQ(output(), "+ [target a]\n  + labels = tier=night\n+ [route r]\n  + requests = tier=night\n  + targets = tier=night\naccepted as revision 0\n");
    EXPECT_EQ(run({ "get" }), ExitCode::Ok);
    std::string file = output();
    EXPECT_EQ(file, "; currantctl base 1\n\n; revision 0\n[target a]\nlabels = tier=night\n\n; revision 0\n[route r]\nrequests = tier=night\ntargets = tier=night\n");
    EXPECT_EQ(apply(file), ExitCode::Ok);
    EXPECT_EQ(output(), "nothing to change\n");
    EXPECT_EQ(run({ "get", "target", "b" }), ExitCode::NotFound);
    EXPECT_EQ(run({ "get", "target", "--output=json" }), ExitCode::Ok);
    EXPECT_EQ(output(), R"({"offset":1,"objects":[{"kind":"target","name":"a","revision":0,"fields":{"labels":"tier=night"}}]})"
                        "\n");
    EXPECT_EQ(run({ "diff", testing::TempDir() + "test-commands.ini" }), ExitCode::Ok);
    std::ofstream(testing::TempDir() + "test-commands.ini") << "[target a]\nlabels = tier=day\n";
    EXPECT_EQ(run({ "diff", testing::TempDir() + "test-commands.ini" }), ExitCode::Refused);
    EXPECT_EQ(output(), "~ [target a]\n  - labels = tier=night\n  + labels = tier=day\n");
    EXPECT_EQ(labelsOf("a"), "tier=night");
}

TEST_F(CommandsTest, LongValuesReadBackAsTheyWere)
{
    std::string values;
    for (int i = 0; i < 60; ++i)
        values += (i == 0 ? "" : ",\n  ") + std::string("value-") + std::to_string(i);
    ASSERT_EQ(apply("[route r]\nrequests = tier in (" + values + ")\ntargets = a\n"), ExitCode::Ok) << errors();
    ASSERT_EQ(run({ "get" }), ExitCode::Ok);
    EXPECT_EQ(apply(output()), ExitCode::Ok) << errors();
    EXPECT_EQ(output(), "nothing to change\n");
}

TEST_F(CommandsTest, OnlyPruneAndDeleteRemoveObjects)
{
    ASSERT_EQ(apply("[target a]\nlabels = x=1\n[target b]\nlabels = x=1\n[target c]\nlabels = x=1\n"), ExitCode::Ok);
    EXPECT_EQ(apply("[target a]\nlabels = x=1\n"), ExitCode::Ok);
    EXPECT_EQ(labelsOf("b"), "x=1");
    EXPECT_NE(errors().find("2 object(s)"), std::string::npos);
    EXPECT_EQ(run({ "delete", "target", "b" }), ExitCode::Ok);
    EXPECT_EQ(labelsOf("b"), "none");
    EXPECT_EQ(run({ "delete", "target", "b" }), ExitCode::NotFound);
    EXPECT_EQ(apply("[target a]\nlabels = x=1\n", { "--prune", "--dry-run" }), ExitCode::Ok);
    EXPECT_EQ(output(), "- [target c]\n  - labels = x=1\ndry run: nothing was sent\n");
    EXPECT_EQ(labelsOf("c"), "x=1");
    EXPECT_EQ(apply("[target a]\nlabels = x=1\n", { "--prune" }), ExitCode::Ok);
    EXPECT_EQ(labelsOf("c"), "none");
}

TEST_F(CommandsTest, DrainSurvivesTheFilesThatDoNotMentionIt)
{
    ASSERT_EQ(apply("[target t1]\nlabels = x=1\n"), ExitCode::Ok);
    EXPECT_EQ(run({ "drain", "t1" }), ExitCode::Ok);
    EXPECT_EQ(labelsOf("t1"), "drain=yes,x=1");
    EXPECT_EQ(run({ "drain", "t2" }), ExitCode::Ok);
    EXPECT_NE(errors().find("no target 't2'"), std::string::npos);
    EXPECT_EQ(run({ "drain", "t2" }), ExitCode::Ok);
    EXPECT_EQ(output(), "nothing to change\n");
    EXPECT_EQ(apply("[target t1]\nlabels = x=2\n", { "--prune" }), ExitCode::Ok);
    EXPECT_EQ(labelsOf("t1"), "drain=yes,x=2");
    EXPECT_EQ(labelsOf("t2"), "drain=yes");
    EXPECT_NE(errors().find("[target t1] keeps drain=yes"), std::string::npos);
    EXPECT_EQ(run({ "undrain", "t1" }), ExitCode::Ok);
    EXPECT_EQ(run({ "undrain", "t2" }), ExitCode::Ok);
    EXPECT_EQ(labelsOf("t1"), "x=2");
    EXPECT_EQ(labelsOf("t2"), "none") << "its only label is gone";
    EXPECT_EQ(apply("[target t1]\nlabels = drain=no\n"), ExitCode::Ok);
    EXPECT_EQ(labelsOf("t1"), "drain=no") << "a file that mentions it decides";
    EXPECT_EQ(run({ "undrain", "t1" }), ExitCode::Ok);
    EXPECT_EQ(output(), "nothing to change\n");
    EXPECT_EQ(run({ "drain", "t1" }), ExitCode::Ok);
    EXPECT_EQ(labelsOf("t1"), "drain=yes");
}

TEST_F(CommandsTest, RaceIsReportedByApplyAndRunAgainByDrain)
{
    m_first.fault = Fault::Race;
    EXPECT_EQ(apply("[target t1]\nlabels = x=1\n"), ExitCode::Refused);
    EXPECT_NE(output().find("(revision 0 won)"), std::string::npos) << output();
    EXPECT_EQ(labelsOf("t1"), "by=other");
    m_first.fault = Fault::Race;
    EXPECT_EQ(run({ "drain", "t1" }), ExitCode::Ok);
    EXPECT_EQ(labelsOf("t1"), "by=other,drain=yes");
}

TEST_F(CommandsTest, FileMadeBeforeAnotherEditIsRefused)
{
    ASSERT_EQ(apply("[target a]\nlabels = x=1\n"), ExitCode::Ok);
    ASSERT_EQ(run({ "get" }), ExitCode::Ok);
    std::string file = output();
    ASSERT_EQ(apply("[target a]\nlabels = x=2\n"), ExitCode::Ok);
    EXPECT_EQ(apply(file), ExitCode::Refused);
    EXPECT_NE(errors().find("[target a] was changed by revision 1, after the file was made from offset 1"), std::string::npos) << errors();
    EXPECT_EQ(labelsOf("a"), "x=2");
    EXPECT_EQ(apply(file, { "--base", "2" }), ExitCode::Ok);
    EXPECT_EQ(labelsOf("a"), "x=1");
}

TEST_F(CommandsTest, UnknownOutcomeIsSaidAndItsRepeatDoesNoHarm)
{
    for (Fault fault : { Fault::Unknown, Fault::Lost, Fault::FailsChanges }) {
        m_first.fault = m_second.fault = fault;
        std::string before = std::to_string(m_log.fold.nextOffset());
        EXPECT_EQ(apply("[target a]\nlabels = x=" + before + "\n"), ExitCode::Unknown);
        std::size_t mark = output().find("--id ");
        ASSERT_NE(mark, std::string::npos) << output();
        std::string id = output().substr(mark + 5, output().find(',', mark) - mark - 5);
        m_first.fault = m_second.fault = Fault::None;
        ASSERT_EQ(run({ "drain", "other" }), ExitCode::Ok);
        ASSERT_EQ(apply("[target a]\nlabels = by=other\n"), ExitCode::Ok);
        EXPECT_EQ(apply("[target a]\nlabels = x=" + before + "\n", { "--id", id }), ExitCode::Ok);
        EXPECT_NE(output().find("accepted as revision " + before), std::string::npos) << output();
        EXPECT_EQ(labelsOf("a"), "by=other") << "the repeat did not run again";
    }
}

TEST_F(CommandsTest, AnotherServerSettlesAnUnknownOutcome)
{
    for (Fault fault : { Fault::Unknown, Fault::Lost, Fault::NotReady, Fault::RefusesChanges, Fault::FailsChanges }) {
        m_first.fault = fault;
        std::string labels = "x=" + std::to_string(m_log.fold.nextOffset());
        EXPECT_EQ(apply("[target a]\nlabels = " + labels + "\n"), ExitCode::Ok);
        EXPECT_EQ(labelsOf("a"), labels);
    }
}

TEST_F(CommandsTest, WaitTellsWhetherItIsInForce)
{
    m_first.progressCallsUntilInForce = 2;
    EXPECT_EQ(apply("[target a]\nlabels = x=1\n", { "--wait" }), ExitCode::Ok);
    EXPECT_NE(output().find("in force on every live daemon"), std::string::npos);
    m_first.progressCallsUntilInForce = 1000;
    EXPECT_EQ(apply("[target a]\nlabels = x=2\n", { "--wait", "--wait-time", "0.1", "--output", "json" }), ExitCode::NotInForce);
    EXPECT_NE(output().find(R"("in_force":false)"), std::string::npos);
    EXPECT_EQ(apply("[target a]\nlabels = x=3\n", { "--wait", "--wait-time", "0.1" }), ExitCode::NotInForce);
    EXPECT_NE(output().find("not yet in force everywhere: d2 at offset 0"), std::string::npos) << output();
}

TEST_F(CommandsTest, ErrorsHaveTheirExitCodes)
{
    EXPECT_EQ(run({ "get" }, "wrong"), ExitCode::Unauthorized);
    EXPECT_EQ(apply("[target a]\nlable = x=1\n"), ExitCode::BadInput);
    EXPECT_NE(errors().find("test-commands.ini:2: [target a] read key 'lable'"), std::string::npos) << errors();
    EXPECT_EQ(run({ "apply", "/nonexistent" }), ExitCode::BadInput);
    m_first.fault = m_second.fault = Fault::NotReady;
    EXPECT_EQ(run({ "status" }), ExitCode::Unreachable);
    EXPECT_EQ(errors(), "currantctl: not ready\n");
    EXPECT_EQ(run({ "drain", "a" }), ExitCode::Unreachable);
    m_first.fault = m_second.fault = Fault::RefusesChanges;
    EXPECT_EQ(run({ "drain", "a" }), ExitCode::Unreachable);
    EXPECT_NE(errors().find("the log is down"), std::string::npos) << "it certainly was not appended";
}

TEST_F(CommandsTest, StatusHistoryAndExplainArePrinted)
{
    EXPECT_EQ(run({ "status" }), ExitCode::Ok);
    EXPECT_EQ(output(), "daemons:\n  name  zone\n  d1    a\ntargets:\n  name\n  t1\nblocked:\n  none\n");
    EXPECT_EQ(run({ "status", "--output", "json" }), ExitCode::Ok);
    EXPECT_EQ(output(), m_first.status + "\n");
    EXPECT_EQ(run({ "duties" }), ExitCode::Ok);
    EXPECT_EQ(output(), "holder: d1\nnext_holders: [\"d1\",\"d2\"]\nusage: {\"missed\":0}\nengines:\n  service  wanted\n  llm      3\n");
    EXPECT_EQ(run({ "suspects" }), ExitCode::NotFound) << "not on this platform";
    EXPECT_EQ(run({ "limits" }), ExitCode::NotFound) << "not on this platform";
    EXPECT_EQ(run({ "paces" }), ExitCode::Ok);
    EXPECT_EQ(output(), "paces:\n  target  kind    time_factor  knee\n  t1      prompt  1.5          -\n");
    EXPECT_EQ(run({ "explain", "--labels", "a=b" }), ExitCode::Ok);
    EXPECT_EQ(output(), "to t1\n");
    EXPECT_EQ(run({ "history", "--limit", "7" }), ExitCode::Ok);
    EXPECT_EQ(output(), "  offset  outcome   author  id                  edits\n  4       accepted  clerk   3-0000000000000001\n  5       repeated  clerk   3-0000000000000001   (again)\n");
}
