#include "Records.h"
#include <LibState/Difference.h>
#include <gtest/gtest.h>

namespace State {

namespace {

std::string errorsOf(std::string const& text)
{
    Core::Result<ConfigFile> file = ConfigFile::parse(text, "ops.ini");
    return file ? "none" : file.error().message;
}

}

TEST(ConfigFile, ReadsObjects)
{
    std::string longName(63, 'n');
    Core::Result<ConfigFile> result = ConfigFile::parse("; labels\n[target tanta-engine-1]\nlabels = tier=night,\n    drain=yes ; soon\n\n"
                                                        "[request-rule "
            + longName + "]\r\nwhen=org=a\r\nset=tier=night\r\n"
                         "[route r]\nrequests = tier=night, zone in (a,b), !drain\ntargets = pool\n"
                         "[group g]\ntargets = pool\nroles = prefill, decode\nchange-cost = 7.5",
        "ops.ini");
    ASSERT_TRUE(result) << result.error().message;
    ConfigFile file = result.value();
    ASSERT_EQ(file.objects.size(), 4U);
    EXPECT_EQ(std::get<TargetContent>(file.objects.at(targetKey("tanta-engine-1"))).labels.toString(), "drain=yes,tier=night");
    EXPECT_TRUE(file.objects.contains({ Kind::RequestRule, longName }));
    EXPECT_EQ(std::get<RouteContent>(file.objects.at({ Kind::Route, "r" })).requests.toString(), "!drain,tier=night,zone in (a,b)");
    EXPECT_TRUE(ConfigFile::parse("", "ops.ini").value().objects.empty());
}

TEST(ConfigFile, NamesFileLineAndKeyOfEachError)
{
    EXPECT_EQ(errorsOf("[target a]\nlabels = x=1\n[target a]\nlabels = x=2\n"), "ops.ini:3: [target a] given twice");
    EXPECT_EQ(errorsOf("[target a]\nlabels = x=1\nlabels = x=1\n"), "ops.ini:3: [target a] labels: given twice, first in line 2");
    EXPECT_EQ(errorsOf("\n[target a]\nlabels = x\n").substr(0, 57), "ops.ini:3: [target a] labels: position 2: read the end, a");
    EXPECT_EQ(errorsOf("[target a]\nlabels = x=1\nlable = x=1\n"), "ops.ini:3: [target a] read key 'lable', allowed: labels");
    EXPECT_EQ(errorsOf("[route a]\ntargets = x\n"), "ops.ini:1: [route a] key 'requests' is missing");
    EXPECT_EQ(errorsOf("[router a]\nx = y\n"), "ops.ini:1: [router a] read section, allowed: target NAME, request-rule NAME, route NAME, group NAME, organisation NAME");
    EXPECT_EQ(errorsOf("[target a b]\nlabels = x=1\n").substr(0, 44), "ops.ini:1: [target a b] read name 'a b', all");
    EXPECT_EQ(errorsOf("labels = x=1\n"), "ops.ini:1: key 'labels' stands before the first section");
    EXPECT_EQ(errorsOf("[target a]\nlabels = x=1\nnonsense\n"), "ops.ini:3: read neither a section, a key with '=' and a value, nor a comment");
    EXPECT_NE(errorsOf("[target a]\nlabels = " + std::string(300, 'x') + "\n").find("ops.ini:2: the line has 309 characters, allowed: at most"), std::string::npos);
    EXPECT_NE(errorsOf("[target a]\nlabels = x=1\n  tier=2\n").find("ops.ini:2: [target a] labels: position 5"), std::string::npos)
        << "an indented line continues the value";
    EXPECT_EQ(errorsOf("[target a]\nlabels = x\n[target b]\nlabels = y\n").find('\n') != std::string::npos, true) << "all errors are told";
}

TEST(ConfigFile, DiffBringsTheConfigurationToTheFile)
{
    FoldState state = stateOf({ { targetKey("same"), { { "labels", "x=1,y=2" } } }, { targetKey("changed"), { { "labels", "x=1" } } }, { targetKey("gone"), { { "labels", "x=1" } } } });
    std::shared_ptr<Config const> config = Config::create(state);
    ConfigFile file = ConfigFile::parse("[target same]\nlabels = y=2, x=1\n[target changed]\nlabels = x=2\n[target new]\nlabels = x=1\n", "f").value();
    std::vector<Difference> differences = diff(file, *config);
    EXPECT_EQ(toString(differences), "~ [target changed]\n  - labels = x=1\n  + labels = x=2\n- [target gone]\n  - labels = x=1\n+ [target new]\n  + labels = x=1\n");
    EXPECT_EQ(editsOf(differences, false), (std::vector<Edit> { setTarget("changed", 1, "x=2"), setTarget("new", std::nullopt, "x=1") }));
    EXPECT_EQ(editsOf(differences, true), (std::vector<Edit> { setTarget("changed", 1, "x=2"), deleteTarget("gone", 2), setTarget("new", std::nullopt, "x=1") }));
}

}
