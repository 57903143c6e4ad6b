#include <LibState/TargetSet.h>
#include <bit>
#include <cassert>

namespace State {

namespace {

constexpr std::size_t wordBits = 64;

std::uint64_t maskOf(std::size_t position) { return std::uint64_t { 1 } << (position % wordBits); }

}

TargetSet::TargetSet(std::size_t size)
    : m_size(size)
    , m_words((size + wordBits - 1) / wordBits)
{
}

void TargetSet::insert(std::uint32_t position)
{
    assert(position < m_size);
    m_words[position / wordBits] |= maskOf(position);
}

void TargetSet::unite(TargetSet const& other)
{
    assert(m_size == other.m_size);
    for (std::size_t n = 0; n < m_words.size(); ++n)
        m_words[n] |= other.m_words[n];
}

void TargetSet::intersect(TargetSet const& other)
{
    assert(m_size == other.m_size);
    for (std::size_t n = 0; n < m_words.size(); ++n)
        m_words[n] &= other.m_words[n];
}

void TargetSet::subtract(TargetSet const& other)
{
    assert(m_size == other.m_size);
    for (std::size_t n = 0; n < m_words.size(); ++n)
        m_words[n] &= ~other.m_words[n];
}

void TargetSet::fill()
{
    for (std::size_t n = 0; n < m_size; ++n)
        m_words[n / wordBits] |= maskOf(n);
}

bool TargetSet::contains(std::uint32_t position) const
{
    assert(position < m_size);
    return (m_words[position / wordBits] & maskOf(position)) != 0;
}

std::size_t TargetSet::count() const
{
    std::size_t total = 0;
    for (std::uint64_t word : m_words)
        total += static_cast<std::size_t>(std::popcount(word));
    return total;
}

std::vector<std::uint32_t> TargetSet::positions() const
{
    std::vector<std::uint32_t> positions;
    for (std::size_t n = 0; n < m_words.size(); ++n) {
        for (std::uint64_t word = m_words[n]; word != 0; word &= word - 1)
            positions.push_back(static_cast<std::uint32_t>(n * wordBits + static_cast<std::size_t>(std::countr_zero(word))));
    }
    return positions;
}

}
