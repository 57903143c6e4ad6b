#include <LibMembership/Message.h>
#include <Membership.pb.h>
#include <algorithm>

namespace Membership {

namespace {

void write(Wire::Record& wire, Record const& record)
{
    wire.set_id(record.id);
    wire.set_incarnation(record.incarnation);
    wire.set_version(record.version);
    wire.set_status(static_cast<std::uint32_t>(record.status));
    wire.set_is_leaving(record.isLeaving);
    if (!record.profile)
        return;
    Wire::Profile& profile = *wire.mutable_profile();
    profile.set_name(record.profile->name);
    profile.set_address(record.profile->address);
    profile.set_caller_address(record.profile->callerAddress);
    profile.set_availability_zone(record.profile->availabilityZone);
    profile.set_region(record.profile->region);
}

template <typename WireLoad>
void writeLoad(WireLoad& wire, Load const& load)
{
    wire.set_running(load.running);
    wire.set_queued(load.queued);
    wire.set_prompt_tokens_per_second(load.promptTokensPerSecond);
    wire.set_output_tokens_per_second(load.outputTokensPerSecond);
}

void write(Wire::MemberLoad& wire, MemberLoad const& load)
{
    wire.set_id(load.id);
    wire.set_sequence(load.sequence);
    wire.set_age_ms(static_cast<std::uint32_t>(load.age.count()));
    writeLoad(wire, load.load);
}

void write(Wire::ZoneLoad& wire, ZoneLoad const& load)
{
    wire.set_zone(load.zone);
    wire.set_source(load.source);
    wire.set_sequence(load.sequence);
    wire.set_age_ms(static_cast<std::uint32_t>(load.age.count()));
    wire.set_members(load.members);
    writeLoad(wire, load.load);
}

boost::outcome_v2::failure_type<Core::Error> corrupt(std::string message)
{
    return Core::fail(Core::ErrorCode::Corrupt, "A membership message " + std::move(message));
}

bool isShort(Wire::Profile const& profile)
{
    std::size_t const longest = std::max({ profile.name().size(), profile.address().size(), profile.caller_address().size(),
        profile.availability_zone().size(), profile.region().size() });
    return longest <= maxNameBytes;
}

Core::Result<Record> readRecord(Wire::Record const& wire)
{
    if (wire.status() > static_cast<std::uint32_t>(Status::Left))
        return corrupt("has an unknown status.");
    Record record { wire.id(), wire.incarnation(), wire.version(), static_cast<Status>(wire.status()), wire.is_leaving(), {} };
    if (record.incarnation == 0 || record.status == Status::Unheard)
        return corrupt("has a record without an incarnation or with status unheard.");
    if (!wire.has_profile())
        return record;
    Wire::Profile const& profile = wire.profile();
    if (!isShort(profile) || profile.name().empty() || memberIdOf(profile.name()) != record.id)
        return corrupt("has a profile that does not belong to its record.");
    record.profile = Profile { profile.name(), profile.address(), profile.caller_address(), profile.availability_zone(), profile.region() };
    return record;
}

template <typename WireLoad>
Load readLoad(WireLoad const& wire)
{
    return { wire.running(), wire.queued(), wire.prompt_tokens_per_second(), wire.output_tokens_per_second() };
}

bool isWithinLimits(Wire::Message const& wire)
{
    return static_cast<std::size_t>(wire.records_size()) <= maxRecords
        && static_cast<std::size_t>(wire.member_loads_size()) <= maxLoads
        && static_cast<std::size_t>(wire.zone_loads_size()) <= maxLoads
        && (wire.buckets_size() == 0 || static_cast<std::size_t>(wire.buckets_size()) == bucketCount)
        && static_cast<std::size_t>(wire.wanted_buckets_size()) <= bucketCount
        && static_cast<std::size_t>(wire.record_digests_size()) <= maxRecords
        && static_cast<std::size_t>(wire.wanted_records_size()) <= maxRecords
        && static_cast<std::size_t>(wire.wanted_profiles_size()) <= maxRecords;
}

}

std::string encode(Message const& message)
{
    Wire::Message wire;
    wire.set_kind(static_cast<std::uint32_t>(message.kind));
    write(*wire.mutable_sender(), message.sender);
    wire.set_sequence(message.sequence);
    wire.set_digest(message.digest);
    wire.set_target(message.target);
    for (Record const& record : message.records)
        write(*wire.add_records(), record);
    for (MemberLoad const& load : message.memberLoads)
        write(*wire.add_member_loads(), load);
    for (ZoneLoad const& load : message.zoneLoads)
        write(*wire.add_zone_loads(), load);
    wire.mutable_buckets()->Add(message.buckets.begin(), message.buckets.end());
    wire.mutable_wanted_buckets()->Add(message.wantedBuckets.begin(), message.wantedBuckets.end());
    wire.mutable_record_digests()->Add(message.recordDigests.begin(), message.recordDigests.end());
    wire.mutable_wanted_records()->Add(message.wantedRecords.begin(), message.wantedRecords.end());
    wire.mutable_wanted_profiles()->Add(message.wantedProfiles.begin(), message.wantedProfiles.end());
    return wire.SerializeAsString();
}

Core::Result<Message> decode(std::string_view bytes)
{
    Wire::Message wire;
    if (bytes.size() > maxMessageBytes || !wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return corrupt("cannot be parsed.");
    if (wire.kind() > static_cast<std::uint32_t>(Kind::Sync) || !wire.has_sender() || !isWithinLimits(wire))
        return corrupt("has an unknown kind, no sender, or too many entries.");
    Message message;
    message.kind = static_cast<Kind>(wire.kind());
    BOOST_OUTCOME_TRY(message.sender, readRecord(wire.sender()));
    message.sequence = wire.sequence();
    message.digest = wire.digest();
    message.target = wire.target();
    for (Wire::Record const& record : wire.records()) {
        BOOST_OUTCOME_TRY(Record read, readRecord(record));
        message.records.push_back(std::move(read));
    }
    for (Wire::MemberLoad const& load : wire.member_loads())
        message.memberLoads.push_back({ load.id(), load.sequence(), std::chrono::milliseconds(load.age_ms()), readLoad(load) });
    for (Wire::ZoneLoad const& load : wire.zone_loads())
        message.zoneLoads.push_back({ load.zone(), load.source(), load.sequence(), std::chrono::milliseconds(load.age_ms()), load.members(), readLoad(load) });
    message.buckets.assign(wire.buckets().begin(), wire.buckets().end());
    message.wantedBuckets.assign(wire.wanted_buckets().begin(), wire.wanted_buckets().end());
    message.recordDigests.assign(wire.record_digests().begin(), wire.record_digests().end());
    message.wantedRecords.assign(wire.wanted_records().begin(), wire.wanted_records().end());
    message.wantedProfiles.assign(wire.wanted_profiles().begin(), wire.wanted_profiles().end());
    if (std::ranges::any_of(message.wantedBuckets, [](std::uint32_t bucket) { return bucket >= bucketCount; }))
        return corrupt("asks for a bucket that does not exist.");
    return message;
}

}
