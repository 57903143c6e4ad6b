#pragma once

#include <LibCore/MemoryBudget.h>
#include <LibHttp/Body.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Http {

/// The memory of one request, while it is read and as long as anything shares its body. What any connection may hold is not claimed from
/// the budget. Use from one thread at a time.
class RequestMemory {
public:
    /// Bytes of a request that count as its connection's own.
    static constexpr std::size_t unclaimedBytes = 8 * 1024;

    /// `budget`: null for none. `onRevoked`: as for MemoryBudget::claim.
    RequestMemory(std::shared_ptr<Core::MemoryBudget> budget, std::function<void()> onRevoked);

    /// Asks for room for this many bytes. Returns whether there is some.
    bool reserve(std::size_t bytes);

    /// Asks for room for this many bytes, where it is not known how many come: for more of them than that, so that it is asked seldom.
    bool grow(std::size_t bytes);

    /// Notes bytes that have arrived.
    void noteArrived(std::size_t bytes);

    /// Returns whether the memory has been taken back for other requests.
    bool isRevoked() const;

    /// Ends the arrival. The bytes count as long as a copy of the body exists. Returns nothing if the memory had been taken back, or there
    /// is no room for the whole request. Precondition: called once.
    std::optional<Body> finish(std::string body, std::size_t headBytes);

private:
    std::shared_ptr<Core::MemoryBudget> m_budget;
    std::function<void()> m_onRevoked;
    std::unique_ptr<Core::MemoryBudget::Claim> m_claim; ///< Null while no more than `unclaimedBytes` are held.
    std::size_t m_reserved { unclaimedBytes };
};

}
