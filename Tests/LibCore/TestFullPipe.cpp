// A program of its own: it points standard output at a pipe that nobody reads.

#include <LibCore/EventLog.h>
#include <chrono>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

// Whoever logs must not wait for whoever reads standard output.
TEST(EventLog, AFullPipeStopsNobody)
{
    int ends[2] {};
    ASSERT_EQ(::pipe(ends), 0);
    int output = ::dup(STDOUT_FILENO);
    ASSERT_EQ(::dup2(ends[1], STDOUT_FILENO), STDOUT_FILENO);
    Core::startEventLog(Core::Severity::Info);
    std::string text(200, 'x');
    // Twenty times what pipe and buffer hold together. Without the buffer this never ends. Warnings have no quota.
    for (int n = 0; n < 50'000; ++n)
        Core::logEvent(Core::Severity::Warning, Core::Event::RequestFinished, { { "request", std::to_string(n) }, { "error", text } });
    // Those that went well are bounded by their quota before they come to the buffer.
    for (int n = 0; n < 50'000; ++n)
        Core::logEvent(Core::Severity::Info, Core::Event::RouteDecided, { { "request", std::to_string(n) } });
    EXPECT_GT(Core::linesLeftOut(), 40'000U);
    // The writer still waits in the pipe: let it go, and see that it says how much was left out.
    std::string written;
    std::thread reader([&] {
        char bytes[4096];
        for (ssize_t n = ::read(ends[0], bytes, sizeof(bytes)); n > 0; n = ::read(ends[0], bytes, sizeof(bytes)))
            written.append(bytes, static_cast<std::size_t>(n));
    });
    Core::stopEventLog();
    EXPECT_EQ(::dup2(output, STDOUT_FILENO), STDOUT_FILENO);
    ::close(ends[1]);
    reader.join();
    ::close(ends[0]);
    EXPECT_NE(written.find("request=0"), std::string::npos);
    EXPECT_NE(written.find("iscarded"), std::string::npos);
}
