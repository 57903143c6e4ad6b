#include <LibDuties/UsageBook.h>
#include <gtest/gtest.h>

namespace {

using Duties::DaemonProcess;
using Duties::OrganisationCounts;
using Duties::UsageBook;
using Duties::UsageStatement;

}

// Guards against losing the counts of a daemon that was killed and restarted.
TEST(UsageBook, KeepsTheLastStatementOfAProcessThatIsGone)
{
    UsageBook book;
    book.merge({ "a", 1 }, UsageStatement { { { 7, { { "x", 3 } } } }, 7, 0 });
    book.merge({ "a", 1 }, UsageStatement { { { 7, { { "x", 5 }, { "y", 1 } } } }, 7, 0 });
    book.merge({ "a", 2 }, UsageStatement { { { 7, { { "x", 2 } } } }, 8, 0 });
    book.merge({ "b", 1 }, UsageStatement { { { 7, { { "y", 4 } } }, { 8, { { "y", 9 } } } }, 8, 0 });
    EXPECT_EQ(book.total(7), (OrganisationCounts { { "x", 7 }, { "y", 5 } }));
    EXPECT_EQ(book.first(), 7U);
    EXPECT_FALSE(book.hasClosed({ "a", 1 }, 7));
    EXPECT_TRUE(book.hasClosed({ "a", 2 }, 7));
    EXPECT_FALSE(book.hasClosed({ "a", 2 }, 8));
    EXPECT_FALSE(book.hasClosed({ "c", 1 }, 7));
    book.forgetBefore(8);
    EXPECT_TRUE(book.total(7).empty());
    EXPECT_EQ(book.first(), 8U);
}

TEST(UsageBook, LateStatementDoesNotLowerCounts)
{
    UsageBook book;
    book.merge({ "a", 1 }, UsageStatement { { { 7, { { "x", 5 } } } }, 8, 0 });
    book.merge({ "a", 1 }, UsageStatement { { { 7, { { "x", 3 } } } }, 7, 0 });
    EXPECT_EQ(book.total(7), (OrganisationCounts { { "x", 5 } }));
    EXPECT_TRUE(book.hasClosed({ "a", 1 }, 7));
}
