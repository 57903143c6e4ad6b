#include <LibDuties/UsageBook.h>
#include <gtest/gtest.h>

namespace {

using Duties::OrganisationCounts;
using Duties::Speaker;
using Duties::UsageBook;
using Duties::UsageStatement;

}

// Guards against the loss of what a daemon had counted when it was killed and has started again.
TEST(UsageBook, AProcessThatIsGoneHasWhatItSaidLast)
{
    UsageBook book;
    book.hear({ "a", 1 }, UsageStatement { { { 7, { { "x", 3 } } } }, 7, 0 });
    book.hear({ "a", 1 }, UsageStatement { { { 7, { { "x", 5 }, { "y", 1 } } } }, 7, 0 });
    book.hear({ "a", 2 }, UsageStatement { { { 7, { { "x", 2 } } } }, 8, 0 });
    book.hear({ "b", 1 }, UsageStatement { { { 7, { { "y", 4 } } }, { 8, { { "y", 9 } } } }, 8, 0 });
    EXPECT_EQ(book.total(7), (OrganisationCounts { { "x", 7 }, { "y", 5 } }));
    EXPECT_EQ(book.first(), 7U);
    EXPECT_FALSE(book.hasClosed({ "a", 1 }, 7));
    EXPECT_TRUE(book.hasClosed({ "a", 2 }, 7));
    EXPECT_FALSE(book.hasClosed({ "a", 2 }, 8));
    EXPECT_FALSE(book.hasClosed({ "c", 1 }, 7));
    book.forget(8);
    EXPECT_TRUE(book.total(7).empty());
    EXPECT_EQ(book.first(), 8U);
}

TEST(UsageBook, ALateStatementTakesNothingBack)
{
    UsageBook book;
    book.hear({ "a", 1 }, UsageStatement { { { 7, { { "x", 5 } } } }, 8, 0 });
    book.hear({ "a", 1 }, UsageStatement { { { 7, { { "x", 3 } } } }, 7, 0 });
    EXPECT_EQ(book.total(7), (OrganisationCounts { { "x", 5 } }));
    EXPECT_TRUE(book.hasClosed({ "a", 1 }, 7));
}
