#include <LibRequest/SendAllowance.h>
#include <algorithm>
#include <utility>

namespace Request {

void SendAllowance::begin()
{
    ++m_used;
    m_granted = 0;
}

void SendAllowance::takeBack()
{
    settle(1);
    --m_used;
}

std::uint32_t SendAllowance::grant()
{
    m_granted = 1 + left();
    m_used += left();
    return m_granted;
}

void SendAllowance::settle(std::uint32_t used)
{
    if (m_granted == 0)
        return;
    std::uint32_t granted = std::exchange(m_granted, 0);
    m_used -= granted - std::clamp(used, 1U, granted);
}

}
