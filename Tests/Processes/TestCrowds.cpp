// Crowds of callers that do not behave, at a daemon on a small VM. Whatever they send, the daemon holds no more than the memory of its
// VM, leaves descriptors free, and serves an ordinary request, and one as large as the limits allow, when they have gone.
//
// Resident memory is that of the product in the plain build only: the sanitizers keep freed memory, and shadow it.

#include "Crowd.h"
#include "KeyedSite.h"
#include "ProcessUse.h"

#include <csignal>
#include <gtest/gtest.h>
#include <sys/resource.h>

using namespace Processes;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t memoryMegabytes = 64;
constexpr std::size_t memoryBytes = memoryMegabytes * 1'000'000;
constexpr rlim_t descriptorLimit = 400;
constexpr std::size_t largestBody = 4 * 1024 * 1024; ///< That a configuration without limits allows.
constexpr std::size_t largeBody = 4'190'000;
constexpr std::size_t blockSize = 16 * 1024;
constexpr std::chrono::milliseconds sampleInterval { 5 };
constexpr std::chrono::seconds mostTime { 40 }; ///< For a crowd that never ends.
constexpr std::chrono::seconds lateTime { 2 }; ///< In which what a crowd has sent reaches the daemon's memory.

std::string headOf(std::string const& framing, std::string const& path = "/c/1")
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 12000\r\n" + framing + "\r\n\r\n";
}

std::string const chunkedField = "Transfer-Encoding: chunked";

std::string lengthField(std::size_t size)
{
    return "Content-Length: " + std::to_string(size);
}

std::string chunkOf(std::size_t size)
{
    std::ostringstream line;
    line << std::hex << size << "\r\n";
    return line.str() + std::string(size, 'b') + "\r\n";
}

class Crowds : public testing::Test {
protected:
    static KeyedSiteSettings siteSettings()
    {
        KeyedSiteSettings settings;
        settings.memoryMegabytes = memoryMegabytes;
        settings.descriptorLimit = descriptorLimit;
        return settings;
    }

    Crowds()
        : m_site(siteSettings())
    {
        EXPECT_TRUE(m_site.waitUntilServing());
    }

    // Plays a crowd at one listener of the first daemon until it has nothing left to send, and checks what must hold meanwhile and behind it.
    void play(Endpoint const& listener, std::size_t size, CrowdScript script, int receiveBuffer = 0)
    {
        Process& daemon = m_site.process(KeyedSite::daemonName(0));
        std::size_t peakMemory = 0;
        std::size_t peakDescriptors = 0;
        std::function<void()> sample = [&] {
            peakMemory = std::max(peakMemory, residentBytes(daemon.id()) + receivedBytes(listener));
            peakDescriptors = std::max(peakDescriptors, openDescriptors(daemon.id()));
        };
        Crowd crowd(listener, size, std::move(script), receiveBuffer);
        std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
        std::chrono::steady_clock::time_point end = begin + mostTime;
        while (std::chrono::steady_clock::now() < end && !daemon.status()) {
            sample();
            if (crowd.isSpent())
                end = std::min(end, std::chrono::steady_clock::now() + lateTime);
            std::this_thread::sleep_for(sampleInterval);
        }
        crowd.leave();
        ASSERT_FALSE(daemon.status()) << "the daemon has ended";
        EXPECT_GT(crowd.sentBytes(), 0U);
        EXPECT_EQ(m_site.ask(0, "POST", "/c/1", "ordinary").status, 200);
        Http::Request largest = KeyedSite::request("POST", "/c/1", "largest");
        largest.body = std::string(largestBody, 'l');
        EXPECT_EQ(fetch(m_site.front(0), std::move(largest)).status, 200);
        EXPECT_TRUE(m_site.isReady(0));
        sample();
        RecordProperty("peak_memory_bytes", std::to_string(peakMemory));
        RecordProperty("peak_descriptors", std::to_string(peakDescriptors));
        EXPECT_LE(peakMemory, memoryBytes) << crowd.sentBytes() << " bytes were sent";
        EXPECT_LT(peakDescriptors, descriptorLimit);
    }

    KeyedSite m_site;
};

}

// Guards against trailers that are held without a bound while more of them come.
TEST_F(Crowds, TrailersWithoutEndAreNotHeld)
{
    CrowdScript script { headOf(chunkedField) + chunkOf(4) + "0\r\n", "X-Trailer: " + std::string(900, 't') + "\r\n" };
    script.isEndless = true;
    play(m_site.front(0), 60, script);
}

// Guards against one trailer, or one chunk extension, that is held without a bound while it goes on.
TEST_F(Crowds, ALineWithoutEndInAChunkedBodyIsNotHeld)
{
    for (std::string const& begin : { chunkOf(4) + "0\r\nX-Trailer: ", std::string("4;extension=") }) {
        CrowdScript script { headOf(chunkedField) + begin, std::string(blockSize, 'x') };
        script.isEndless = true;
        play(m_site.front(0), 60, script);
    }
}

// Guards against a body beyond the limit that is read because its caller sends it all the same.
TEST_F(Crowds, BodiesAnnouncedBeyondTheLimitAreNotHeld)
{
    CrowdScript script { headOf(lengthField(1'000'000'000'000)), std::string(blockSize, 'b') };
    script.isEndless = true;
    play(m_site.front(0), 60, script);
}

// Guards against chunked bodies without end, each of which holds as much as the largest legal body before it is refused.
TEST_F(Crowds, ChunksWithoutEndAreNotHeld)
{
    CrowdScript script { headOf(chunkedField), chunkOf(blockSize) };
    script.isEndless = true;
    play(m_site.front(0), 60, script);
}

// Guards against a process that runs out of memory because many large bodies stop just short of their end.
TEST_F(Crowds, LargeBodiesThatStopShortStayWithinTheMemory)
{
    play(m_site.front(0), 60, { headOf(lengthField(largeBody)), std::string(blockSize, 'b'), largeBody - 10 });
}

// Guards against the same by bodies that come in chunks.
TEST_F(Crowds, LargeBodiesInChunksThatStopShortStayWithinTheMemory)
{
    std::string chunk = chunkOf(blockSize);
    play(m_site.front(0), 60, { headOf(chunkedField), chunk, largeBody / chunk.size() * chunk.size() });
}

// Guards against a process that runs out of memory because many large bodies come whole at once, each held several times over.
TEST_F(Crowds, WholeLargeBodiesStayWithinTheMemory)
{
    CrowdScript script { headOf("Connection: close\r\n" + lengthField(largeBody)), std::string(blockSize, 'b'), largeBody };
    script.readsAnswer = true;
    script.rounds = 3;
    play(m_site.front(0), 60, script);
}

// Guards against connections that go on holding the memory of a body that was served.
TEST_F(Crowds, ConnectionsThatAreKeptDoNotKeepTheirBodies)
{
    constexpr std::size_t size = 250'000;
    CrowdScript script { headOf(lengthField(size)), std::string(blockSize, 'b'), size };
    play(m_site.front(0), 280, script);
}

// Guards against heads that stop short and hold their buffers.
TEST_F(Crowds, HeadsThatStopShortStayWithinTheMemory)
{
    play(m_site.front(0), 280, { "GET /s/1 HTTP/1.1\r\nHost: a.example\r\nX-A: " + std::string(8'000, 'a') + "\r\nX-B: " + std::string(7'900, 'b') });
}

// Guards against bodies at a listener that needs none, in the memory that requests need.
TEST_F(Crowds, LargeBodiesAtTheDirectoryStayWithinTheMemory)
{
    play(m_site.directory(0), 60, { headOf(lengthField(largeBody), "/currantvale/resolve?name=a.example"), std::string(blockSize, 'b'), largeBody - 10 });
}

// Guards against the same where the platform asks whether the daemon is ready.
TEST_F(Crowds, LargeBodiesAtTheReadyListenerStayWithinTheMemory)
{
    play(m_site.ready(0), 60, { headOf(lengthField(largeBody), "/currantvale/ready"), std::string(blockSize, 'b'), largeBody - 10 });
}

// Guards against the same at the operators' listener.
TEST_F(Crowds, LargeBodiesAtTheOperatorsListenerStayWithinTheMemory)
{
    play(m_site.operators(0), 60, { headOf(lengthField(largeBody), "/metrics"), std::string(blockSize, 'b'), largeBody - 10 });
}

// Guards against idle connections at the directory that take the descriptors of requests, targets and the store.
TEST_F(Crowds, ConnectionsAtTheDirectoryLeaveDescriptorsForRequests)
{
    play(m_site.directory(0), descriptorLimit + 50, { "GET /currantvale/resolve HTTP/1.1\r\n" });
}

// Guards against callers that ask for large answers and read none of them: they hold the places of targets, also when they have left.
TEST_F(Crowds, CallersThatNeverReadLeaveTargetsToOthers)
{
    constexpr std::size_t size = 1'000'000;
    constexpr int smallBuffer = 8'192;
    constexpr std::size_t requests = 16;
    std::string request = headOf(lengthField(size), "/s/1") + std::string(size, 'b');
    play(m_site.front(0), 60, { "", request, requests * request.size() }, smallBuffer);
}

// Guards against answers that have come whole from their target and hold its place until their caller reads them: no target is left for
// others while such callers stay.
TEST_F(Crowds, AnswersThatNobodyReadsHoldNoPlacesOfTargets)
{
    constexpr std::size_t size = 150'000; ///< The daemon takes such an answer whole.
    constexpr std::size_t requests = 60; ///< Of each member: their answers exceed what the kernel takes.
    constexpr int smallBuffer = 8'192;
    std::string request = headOf(lengthField(size), "/s/1") + std::string(size, 'b');
    Crowd crowd(m_site.front(0), 60, { "", request, requests * request.size() }, smallBuffer);
    // Until no answer is taken any more, the members' next requests are read.
    std::size_t sent = 0;
    EXPECT_TRUE(waitFor([&] {
        std::this_thread::sleep_for(lateTime);
        return std::exchange(sent, crowd.sentBytes()) == crowd.sentBytes();
    }));
    EXPECT_FALSE(crowd.isSpent());
    EXPECT_EQ(m_site.ask(0, "POST", "/c/1", "beside").status, 200);
}
