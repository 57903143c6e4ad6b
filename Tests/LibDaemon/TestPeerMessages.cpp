#include <LibDaemon/ControlMessages.h>
#include <LibDaemon/PeerMessages.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

std::vector<Daemon::AnswerFrame> sampleFrames()
{
    Http::ResponseHead head;
    head.status = 200;
    head.fields.add("Content-Type", "text/event-stream");
    Request::Finish finish;
    finish.verdict = Core::Verdict::MayHaveRun;
    finish.error = Core::makeUncertainError(Core::ErrorCode::Timeout, "late");
    return { head, Daemon::ForwardedPiece { 5, "bytes" }, finish };
}

}

TEST(PeerMessages, ForwardedRequestReadsBack)
{
    Daemon::ForwardedRequest forwarded;
    forwarded.request = Http::Request { "POST", "/services/records/enrol", { { "A", "b" } }, std::string("\0x", 2) };
    forwarded.requestId = "e-1";
    forwarded.from = { Request::AnswerOffset::Unit::Bytes, 17 };
    Daemon::ForwardedRequest again = Daemon::decodeForwardedRequest(Daemon::encode(forwarded)).value();
    EXPECT_EQ(again.request.target, forwarded.request.target);
    EXPECT_EQ(again.request.body, forwarded.request.body);
    EXPECT_EQ(again.request.fields.find("a"), "b");
    EXPECT_EQ(again.from.value, 17U);
    EXPECT_FALSE(again.isCollection);
}

TEST(PeerMessages, FramesReadBackByteByByte)
{
    std::string bytes;
    for (Daemon::AnswerFrame const& frame : sampleFrames())
        bytes += Daemon::encode(frame);
    Daemon::FrameReader reader;
    std::vector<Daemon::AnswerFrame> frames;
    for (char c : bytes) {
        Core::Result<std::vector<Daemon::AnswerFrame>> some = reader.add({ &c, 1 });
        ASSERT_TRUE(some.has_value());
        for (Daemon::AnswerFrame& frame : some.value())
            frames.push_back(std::move(frame));
    }
    ASSERT_EQ(frames.size(), 3U);
    EXPECT_EQ(std::get<Http::ResponseHead>(frames[0]).status, 200);
    EXPECT_EQ(std::get<Daemon::ForwardedPiece>(frames[1]).position, 5U);
    EXPECT_EQ(std::get<Request::Finish>(frames[2]).error->message, "late");
    EXPECT_EQ(std::get<Request::Finish>(frames[2]).verdict, Core::Verdict::MayHaveRun);
}

RC_GTEST_PROP(PeerMessages, ArbitraryBytesNeverCrashTheReaders, (std::string const& bytes))
{
    Daemon::FrameReader reader;
    // Doubled parentheses: RC_ASSERT takes an expression apart and would evaluate both sides of ||.
    RC_ASSERT((reader.add(bytes).has_value() || !bytes.empty()));
    Core::Result<Daemon::ForwardedRequest> forwarded = Daemon::decodeForwardedRequest(bytes);
    Core::Result<Daemon::CloseRequest> close = Daemon::decodeCloseRequest(bytes);
    Core::Result<Daemon::MixReport> mix = Daemon::decodeMixReport(bytes);
    RC_ASSERT((mix.has_error() || mix.value().counts.size() == 2));
    RC_ASSERT((forwarded.has_value() || forwarded.error().verdict == Core::Verdict::NotRun));
    RC_ASSERT((close.has_value() || close.error().code == Core::ErrorCode::Corrupt));
}
