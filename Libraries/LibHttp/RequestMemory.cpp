#include <LibHttp/RequestMemory.h>
#include <algorithm>
#include <utility>

namespace Http {

namespace {

// The fields of a request are held by it, by the one to the target and in the message that is written.
constexpr std::size_t headCopies = 3;

struct ClaimedText {
    std::unique_ptr<Core::MemoryBudget::Claim> claim;
    std::string text;
};

}

RequestMemory::RequestMemory(std::shared_ptr<Core::MemoryBudget> budget, std::function<void()> onRevoked)
    : m_budget(std::move(budget))
    , m_onRevoked(std::move(onRevoked))
{
}

bool RequestMemory::reserve(std::size_t bytes)
{
    if (!m_budget || bytes <= m_reserved)
        return !isRevoked();
    if (!m_claim)
        m_claim = m_budget->claim(m_onRevoked);
    if (!m_claim->resize(bytes))
        return false;
    m_reserved = bytes;
    return true;
}

bool RequestMemory::grow(std::size_t bytes)
{
    constexpr std::size_t step = 16 * 1024;
    if (bytes <= m_reserved)
        return !isRevoked();
    return reserve((bytes + step - 1) / step * step);
}

void RequestMemory::noteArrived(std::size_t bytes)
{
    if (m_claim)
        m_claim->noteArrived(bytes);
}

bool RequestMemory::isRevoked() const
{
    return m_claim && m_claim->isRevoked();
}

std::optional<Body> RequestMemory::finish(std::string body, std::size_t headBytes)
{
    std::size_t held = body.size() + headCopies * headBytes;
    if (!m_budget || (!m_claim && held <= unclaimedBytes))
        return Body(std::move(body));
    if (!m_claim)
        m_claim = m_budget->claim(m_onRevoked);
    if (!m_claim->resize(held) || !m_claim->complete())
        return std::nullopt;
    std::shared_ptr<ClaimedText> shared = std::make_shared<ClaimedText>(ClaimedText { std::move(m_claim), std::move(body) });
    return Body(std::shared_ptr<std::string const>(shared, &shared->text));
}

}
