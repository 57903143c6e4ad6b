#pragma once

// Helpers shared by the router's policies: tracking of the best candidates, and sampling. Internal to the router.

#include <LibRouting/Router.h>
#include <algorithm>
#include <array>
#include <functional>
#include <limits>

namespace Routing {

inline constexpr std::size_t noPosition = std::numeric_limits<std::size_t>::max();
inline constexpr std::size_t maxSampleSize = 64;

// Returns a uniform random number in 0 .. n-1. The bias of the multiplication is below n / 2^64.
inline std::size_t uniform(std::mt19937_64& rng, std::size_t n)
{
    return static_cast<std::size_t>((static_cast<unsigned __int128>(rng()) * n) >> 64);
}

inline bool isOpen(Candidate const& candidate, Phase phase)
{
    return !candidate.closed && takes(candidate.role, phase);
}

/// The two lowest scores seen so far. Ties are broken uniformly at random, so that daemons with the same
/// state do not all choose the first candidate.
struct Router::Best {
    std::size_t first { noPosition };
    std::size_t second { noPosition };
    double firstScore { std::numeric_limits<double>::infinity() };
    double secondScore { std::numeric_limits<double>::infinity() };
    std::uint32_t ties { 0 };
    std::uint32_t considered { 0 };

    void offer(std::size_t position, double score, std::mt19937_64& rng)
    {
        ++considered;
        ties = score == firstScore ? ties + 1 : ties;
        bool wins = score < firstScore || (score == firstScore && uniform(rng, ties + 1) == 0);
        if (wins) {
            ties = score < firstScore ? 0 : ties;
            second = first;
            secondScore = firstScore;
            first = position;
            firstScore = score;
        } else if (score < secondScore) {
            second = position;
            secondScore = score;
        }
    }
};

/// A uniform random sample of distinct open candidates.
struct Router::Sample {
    std::array<std::size_t, maxSampleSize> positions {};
    std::size_t size { 0 };

    bool contains(std::size_t position) const
    {
        return std::find(positions.begin(), positions.begin() + static_cast<std::ptrdiff_t>(size), position) != positions.begin() + static_cast<std::ptrdiff_t>(size);
    }

    static Sample draw(std::span<Candidate const> candidates, Phase phase, std::size_t wanted, std::mt19937_64& rng)
    {
        Sample sample;
        if (candidates.empty())
            return sample;
        // Rejection sampling is cheap while most candidates are open; otherwise fall back to reservoir sampling.
        std::size_t tries = 8 * wanted;
        while (sample.size < wanted && tries-- > 0) {
            std::size_t position = uniform(rng, candidates.size());
            if (isOpen(candidates[position], phase) && !sample.contains(position))
                sample.positions[sample.size++] = position;
        }
        if (sample.size < wanted)
            sample.drawInOnePass(candidates, phase, wanted, rng);
        return sample;
    }

    // Samples from this daemon's most preferred open candidates.
    static Sample drawPreferred(std::span<Candidate const> candidates, Phase phase, std::size_t wanted, std::size_t preferred, std::mt19937_64& rng)
    {
        Sample sample;
        preferred = std::clamp(preferred, wanted, maxSampleSize);
        std::function<bool(std::size_t, std::size_t)> isPreferred = [&](std::size_t a, std::size_t b) { return candidates[a].preference > candidates[b].preference; };
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (!isOpen(candidates[i], phase))
                continue;
            // A heap whose front is the least preferred of those selected so far.
            auto begin = sample.positions.begin();
            if (sample.size == preferred && !isPreferred(i, sample.positions[0]))
                continue;
            if (sample.size == preferred)
                std::pop_heap(begin, begin + static_cast<std::ptrdiff_t>(sample.size--), isPreferred);
            sample.positions[sample.size++] = i;
            std::push_heap(begin, begin + static_cast<std::ptrdiff_t>(sample.size), isPreferred);
        }
        for (std::size_t n = 0; n < std::min(wanted, sample.size); ++n)
            std::swap(sample.positions[n], sample.positions[n + uniform(rng, sample.size - n)]);
        sample.size = std::min(wanted, sample.size);
        return sample;
    }

    void drawInOnePass(std::span<Candidate const> candidates, Phase phase, std::size_t wanted, std::mt19937_64& rng)
    {
        size = 0;
        std::size_t seen = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (!isOpen(candidates[i], phase))
                continue;
            ++seen;
            if (size < wanted) {
                positions[size++] = i;
                continue;
            }
            std::size_t place = uniform(rng, seen);
            if (place < wanted)
                positions[place] = i;
        }
        for (std::size_t i = size; i > 1; --i)
            std::swap(positions[i - 1], positions[uniform(rng, i)]);
    }
};

}
