#include <LibFleet/FirstMeeting.h>
#include <gtest/gtest.h>
#include <string>

// How soon the daemons of a site know the configuration and the targets after they were all off.

namespace {

using namespace std::chrono_literals;
using namespace Fleet;

constexpr Time start { 100s };

std::string nameOf(int n)
{
    return "vm-" + std::to_string(100 + n);
}

// What the daemon reads in the store's list when all have started at one moment: entries of the time before, its own among them.
DaemonBook bookAfterAllWereOff(int self, int daemons)
{
    DaemonBook book;
    for (int n = 0; n < daemons; ++n) {
        Platform::ListedDaemon listed;
        listed.name = nameOf(n);
        listed.incarnation = 1;
        if (n != self)
            book.list(listed, start + 10ms);
    }
    return book;
}

}

TEST(FirstMeeting, AfterAllWereOffTwoDaemonsReadAtOnceAndTheOthersWaitForThem)
{
    for (int daemons : { 6, 70, 300 }) {
        int readers = 0;
        for (int self = 0; self < daemons; ++self) {
            DaemonBook book = bookAfterAllWereOff(self, daemons);
            FirstMeeting meeting(nameOf(self), start);
            EXPECT_FALSE(meeting.isOver(book, false, start + 10ms)) << "whether others are there is not known yet";
            meeting.noteList(true, start + 10ms);
            readers += meeting.isOver(book, false, start + 10ms) ? 1 : 0;
            EXPECT_TRUE(meeting.isOver(book, true, start + 30ms)) << "a reader tells";
            EXPECT_TRUE(meeting.isOver(book, false, start + 300ms)) << "the readers did not come back";
        }
        EXPECT_EQ(readers, 2) << daemons;
    }
}

TEST(FirstMeeting, ADaemonThatIsNewToTheListWaitsUntilItsOwnEntryIsThere)
{
    DaemonBook book = bookAfterAllWereOff(0, 2);
    FirstMeeting meeting(nameOf(0), start);
    meeting.noteList(false, start + 10ms);
    EXPECT_FALSE(meeting.isOver(book, false, start + 300ms)) << "many may be as new, and each would take itself for a reader";
    meeting.noteList(true, start + 310ms);
    EXPECT_TRUE(meeting.isOver(book, false, start + 310ms));
}

TEST(FirstMeeting, EndsAlsoWhileTheStoreIsAway)
{
    FirstMeeting meeting(nameOf(0), start);
    EXPECT_FALSE(meeting.isOver(DaemonBook(), false, start + 900ms));
    EXPECT_TRUE(meeting.isOver(DaemonBook(), false, start + 1s));
}
