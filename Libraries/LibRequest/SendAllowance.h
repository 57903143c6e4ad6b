#pragma once

#include <cstdint>

namespace Request {

/// Counts over how many targets a request may have run, over all daemons that handle it. What was granted to a peer counts as used
/// until the peer has said how many attempts it made, so that a lost answer or a dead peer never leads to one target too many.
/// Not thread-safe.
class SendAllowance {
public:
    /// `attempts`: the most targets that the request may be sent to, by its route or by the grant that it came with.
    explicit SendAllowance(std::uint32_t attempts)
        : m_attempts(attempts)
    {
    }

    /// Counts an attempt that is about to be made. The first one is counted whatever the limit is.
    void begin();

    /// Takes back the attempt begun last: nothing of it has reached a target. Precondition: one was begun.
    void takeBack();

    /// Allows a peer the attempt begun last and all that are left, and returns how many those are. Precondition: one was begun.
    std::uint32_t grant();

    /// Ends the open grant, if there is one: the peer has made so many attempts. Counts one at least and the grant at most.
    void settle(std::uint32_t used);

    /// Attempts that were made or granted.
    std::uint32_t used() const { return m_used; }

    /// Attempts that may still be begun.
    std::uint32_t left() const { return m_attempts > m_used ? m_attempts - m_used : 0; }

private:
    std::uint32_t m_attempts { 0 };
    std::uint32_t m_used { 0 };
    std::uint32_t m_granted { 0 }; ///< By the open grant; 0 if there is none.
};

}
