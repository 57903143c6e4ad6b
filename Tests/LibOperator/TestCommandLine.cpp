#include <LibOperator/CommandLine.h>
#include <gtest/gtest.h>

namespace {

char const* emptyEnvironment(char const*)
{
    return nullptr;
}

std::string errorOf(std::vector<std::string> const& arguments)
{
    Core::Result<Operator::CommandLine> line = Operator::CommandLine::parse(arguments, emptyEnvironment);
    return line ? "none" : line.error().message;
}

}

TEST(CommandLine, ReadsOptionsInAnyOrder)
{
    Operator::CommandLine line = Operator::CommandLine::parse({ "apply", "--server", "127.0.0.1:1,127.0.0.1:2", "f.ini", "--wait", "--token-file", "t", "--timeout", "0.5", "--id", "12-00000000000000ff" }, emptyEnvironment).value();
    EXPECT_EQ(line.command, Operator::Command::Apply);
    EXPECT_EQ(line.operands, std::vector<std::string> { "f.ini" });
    EXPECT_EQ(line.servers.size(), 2U);
    EXPECT_EQ(line.timeout, std::chrono::milliseconds(500));
    EXPECT_TRUE(line.waits);
    EXPECT_FALSE(line.prunes);
    EXPECT_EQ(line.id, (State::RecordId { 12, 255 }));
}

TEST(CommandLine, EnvironmentStandsInForWhatIsNotGiven)
{
    Operator::CommandLine::Environment environment = [](char const* name) -> char const* {
        return std::string_view(name) == "CURRANTCTL_SERVERS" ? "127.0.0.1:1,[::1]:2" : "x";
    };
    Operator::CommandLine line = Operator::CommandLine::parse({ "drain", "t", "--token-file", "f" }, environment).value();
    EXPECT_EQ(line.servers.size(), 2U);
    EXPECT_EQ(line.tokenFile, "f");
    EXPECT_EQ(line.author, "x");
}

TEST(CommandLine, WrongArgumentsAreErrors)
{
    EXPECT_EQ(errorOf({}), "a command is missing");
    EXPECT_EQ(errorOf({ "odd" }), "there is no command 'odd'");
    EXPECT_EQ(errorOf({ "status" }), "--server IP:PORT is missing, and CURRANTCTL_SERVERS is not set");
    EXPECT_EQ(errorOf({ "status", "--server", "127.0.0.1:1" }), "--token-file FILE is missing, and CURRANTCTL_TOKEN_FILE is not set");
    EXPECT_EQ(errorOf({ "duties", "--server", "127.0.0.1:1" }), "none") << "where there is nothing to change there may be no token";
    std::vector<std::vector<std::string>> wrong { { "status", "--wait" }, { "apply" }, { "apply", "a", "b" }, { "get", "odd" }, { "delete", "target" },
        { "status", "--output", "xml" }, { "status", "--timeout", "0" }, { "status", "--timeout", "x" }, { "drain", "t", "--id", "x" }, { "history", "--limit", "-1" }, { "status", "x" } };
    for (std::vector<std::string> it : wrong) {
        it.insert(it.end(), { "--server", "127.0.0.1:1", "--token-file", "t" });
        EXPECT_NE(errorOf(it), "none") << it[0] << " " << it[1];
    }
    EXPECT_NE(errorOf({ "status", "--server", "localhost", "--token-file", "t" }), "none");
}

TEST(CommandLine, EachCommandHasHelpWithAnExample)
{
    for (std::pair<Operator::Command, std::string_view> const& it : Operator::commandNames) {
        std::string help = Operator::CommandLine::parse({ std::string(it.second), "--help" }, emptyEnvironment).value().help;
        EXPECT_NE(help.find("currantctl " + std::string(it.second)), std::string::npos);
        EXPECT_NE(help.find("Examples:"), std::string::npos);
        EXPECT_NE(help.find("--token-file"), std::string::npos);
        EXPECT_NE(Operator::CommandLine::helpText().find("  " + std::string(it.second) + " "), std::string::npos);
    }
}
