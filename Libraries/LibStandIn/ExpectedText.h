#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace StandIn {

/// Returns the seed of a prompt's answer. Two prompts have the same seed only by a 64-bit collision. Thread-safe.
std::uint64_t answerSeed(std::string_view prompt);

/// Returns token `index` (from 0) of the answer with this seed: a space and eight hexadecimal digits. Thread-safe.
std::string answerToken(std::uint64_t seed, std::uint64_t index);

/// Returns the first `n` tokens of the answer that every stand-in engine gives to `prompt`, so that a
/// checker can tell whether an answer is whole and belongs to its own request. Thread-safe.
std::string expectedText(std::string_view prompt, std::uint64_t n);

/// Returns how many tokens the stand-ins count in `text`: one for each four bytes begun, at least 1. Thread-safe.
std::uint64_t countTokens(std::string_view text);

}
