#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Request {

/// What a daemon that passes a request on to a peer allows it: attempts at targets, and the targets that have failed the request.
struct RelayGrant {
    std::uint32_t attempts { 0 }; ///< Targets that the peer may send the request to; 0: the request is not passed on.
    std::vector<std::string> triedTargets; ///< Not asked again while others are left.
    bool isPaid { false }; ///< The daemon has counted the peer's first send in its own retry budget and earned for the request.

    bool operator==(RelayGrant const&) const = default;
};

/// Counts over how many targets a request may have run, over all daemons that handle it. What was granted to a peer counts as used
/// until the peer has said how many attempts it made, so that a lost answer or a dead peer never leads to one target too many.
/// A pure function of its calls. Not thread-safe.
class SendAllowance {
public:
    /// `attempts`: the most targets that the request may be sent to, by its route or by the grant that it came with.
    explicit SendAllowance(std::uint32_t attempts)
        : m_attempts(attempts)
    {
    }

    /// Counts a send to a target.
    void noteSent();

    /// Takes back a send that has proved not to have reached its target, or that the target has refused without running.
    void noteNotRun();

    /// Grants all attempts that are left to a peer; the grant's `attempts` is 0 if none is left.
    RelayGrant grant(std::vector<std::string> triedTargets, bool isPaid);

    /// Records how many targets the peer may have sent the request to. Precondition: the last grant is open; not above its attempts,
    /// larger numbers count as these.
    void settleGrant(std::uint32_t used);

    /// Attempts that may still be made, here or at a peer.
    std::uint32_t left() const;

private:
    std::uint32_t m_attempts { 0 };
    std::uint32_t m_used { 0 };
    std::uint32_t m_granted { 0 }; ///< Of the open grant.
};

}
