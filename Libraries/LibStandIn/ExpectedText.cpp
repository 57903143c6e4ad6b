#include <LibStandIn/ExpectedText.h>

#include <algorithm>
#include <xxhash.h>

namespace StandIn {

namespace {

constexpr std::uint64_t bytesPerToken = 4;
constexpr std::size_t digitsPerToken = 8;

}

std::uint64_t answerSeed(std::string_view prompt)
{
    return XXH3_64bits(prompt.data(), prompt.size());
}

std::string answerToken(std::uint64_t seed, std::uint64_t index)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t hash = XXH3_64bits_withSeed(&index, sizeof index, seed);
    std::string token(digitsPerToken + 1, ' ');
    for (std::size_t i = 1; i <= digitsPerToken; ++i) {
        token[i] = digits[hash & 15U];
        hash >>= 4U;
    }
    return token;
}

std::string expectedText(std::string_view prompt, std::uint64_t n)
{
    std::uint64_t seed = answerSeed(prompt);
    std::string text;
    for (std::uint64_t i = 0; i < n; ++i)
        text += answerToken(seed, i);
    return text;
}

std::uint64_t countTokens(std::string_view text)
{
    return std::max<std::uint64_t>(1, (text.size() + bytesPerToken - 1) / bytesPerToken);
}

}
