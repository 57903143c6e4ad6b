#include <LeaseStream.pb.h>
#include <LibAuthority/LeaseRecord.h>
#include <LibState/Content.h>

namespace Authority {

namespace {

constexpr std::uint32_t recordFormat = 1;
constexpr std::size_t maximumRecordBytes = 1U << 20U;

void fill(Proto::LeaseRecord& proto, Claim const& claim)
{
    Proto::Claim* added = proto.mutable_claim();
    added->set_pool(claim.pool);
    added->mutable_holder()->set_daemon(claim.holder.daemon);
    added->mutable_holder()->set_address(claim.holder.address);
    added->mutable_holder()->set_incarnation(claim.holder.incarnation);
    if (claim.previous)
        added->set_previous(*claim.previous);
    added->set_id(claim.id);
}

void fill(Proto::LeaseRecord& proto, Renewal const& renewal)
{
    Proto::Renewal* added = proto.mutable_renewal();
    for (RenewedLease const& lease : renewal.leases) {
        Proto::RenewedLease* renewed = added->add_leases();
        renewed->set_pool(lease.pool);
        renewed->set_fencing(lease.fencing);
        renewed->set_id(lease.id);
    }
}

void fill(Proto::LeaseRecord& proto, Release const& release)
{
    proto.mutable_release()->set_pool(release.pool);
    proto.mutable_release()->set_fencing(release.fencing);
}

void fill(Proto::LeaseRecord& proto, Acknowledgement const& acknowledgement)
{
    proto.mutable_acknowledgement()->set_pool(acknowledgement.pool);
    proto.mutable_acknowledgement()->set_fencing(acknowledgement.fencing);
}

void fill(Proto::LeaseRecord& proto, Settlement const& settlement)
{
    Proto::Settlement* added = proto.mutable_settlement();
    added->set_pool(settlement.pool);
    added->set_fencing(settlement.fencing);
    added->set_former_fencing(settlement.formerFencing);
    added->set_evidence(std::string(Core::nameOf(evidenceNames, settlement.evidence)));
}

Core::Error corrupt(std::string const& what)
{
    return Core::makeError(Core::ErrorCode::Corrupt, "the lease record " + what);
}

Core::Result<LeaseRecord> readClaim(Proto::Claim const& proto)
{
    Claim claim;
    claim.pool = proto.pool();
    claim.holder = { proto.holder().daemon(), proto.holder().address(), proto.holder().incarnation() };
    if (proto.has_previous())
        claim.previous = proto.previous();
    claim.id = proto.id();
    if (!State::checkName(claim.pool) || claim.holder.incarnation.empty() || claim.holder.address.empty())
        return corrupt("has no valid pool or holder");
    return LeaseRecord(std::move(claim));
}

Core::Result<LeaseRecord> readRenewal(Proto::Renewal const& proto)
{
    Renewal renewal;
    for (Proto::RenewedLease const& lease : proto.leases())
        renewal.leases.push_back({ lease.pool(), lease.fencing(), lease.id() });
    return LeaseRecord(std::move(renewal));
}

Core::Result<LeaseRecord> readSettlement(Proto::Settlement const& proto)
{
    std::optional<Evidence> evidence = Core::valueOf(evidenceNames, proto.evidence());
    if (!evidence)
        return corrupt("has an unknown kind of evidence");
    return LeaseRecord(Settlement { proto.pool(), proto.fencing(), proto.former_fencing(), *evidence });
}

}

std::string encode(LeaseRecord const& record)
{
    Proto::LeaseRecord proto;
    proto.set_format(recordFormat);
    std::visit([&proto](auto const& content) { fill(proto, content); }, record);
    return proto.SerializeAsString();
}

Core::Result<LeaseRecord> decodeLeaseRecord(std::string_view bytes)
{
    Proto::LeaseRecord proto;
    if (bytes.size() > maximumRecordBytes || !proto.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return corrupt("cannot be decoded");
    if (proto.format() != recordFormat)
        return corrupt("has an unknown format");
    switch (proto.content_case()) {
    case Proto::LeaseRecord::kClaim:
        return readClaim(proto.claim());
    case Proto::LeaseRecord::kRenewal:
        return readRenewal(proto.renewal());
    case Proto::LeaseRecord::kRelease:
        return LeaseRecord(Release { proto.release().pool(), proto.release().fencing() });
    case Proto::LeaseRecord::kAcknowledgement:
        return LeaseRecord(Acknowledgement { proto.acknowledgement().pool(), proto.acknowledgement().fencing() });
    case Proto::LeaseRecord::kSettlement:
        return readSettlement(proto.settlement());
    case Proto::LeaseRecord::CONTENT_NOT_SET:
        break;
    }
    return corrupt("is empty");
}

}
