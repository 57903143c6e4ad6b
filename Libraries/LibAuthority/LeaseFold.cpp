#include <LibAuthority/LeaseFold.h>
#include <LibState/LogRecord.h>

namespace Authority {

namespace {

/// A port is bound exclusively, so the process that has an address proves that no other process has it. A claim therefore
/// settles all former holders at its own address, whether the same process or an earlier one.
void settleAddress(std::vector<FormerHolder>& unsettled, std::string const& address)
{
    std::erase_if(unsettled, [&address](FormerHolder const& former) { return former.holder.address == address; });
}

}

Core::Result<LeaseFold> LeaseFold::fromSnapshot(State::Snapshot const& snapshot)
{
    BOOST_OUTCOME_TRY(LeaseState state, decodeLeaseState(snapshot.state()));
    if (state.nextOffset != snapshot.nextOffset())
        return Core::fail(Core::ErrorCode::Corrupt, "the snapshot's state ends at a different offset than its header");
    LeaseFold fold;
    fold.m_state = std::move(state);
    return fold;
}

Core::Result<bool> LeaseFold::adopt(State::Snapshot const& snapshot)
{
    if (snapshot.nextOffset() <= m_state.nextOffset)
        return false;
    BOOST_OUTCOME_TRY(LeaseFold newer, fromSnapshot(snapshot));
    newer.m_tracker = std::move(m_tracker);
    *this = std::move(newer);
    return true;
}

Core::Result<LeaseApplyResult> LeaseFold::apply(std::uint64_t offset, std::string_view bytes)
{
    if (offset < m_state.nextOffset)
        return LeaseApplyResult { LeaseApplied::AlreadyRead, {} };
    if (offset > m_state.nextOffset)
        return Core::fail(Core::ErrorCode::Gap, "expected offset " + std::to_string(m_state.nextOffset) + ", got " + std::to_string(offset));
    LeaseApplyResult result { LeaseApplied::Undecodable, {} };
    if (Core::Result<State::LogRecord> other = State::decodeLogRecord(bytes); other && std::holds_alternative<State::SnapshotPart>(other.value())) {
        m_tracker.note(std::get<State::SnapshotPart>(other.value()));
        result.applied = LeaseApplied::SnapshotNoted;
    } else if (Core::Result<LeaseRecord> record = decodeLeaseRecord(bytes)) {
        result.pools = std::visit([this](auto const& content) { return applyRecord(content); }, record.value());
        result.applied = result.pools.empty() ? LeaseApplied::Void : LeaseApplied::Accepted;
    }
    ++m_state.nextOffset;
    return result;
}

std::vector<std::string> LeaseFold::applyRecord(Claim const& claim)
{
    std::uint64_t offset = m_state.nextOffset;
    Lease const* current = find(claim.pool);
    std::optional<std::uint64_t> last = current ? std::optional(current->lastRecord) : std::nullopt;
    if (claim.previous != last)
        return {};
    Lease lease { claim.holder, offset, offset, claim.id, false, {} };
    if (current) {
        lease.unsettled = current->unsettled;
        if (!current->isReleased)
            lease.unsettled.push_back({ current->holder, current->fencing });
        settleAddress(lease.unsettled, claim.holder.address);
    }
    m_state.leases[claim.pool] = std::move(lease);
    return { claim.pool };
}

std::vector<std::string> LeaseFold::applyRecord(Renewal const& renewal)
{
    std::vector<std::string> pools;
    for (RenewedLease const& renewed : renewal.leases) {
        std::map<std::string, Lease>::iterator it = m_state.leases.find(renewed.pool);
        if (it == m_state.leases.end() || it->second.fencing != renewed.fencing || it->second.isReleased)
            continue;
        it->second.lastRecord = m_state.nextOffset;
        it->second.lastId = renewed.id;
        pools.push_back(renewed.pool);
    }
    return pools;
}

std::vector<std::string> LeaseFold::applyRecord(Release const& release)
{
    std::map<std::string, Lease>::iterator it = m_state.leases.find(release.pool);
    if (it == m_state.leases.end() || it->second.fencing != release.fencing)
        return settle(release.pool, release.fencing);
    if (it->second.isReleased)
        return {};
    it->second.isReleased = true;
    it->second.lastRecord = m_state.nextOffset;
    return { release.pool };
}

std::vector<std::string> LeaseFold::applyRecord(Acknowledgement const& acknowledgement)
{
    return settle(acknowledgement.pool, acknowledgement.fencing);
}

std::vector<std::string> LeaseFold::applyRecord(Settlement const& settlement)
{
    Lease const* lease = find(settlement.pool);
    if (!lease || lease->fencing != settlement.fencing)
        return {};
    return settle(settlement.pool, settlement.formerFencing);
}

std::vector<std::string> LeaseFold::settle(std::string const& pool, std::uint64_t formerFencing)
{
    std::map<std::string, Lease>::iterator it = m_state.leases.find(pool);
    if (it == m_state.leases.end())
        return {};
    std::size_t n = std::erase_if(it->second.unsettled, [formerFencing](FormerHolder const& former) { return former.fencing == formerFencing; });
    return n == 0 ? std::vector<std::string>() : std::vector<std::string> { pool };
}

State::Snapshot LeaseFold::snapshot() const
{
    return State::Snapshot::create(m_state.nextOffset, encode(m_state));
}

Lease const* LeaseFold::find(std::string const& pool) const
{
    std::map<std::string, Lease>::const_iterator it = m_state.leases.find(pool);
    return it == m_state.leases.end() ? nullptr : &it->second;
}

}
