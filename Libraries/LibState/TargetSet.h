#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace State {

/// A set of targets by their positions in a `TargetIndex`. Safe to read from several threads.
class TargetSet {
public:
    /// Creates the empty set over `size` targets.
    explicit TargetSet(std::size_t size);

    /// Adds a target. Precondition: `position` is below the size. Not thread-safe.
    void insert(std::uint32_t position);

    /// Adds all of `other`. Precondition: both have the same size. Not thread-safe.
    void unite(TargetSet const& other);

    /// Keeps what `other` has too. Precondition: both have the same size. Not thread-safe.
    void intersect(TargetSet const& other);

    /// Removes what `other` has. Precondition: both have the same size. Not thread-safe.
    void subtract(TargetSet const& other);

    /// Puts every target in. Not thread-safe.
    void fill();

    /// Precondition: `position` is below the size.
    bool contains(std::uint32_t position) const;
    std::size_t count() const;
    bool empty() const { return count() == 0; }

    /// Returns the positions in ascending order.
    std::vector<std::uint32_t> positions() const;

    bool operator==(TargetSet const&) const = default;

private:
    std::size_t m_size;
    std::vector<std::uint64_t> m_words;
};

}
