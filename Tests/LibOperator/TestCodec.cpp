#include <LibOperator/Codec.h>
#include <gtest/gtest.h>

namespace {

State::ConfigRecord record()
{
    State::Edit create { { State::Kind::Target, "a" }, std::nullopt, State::Fields { { "labels", "x=1" } } };
    State::Edit change { { State::Kind::Route, "r" }, 0, State::Fields { { "requests", "a" }, { "targets", "\"b\"" } } };
    State::Edit remove { { State::Kind::Group, "g" }, 7, std::nullopt };
    return { { 12, 255 }, "clerk", { create, change, remove } };
}

}

TEST(Codec, EachMessageReadsBack)
{
    EXPECT_EQ(Operator::decodeRecord(Operator::encode(record())).value(), record());
    Operator::ConfigDocument document { 12, { { { State::Kind::Target, "a" }, 3, { { "labels", "x=1" } } } } };
    EXPECT_EQ(Operator::decodeConfig(Operator::encode(document)).value(), document);
    std::vector<Operator::HistoryEntry> history { { 4, State::Applied::Refused, "why", record() }, { 5, State::Applied::Repeated, "", record() } };
    EXPECT_EQ(Operator::decodeHistory(Operator::encode(history)).value(), history);
    Operator::Progress progress { { { "d", 4 } }, true };
    EXPECT_EQ(Operator::decodeProgress(Operator::encode(progress)).value(), progress);
    for (Operator::ChangeReply const& it : { Operator::ChangeReply { Operator::ChangeOutcome::Accepted, 5, "", {} },
             Operator::ChangeReply { Operator::ChangeOutcome::Refused, 0, "conflict", 9 }, Operator::ChangeReply { Operator::ChangeOutcome::Unknown, 0, "the log is down", {} } })
        EXPECT_EQ(Operator::decodeReply(Operator::encode(it)).value(), it);
}

TEST(Codec, RecordHasTheAgreedForm)
{
    EXPECT_EQ(Operator::encode(record()),
        R"({"id":"12-00000000000000ff","author":"clerk","edits":[{"kind":"target","name":"a","fields":{"labels":"x=1"}},)"
        R"({"kind":"route","name":"r","base_revision":0,"fields":{"requests":"a","targets":"\"b\""}},)"
        R"({"kind":"group","name":"g","base_revision":7,"delete":true}]})");
}

TEST(Codec, BadBodiesAreErrors)
{
    for (char const* text : { "", "{}", R"({"id":"x","author":"a","edits":[]})", R"({"id":"12-00000000000000ff","author":"a","edits":[{"kind":"odd","name":"a","delete":true}]})",
             R"({"id":"12-00000000000000ff","author":"a","edits":[{"kind":"target","name":"a"}]})",
             R"({"id":"12-00000000000000ff","author":"a","edits":[{"kind":"target","name":"a","fields":{},"delete":true}]})",
             R"({"id":"12-00000000000000ff","author":"a","edits":[{"kind":"target","name":"a","fields":{"labels":1}}]})" })
        EXPECT_EQ(Operator::decodeRecord(text).error().code, Core::ErrorCode::BadInput) << text;
    EXPECT_TRUE(Operator::decodeReply(R"({"outcome":"accepted"})").has_error());
    EXPECT_TRUE(Operator::decodeReply(R"({"outcome":"odd"})").has_error());
    EXPECT_TRUE(Operator::decodeConfig(R"({"offset":1})").has_error());
}
