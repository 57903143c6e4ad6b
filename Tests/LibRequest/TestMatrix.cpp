#include "Faults.h"
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace {

using namespace RequestTest;

std::string nameOfCell(testing::TestParamInfo<std::tuple<std::size_t, std::size_t>> const& it)
{
    return std::string(stepNames[std::get<0>(it.param)]) + "_" + faults()[std::get<1>(it.param)].name;
}

class RequestFault : public testing::TestWithParam<std::tuple<std::size_t, std::size_t>> {
protected:
    static void runCell(Kind kind, char expected)
    {
        std::unique_ptr<RequestSimulation> simulation = runFault(kind, std::get<0>(GetParam()), faults()[std::get<1>(GetParam())]);
        EXPECT_EQ(simulation->violations(), "");
        EXPECT_EQ(simulation->outcome(1), expected) << "kind " << static_cast<int>(kind);
    }
};

class RequestFaultPair : public testing::TestWithParam<std::size_t> { };

constexpr char const* faultTableFile = CURRANTVALE_SOURCES "/docs/faults/request.tsv";

/// Describes the outcome for callers of the three kinds.
std::string promiseOf(Fault const& fault, std::size_t step)
{
    std::map<char, std::string> const words { { 'W', "whole" }, { 'N', "not run" }, { 'M', "may have run" }, { 'G', "canceled" } };
    return "stream: " + words.at(fault.repeatableStream[step]) + "; service once: " + words.at(fault.serviceOnce[step])
        + "; engine once: " + words.at(fault.engineOnce[step]) + "; at most one run of what may not be repeated, one final answer, its own and in order";
}

std::string faultTable()
{
    std::ostringstream table;
    table << "step\tfault\ttest\tpromise\n";
    for (std::size_t step = 0; step < stepCount; ++step) {
        for (Fault const& fault : faults())
            table << stepNames[step] << '\t' << fault.name << "\tMatrix/RequestFault.KeepsThePromises/" << stepNames[step] << '_' << fault.name << '\t' << promiseOf(fault, step) << '\n';
        table << stepNames[step] << "\tlog_down_or_slow\t-\tno step of a request waits for the log\n";
        table << stepNames[step] << "\tlist_stale\t-\ta target that is gone fails to connect: target_kill at picked; a leaving one refuses: target_refuses\n";
    }
    return table.str();
}

}

TEST_P(RequestFault, KeepsThePromises)
{
    Fault const& fault = faults()[std::get<1>(GetParam())];
    std::size_t step = std::get<0>(GetParam());
    runCell(Kind::RepeatableStream, fault.repeatableStream[step]);
    runCell(Kind::ServiceOnce, fault.serviceOnce[step]);
    runCell(Kind::EngineOnce, fault.engineOnce[step]);
}

INSTANTIATE_TEST_SUITE_P(Matrix, RequestFault, testing::Combine(testing::Range<std::size_t>(0, stepCount), testing::Range<std::size_t>(0, faultCount)), nameOfCell);

TEST_P(RequestFaultPair, KeepThePromises)
{
    for (Fault const& first : faults()) {
        for (Fault const& second : faults()) {
            for (Kind kind : { Kind::RepeatableStream, Kind::ServiceOnce, Kind::EngineOnce })
                EXPECT_EQ(runFault(kind, GetParam(), first, &second)->violations(), "") << first.name << " then " << second.name;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Matrix, RequestFaultPair, testing::Range<std::size_t>(0, stepCount), [](testing::TestParamInfo<std::size_t> const& it) { return std::string(stepNames[it.param]); });

// CURRANTVALE_WRITE_FAULT_TABLE=1 in the environment regenerates the table.
TEST(RequestFaultTable, IsTheOneInTheDocs)
{
    if (std::getenv("CURRANTVALE_WRITE_FAULT_TABLE") != nullptr)
        std::ofstream(faultTableFile) << faultTable();
    std::ifstream file(faultTableFile);
    std::ostringstream content;
    content << file.rdbuf();
    EXPECT_TRUE(content.str() == faultTable()) << "docs/faults/request.tsv is not what the tests check";
}

// Checks that docs/faults/request-breaks.tsv matches the code. That each break fails its test is checked manually.
TEST(RequestFaultTable, BreaksNameCodeThatStands)
{
    std::ifstream table(CURRANTVALE_SOURCES "/docs/faults/request-breaks.tsv");
    std::string line;
    std::getline(table, line);
    int breaks = 0;
    for (; std::getline(table, line); ++breaks) {
        std::istringstream columns(line);
        std::string promise;
        std::string file;
        std::string code;
        std::getline(columns, promise, '\t');
        std::getline(columns, file, '\t');
        std::getline(columns, code, '\t');
        std::ifstream source(std::string(CURRANTVALE_SOURCES "/") + file);
        std::string text;
        for (std::string word; source >> word;)
            text += (text.empty() ? "" : " ") + word;
        EXPECT_NE(text.find(code), std::string::npos) << file << ": " << code;
    }
    EXPECT_GE(breaks, 30);
}
