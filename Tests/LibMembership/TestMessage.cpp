#include <LibMembership/MemberTable.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Membership;

namespace {

Profile longProfile(std::uint64_t i)
{
    std::string const name = std::string(40, 'n') + std::to_string(i);
    return { name, "255.255.255.255:65535", "255.255.255.255:65535", std::string(30, 'z'), std::string(30, 'r') };
}

rc::Gen<Record> records()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(1, 6), rc::gen::inRange(1, 4), rc::gen::inRange(0, 4), rc::gen::inRange(1, 5), rc::gen::arbitrary<bool>()),
        [](std::tuple<int, int, int, int, bool> const& parts) {
            Record record;
            record.id = static_cast<std::uint64_t>(std::get<0>(parts));
            record.incarnation = static_cast<std::uint64_t>(std::get<1>(parts));
            record.version = static_cast<std::uint32_t>(std::get<2>(parts));
            record.status = static_cast<Status>(std::get<3>(parts));
            record.isLeaving = std::get<4>(parts);
            return record;
        });
}

Message fullMessage(std::size_t recordCount)
{
    Message message;
    message.kind = Kind::Sync;
    message.sender = { 1, 1'700'000'000'000, 4'000'000'000, Status::Alive, true, {} };
    message.sequence = 4'000'000'000;
    message.digest = UINT64_MAX;
    for (std::size_t i = 0; i < recordCount; ++i)
        message.records.push_back({ UINT64_MAX - i, 1'700'000'000'000, 4'000'000'000, Status::Suspect, true, {} });
    for (std::uint64_t i = 0; i < maxLoads; ++i) {
        message.memberLoads.push_back({ i, 1'700'000'000'000, std::chrono::milliseconds(60'000), { 9999, 9999, 9'999'999, 9'999'999 } });
        message.zoneLoads.push_back({ static_cast<std::uint32_t>(i), i, 1'700'000'000'000, std::chrono::milliseconds(60'000), 99, { 9999, 9999, 9'999'999, 9'999'999 } });
    }
    message.buckets.assign(bucketCount, UINT32_MAX);
    for (std::uint32_t i = 0; i < bucketCount; ++i)
        message.wantedBuckets.push_back(i);
    return message;
}

}

TEST(Message, MaximumSizeMessageRoundTripsWithinLimit)
{
    Message message = fullMessage(maxRecords);
    message.wantedProfiles.assign(1, 7);
    std::string const bytes = encode(message);
    EXPECT_LE(bytes.size(), maxMessageBytes + 4096); // The records alone may come to 8 kB.
    message = fullMessage(maxRecords / 2);
    EXPECT_LE(encode(message).size(), maxMessageBytes);
    EXPECT_EQ(decode(encode(message)).value(), message);
}

TEST(Message, ProfilesOfOnePushFitInAMessage)
{
    Message message;
    message.sender = { 1, 1, 0, Status::Alive, false, {} };
    for (std::uint64_t i = 0; i < 40; ++i) {
        Profile const profile = longProfile(i);
        message.records.push_back({ memberIdOf(profile.name), 1'700'000'000'000, 0, Status::Alive, false, profile });
    }
    EXPECT_LE(encode(message).size(), maxMessageBytes);
    EXPECT_EQ(decode(encode(message)).value(), message);
}

TEST(Message, RejectsMessagesBeyondLimits)
{
    Message message = fullMessage(1);
    message.sender.incarnation = 0;
    EXPECT_EQ(decode(encode(message)).error().code, Core::ErrorCode::Corrupt);
    message = fullMessage(maxRecords + 1);
    EXPECT_FALSE(decode(encode(message)).has_value());
    message = fullMessage(1);
    message.buckets.pop_back();
    EXPECT_FALSE(decode(encode(message)).has_value());
    message = fullMessage(1);
    message.wantedBuckets = { bucketCount };
    EXPECT_FALSE(decode(encode(message)).has_value());
    message = fullMessage(1);
    message.records[0].profile = longProfile(1); // The ID of another member.
    EXPECT_FALSE(decode(encode(message)).has_value());
    EXPECT_FALSE(decode(std::string(maxMessageBytes + 1, 'x')).has_value());
    EXPECT_FALSE(decode("").has_value());
}

RC_GTEST_PROP(Message, ArbitraryBytesAreParsedOrRejected, (std::string const& bytes))
{
    Core::Result<Message> const message = decode(bytes);
    if (message.has_value())
        RC_ASSERT(decode(encode(message.value())).value() == message.value());
}

RC_GTEST_PROP(Message, CorruptedMessagesAreParsedOrRejected, ())
{
    std::string bytes = encode(fullMessage(3));
    std::vector<std::pair<std::size_t, char>> const damage = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, bytes.size()), rc::gen::arbitrary<char>()));
    for (std::pair<std::size_t, char> const& change : damage)
        bytes[change.first] = change.second;
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    Core::Result<Message> const message = decode(bytes);
    if (message.has_value())
        RC_ASSERT(decode(encode(message.value())).value() == message.value());
}

RC_GTEST_PROP(MemberTable, RecordsNeverRegress, ())
{
    MemberTable table(99, 100);
    std::chrono::steady_clock::time_point now;
    for (Record const& record : *rc::gen::container<std::vector<Record>>(records())) {
        Record const before = table.recordOf(record.id, false);
        bool const wasKnown = table.find(record.id) != nullptr;
        now += std::chrono::seconds(1);
        bool const isChanged = table.apply(record, now) == MergeResult::Changed;
        Record const after = table.recordOf(record.id, false);
        RC_ASSERT(isChanged == (!wasKnown || after != before));
        RC_ASSERT(after.incarnation >= before.incarnation);
        RC_ASSERT(!isChanged || !wasKnown || supersedes(after, before));
        // No claim changes a member from alive to dead in one step; only its own announcement ends it at once (left).
        RC_ASSERT(!(wasKnown && before.status == Status::Alive && after.status == Status::Dead));
    }
}

RC_GTEST_PROP(MemberTable, EqualTablesHaveEqualDigests, ())
{
    MemberTable first(99, 100);
    MemberTable second(99, 100);
    Record const self { 99, 1, 0, Status::Alive, false, {} };
    std::vector<Record> const some = *rc::gen::container<std::vector<Record>>(records());
    for (Record const& record : some)
        first.apply(record, {});
    for (Record const& record : some) {
        if (first.find(record.id))
            second.apply(first.recordOf(record.id, false), {});
    }
    RC_ASSERT(first.buckets(self) == second.buckets(self));
}
