#include <LeaseStream.pb.h>
#include <LibAuthority/LeaseState.h>

namespace Authority {

namespace {

constexpr std::uint32_t stateFormat = 1;

void fill(Proto::Holder& proto, Holder const& holder)
{
    proto.set_daemon(holder.daemon);
    proto.set_address(holder.address);
    proto.set_incarnation(holder.incarnation);
}

Holder read(Proto::Holder const& proto) { return { proto.daemon(), proto.address(), proto.incarnation() }; }

}

std::string encode(LeaseState const& state)
{
    Proto::LeaseSnapshot proto;
    proto.set_format(stateFormat);
    proto.set_next_offset(state.nextOffset);
    for (std::pair<std::string const, Lease> const& it : state.leases) {
        Proto::Lease* lease = proto.add_leases();
        lease->set_pool(it.first);
        fill(*lease->mutable_holder(), it.second.holder);
        lease->set_fencing(it.second.fencing);
        lease->set_last_record(it.second.lastRecord);
        lease->set_last_id(it.second.lastId);
        lease->set_is_released(it.second.isReleased);
        for (FormerHolder const& former : it.second.unsettled) {
            Proto::FormerHolder* added = lease->add_unsettled();
            fill(*added->mutable_holder(), former.holder);
            added->set_fencing(former.fencing);
        }
    }
    return proto.SerializeAsString();
}

Core::Result<LeaseState> decodeLeaseState(std::string_view bytes)
{
    Proto::LeaseSnapshot proto;
    if (!proto.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || proto.format() != stateFormat)
        return Core::fail(Core::ErrorCode::Corrupt, "the snapshot of the leases cannot be decoded");
    LeaseState state;
    state.nextOffset = proto.next_offset();
    for (Proto::Lease const& it : proto.leases()) {
        Lease lease { read(it.holder()), it.fencing(), it.last_record(), it.last_id(), it.is_released(), {} };
        for (Proto::FormerHolder const& former : it.unsettled())
            lease.unsettled.push_back({ read(former.holder()), former.fencing() });
        bool isOrdered = state.leases.empty() || state.leases.rbegin()->first < it.pool();
        if (!isOrdered || lease.fencing > lease.lastRecord || lease.lastRecord >= state.nextOffset)
            return Core::fail(Core::ErrorCode::Corrupt, "the snapshot of the leases has entries out of order");
        state.leases.emplace_hint(state.leases.end(), it.pool(), std::move(lease));
    }
    return state;
}

}
