#include <LibSettings/DaemonSettings.h>
#include <gtest/gtest.h>

namespace {

std::string const minimal = R"([daemon]
name = entry-1
availability_zone = tanta-hall
region = delta-north
[callers]
listen = 127.0.0.1:8001
[operators]
listen = 127.0.0.1:8101
token = 0123456789abcdef
[peers]
listen = 127.0.0.1:8201
[platform]
log = 127.0.0.1:9100
vms = 127.0.0.1:9101
)";

std::string problemsOf(std::string const& text)
{
    Core::Result<Settings::DaemonSettings> parsed = Settings::DaemonSettings::parse(text, "a.ini");
    return parsed.has_error() ? parsed.error().message : std::string();
}

}

TEST(DaemonSettings, MinimalFileHasDefaults)
{
    Settings::DaemonSettings settings = Settings::DaemonSettings::parse(minimal, "a.ini").value();
    EXPECT_EQ(settings.daemon.name, "entry-1");
    EXPECT_EQ(settings.callers.listen.port(), 8001);
    EXPECT_EQ(settings.limits.retryRatio, 0.1);
}

TEST(DaemonSettings, PrintedSettingsReadBackTheSame)
{
    Settings::DaemonSettings settings = Settings::DaemonSettings::parse(minimal + "[limits]\nretry_ratio = 0.25\n[routing]\npolicy = peek-two\n", "a.ini").value();
    std::string printed = settings.print();
    EXPECT_EQ(printed.find("0123456789abcdef"), std::string::npos);
    Settings::DaemonSettings again = Settings::DaemonSettings::parse(printed + "[operators]\ntoken = 0123456789abcdef\n", "b.ini").value();
    EXPECT_EQ(again.print(), printed);
    EXPECT_EQ(again.limits.retryRatio, 0.25);
    EXPECT_EQ(again.routing.policy, Routing::Policy::PeekTwo);
}

TEST(DaemonSettings, EachProblemNamesFileLineKeyAndWhatIsAllowed)
{
    std::string problems = problemsOf(minimal + "[limits]\nretry_ratio = 2\nretries = 1\n[nonsense]\na = b\n[daemon]\ntraffic_threads = many\nname = twice\nrubbish\n");
    EXPECT_NE(problems.find("a.ini:16: [limits] retry_ratio: read \"2\"; allowed is a number from 0 to 1"), std::string::npos) << problems;
    EXPECT_NE(problems.find("a.ini:17: [limits] retries: unknown; allowed keys are in_flight_per_target"), std::string::npos) << problems;
    EXPECT_NE(problems.find("a.ini:19: [nonsense] a: unknown; allowed sections are [callers]"), std::string::npos) << problems;
    EXPECT_NE(problems.find("a.ini:21: [daemon] traffic_threads: read \"many\"; allowed is a whole number from 1 to 64"), std::string::npos) << problems;
    EXPECT_NE(problems.find("a.ini:22: [daemon] name: given before on line 2"), std::string::npos) << problems;
    EXPECT_NE(problems.find("a.ini:23: not INI"), std::string::npos) << problems;
}

TEST(DaemonSettings, MissingKeysAreNamed)
{
    EXPECT_NE(problemsOf("").find("a.ini: [daemon] name: missing"), std::string::npos);
}
